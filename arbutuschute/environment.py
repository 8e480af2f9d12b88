"""The shared state of one running router, used instead of globals."""


class Environment:
    """The components of one router, set by the composition root."""

    __slots__ = (
        'admission',
        'baseline',
        'bill_commit',
        'bill_replicas',
        'bill_replicator',
        'claim_commit',
        'claims',
        'claims_follower',
        'config_follower',
        'configuration',
        'confirmed_until',
        'crash_reports',
        'demand',
        'era',
        'evacuations',
        'fleet',
        'guard',
        'halts',
        'http',
        'http_once',
        'incarnation',
        'intake',
        'large_bodies',
        'learners',
        'leases_follower',
        'limit_reports',
        'log',
        'log_client',
        'membership',
        'metrics',
        'migration_budget',
        'orders',
        'paces',
        'peers',
        'pins',
        'quarantine',
        'random',
        'rate_limits',
        'rating_client',
        'retry_budget',
        'sequence',
        'settings',
        'shutdown',
        'state',
        'timer',
    )

    @property
    def name(self):
        """The instance's name."""
        return self.settings.name

    @property
    def identity(self):
        """The pair (name, incarnation), unique to this process."""
        return self.settings.name, self.incarnation
