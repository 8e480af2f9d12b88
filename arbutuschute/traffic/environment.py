"""The services that request handling uses, in place of globals."""


class Environment:
    """The services of one instance, wired by the composition root.

    ``table`` is None until a configuration has been read.

    ``open_attempt(server, request, left_s, last_event_id)`` is a context
    manager that yields an ``Attempt`` with ``head``, ``read`` and
    ``read_whole``.
    """

    __slots__ = (
        'crash_reports',
        'demand',
        'directory',
        'freshness',
        'in_flight',
        'limit_reports',
        'location',
        'log',
        'metrics',
        'model_selector',
        'name',
        'now',
        'open_attempt',
        'prefill_rates',
        'quarantine',
        'random',
        'rate_limits',
        'retry_budget',
        'rollouts',
        'state',
        'stopping_at',
        'table',
    )

    def __init__(self, name):
        self.name = name
        self.table = None
        self.state = 'starting'
        self.stopping_at = None
        self.in_flight = 0
