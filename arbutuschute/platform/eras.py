"""The era of the store: which past its records and offsets belong to.

The store may be restored from an older copy. What was written since is gone,
and offsets are given out again, so that an offset identifies a record only
together with the era.
"""

import reactivex


class Era:
    """The newest era that this instance has heard of.

    ``changes`` is an observable of each new era but the first one.
    """

    __slots__ = ('_log', 'changes', 'number')

    def __init__(self, log):
        self._log = log
        self.changes = reactivex.Subject()
        # None until the store or a zone peer has named it.
        self.number = None

    def observe(self, number):
        """Record the era of a response; it never goes back."""
        known = self.number
        if known is not None and number <= known:
            return
        self.number = number
        if known is None:
            return
        self._log.warning('store restored', era=number, era_before=known)
        self.changes.on_next(number)
