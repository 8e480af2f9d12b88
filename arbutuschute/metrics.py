"""Counters sent to statsd, and histograms per organisation and class."""

import collections

from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 95, 99, 99.9)


class Metrics:
    """Counts in memory; ``flush`` sends the counts to statsd.

    Handling a request never waits for statsd.
    """

    __slots__ = ('_client', '_pending', 'totals', 'histograms')

    def __init__(self, client):
        self._client = client
        self._pending = collections.Counter()
        self.totals = collections.Counter()
        self.histograms = {}

    def count(self, name, amount=1):
        """Add to a counter."""
        self._pending[name] += amount
        self.totals[name] += amount

    def observe(self, measure, label, milliseconds):
        """Record one duration for an organisation or class."""
        key = f'{measure}.{label}'
        found = self.histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
            self.histograms[key] = found
        bounded = min(max(int(milliseconds), LOWEST_MS), HIGHEST_MS)
        found.record_value(bounded)

    def flush(self):
        """Send the counts since the last call to statsd."""
        if not self._pending:
            return
        pending, self._pending = self._pending, collections.Counter()
        with self._client.pipeline() as pipe:
            for name, amount in pending.items():
                pipe.incr(name, amount)

    def summarize(self):
        """Return a dict by histogram of its count, percentiles and maximum.

        Percentiles and maximum are in milliseconds.
        """
        return {
            key: {
                'count': found.get_total_count(),
                **{
                    f'p{percentile}': found.get_value_at_percentile(percentile)
                    for percentile in PERCENTILES
                },
                'max': found.get_max_value(),
            }
            for key, found in sorted(self.histograms.items())
        }
