"""The services that request handling uses, in place of globals."""

from arbutuschute import shutdown


class Environment:
    """The services of one instance, wired by the composition root.

    ``table`` is None until a configuration has been read.

    ``open_attempt(server, request, left_s, last_event_id)`` is a context
    manager that yields an ``Attempt`` with ``head``, ``read`` and
    ``read_whole``.
    """

    __slots__ = (
        'cold_limits',
        'costs',
        'crash_reports',
        'demand',
        'directory',
        'evacuations',
        'fleet_size',
        'freshness',
        'in_flight',
        'intake',
        'limit_reports',
        'location',
        'log',
        'metrics',
        'model_selector',
        'name',
        'now',
        'open_attempt',
        'pool_delays',
        'prefill_rates',
        'quarantine',
        'random',
        'rate_limits',
        'retry_budget',
        'rollouts',
        'shutdown',
        'state',
        'stop_ends_at',
        'stopping_at',
        'table',
        'urgency_levels',
    )

    def __init__(self, name):
        self.name = name
        self.shutdown = shutdown.Shutdown(name)
        self.table = None
        self.state = 'starting'
        # When a stop began, and when the last requests end.
        self.stopping_at = None
        self.stop_ends_at = None
        self.in_flight = 0

    def find_cold_per_s(self, service):
        """Return the requests a second that a cold server tolerates.

        0 for any number. Unlimited, too, before a configuration is known, as
        no requests are served then.
        """
        found = self.table and self.table.services.get(service)
        return found.cold_per_s if found else 0.0
