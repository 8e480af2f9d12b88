"""A lease on the newest proof that the configuration is current."""


class Freshness:
    """Until when this instance may act on the configuration that it has.

    A proof is a moment at which the store said that nothing newer existed.
    Times are seconds of a clock that goes on while a machine is suspended.
    """

    __slots__ = ('_now', 'lease_s', 'confirmed_at')

    def __init__(self, now, lease_s):
        self._now = now
        self.lease_s = lease_s
        self.confirmed_at = float('-inf')

    def confirm(self, at):
        """Note that the configuration was current at a moment."""
        self.confirmed_at = max(self.confirmed_at, at)

    @property
    def age_s(self):
        """Seconds since the newest proof."""
        return self._now() - self.confirmed_at

    @property
    def is_valid(self):
        """Whether the lease still runs."""
        return self.age_s <= self.lease_s
