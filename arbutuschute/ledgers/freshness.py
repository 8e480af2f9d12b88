"""A lease on the configuration, renewed when it is known to be current."""


class Freshness:
    """Tracks whether this instance may still use its configuration.

    A confirmation is a moment at which the store had nothing newer. Times
    are seconds of a clock that also runs while the machine is suspended.
    """

    __slots__ = ('_now', 'confirmed_at', 'lease_s')

    def __init__(self, now, lease_s):
        self._now = now
        self.lease_s = lease_s
        self.confirmed_at = float('-inf')

    def confirm(self, at):
        """Record that the configuration was current at the time ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)

    @property
    def age_s(self):
        """Seconds since the newest confirmation."""
        return self._now() - self.confirmed_at

    @property
    def is_valid(self):
        """Whether the lease is still running."""
        return self.age_s <= self.lease_s
