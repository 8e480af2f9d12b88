"""Counters and histograms in the Prometheus text format."""

from prometheus_client import core
from prometheus_client import exposition

PREFIX = 'arbutuschute'


class _Collector:
    """Converts an instance's counters and histograms to metric families."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield the metric families; called on each scrape."""
        counters = core.CounterMetricFamily(
            f'{PREFIX}_events', 'What happened, by event', labels=['event']
        )
        for name, total in sorted(self._metrics.totals.items()):
            counters.add_metric([name], total)
        yield counters
        yield from self._collect_durations()

    def _collect_durations(self):
        durations = core.SummaryMetricFamily(
            f'{PREFIX}_duration_ms',
            'Milliseconds, by measure and label',
            labels=['measure', 'label', 'quantile'],
        )
        for key, summary in self._metrics.summarize().items():
            measure, _, label = key.rpartition('.')
            for name, value in summary.items():
                if name.startswith('p'):
                    durations.add_sample(
                        f'{PREFIX}_duration_ms',
                        {
                            'measure': measure,
                            'label': label,
                            'quantile': str(float(name[1:]) / 100),
                        },
                        value,
                    )
            durations.add_sample(
                f'{PREFIX}_duration_ms_count',
                {'measure': measure, 'label': label},
                summary['count'],
            )
        yield durations


def render(metrics):
    """Return all metrics in the Prometheus text format, as bytes."""
    registry = core.CollectorRegistry()
    registry.register(_Collector(metrics))
    return exposition.generate_latest(registry)
