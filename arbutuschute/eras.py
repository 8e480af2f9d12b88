"""The era of the log: which past its records and offsets belong to.

The platform may restore its log from an older copy. What was written since is
gone, and offsets are given out again, so that an offset identifies a record
only together with the era.
"""

import reactivex

# Within this time instances have written again what was lost and what they
# remember of it.
SETTLE_S = 3.0


class Era:
    """The newest era that this instance has heard of.

    ``changes`` is an observable of each new era but the first one. A log that
    was never restored is in era 0.
    """

    __slots__ = ('_log', '_now', '_observed_at', 'changes', 'number')

    def __init__(self, now, log):
        self._now = now
        self._log = log
        self._observed_at = float('-inf')
        self.changes = reactivex.Subject()
        # None until the log or a peer has named it.
        self.number = None

    def observe(self, number):
        """Record the era of a response; it never goes back."""
        known = self.number
        if known is not None and number <= known:
            return
        self.number = number
        self._observed_at = self._now()
        if known is None:
            return
        self._log.warning('store restored', era=number, era_before=known)
        self.changes.on_next(number)

    @property
    def is_settled(self):
        """Whether what was lost has been written again by now."""
        if not self.number:
            return True
        return self._now() - self._observed_at >= SETTLE_S
