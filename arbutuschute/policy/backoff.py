"""Pauses between retries."""


class Backoff:
    """A pause in seconds that doubles with each retry, up to a maximum."""

    __slots__ = ('_max_s', '_min_s', '_next_s')

    def __init__(self, min_s, max_s):
        self._min_s = min_s
        self._max_s = max_s
        self._next_s = min_s

    def advance(self):
        """Return the pause before the next retry."""
        pause_s = self._next_s
        self._next_s = min(2 * pause_s, self._max_s)
        return pause_s

    def reset(self):
        """Begin with the shortest pause again, after a success."""
        self._next_s = self._min_s
