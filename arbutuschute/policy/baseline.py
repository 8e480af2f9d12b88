"""Recent response times of a service, the reference for its new version.

A limit taken from a route's target doesn't show a version that is several
times slower: while there is free capacity, even that stays below the target.
Once all requests use it, the capacity is gone.
"""

import collections
import statistics

# Older samples are of another load.
MEMORY_S = 8.0
MAX_SAMPLES = 64
MIN_SAMPLES = 4
# Shorter times are not told apart.
MIN_TIME_S = 0.001


class Baseline:
    """Recent times by key; a key holds what is comparable."""

    __slots__ = ('_now', '_samples')

    def __init__(self, now):
        self._now = now
        self._samples = {}

    def add(self, key, seconds):
        """Add the time of one response."""
        samples = self._samples.get(key)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
            self._samples[key] = samples
        samples.append((self._now(), seconds))

    def compute_ratio(self, key, seconds):
        """Return a time over the median, None without enough samples."""
        since = self._now() - MEMORY_S
        recent = [
            sample for at, sample in self._samples.get(key, ()) if at >= since
        ]
        if len(recent) < MIN_SAMPLES:
            return None
        return seconds / max(statistics.median(recent), MIN_TIME_S)
