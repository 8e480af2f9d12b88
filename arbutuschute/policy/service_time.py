"""Expected time in a slot, by profile and class."""

SMOOTHING = 0.05
FIRST_GUESS_S = 0.05


class ServiceTimes:
    """Moving averages of seconds, from requests that have ended."""

    __slots__ = ('_means',)

    def __init__(self):
        self._means = {}

    def observe(self, profile, class_name, seconds):
        """Take in how long a request was in its slot."""
        place = profile, class_name
        mean = self._means.get(place, seconds)
        self._means[place] = mean + SMOOTHING * (seconds - mean)

    def estimate(self, profile, class_name):
        """Return the seconds that a request will probably take."""
        return self._means.get((profile, class_name), FIRST_GUESS_S)
