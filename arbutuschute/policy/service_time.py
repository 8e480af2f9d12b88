"""Expected time of a request in a slot, by profile and class."""

# Weight of a new observation in the moving average.
SMOOTHING = 0.05
DEFAULT_S = 0.05


class ServiceTimes:
    """Moving averages, in seconds, over requests that have ended."""

    __slots__ = ('_means',)

    def __init__(self):
        self._means = {}

    def observe(self, profile, class_name, seconds):
        """Record how long a request was in its slot."""
        key = profile, class_name
        mean = self._means.get(key, seconds)
        self._means[key] = mean + SMOOTHING * (seconds - mean)

    def estimate(self, profile, class_name):
        """Return the expected seconds of a request in its slot."""
        return self._means.get((profile, class_name), DEFAULT_S)
