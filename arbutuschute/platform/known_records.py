"""What has been applied of a topic, and whether something read is newer.

A zone's reader, or the store itself, may respond with what it had seconds ago.
Whatever comes from where, a topic never goes back within an era.
"""

from arbutuschute.platform import store as store_module

# The store may respond with what it had some seconds ago. If it does so for
# longer, it has lost records without an era to tell of it.
MAX_STALE_S = 6.0


class KnownRecords:
    """The newest records of a topic that were applied.

    ``end`` is the offset up to which all records are known, None before the
    first ones, and ``era`` what it belongs to. ``newest`` maps keys to
    (offset, value).
    """

    __slots__ = ('_least_era', '_now', '_stale_since', 'end', 'era', 'newest')

    def __init__(self, now):
        self._now = now
        # Records of an earlier era than this one are gone.
        self._least_era = store_module.NO_ERA
        # When the store first had less than is known, None if it hasn't.
        self._stale_since = None
        self.end = None
        self.era = None
        self.newest = {}

    def observe_era(self, era):
        """Note that the store is in an era: those before it are gone."""
        self._least_era = max(self._least_era, era)

    def has_news(self, era, end):
        """Return whether records up to an offset go beyond what is known."""
        if era < self._least_era:
            return False
        return self.end is None or (era, end) > (self.era, self.end)

    def is_same(self, era, end):
        """Return whether records end where the known ones do."""
        return (era, end) == (self.era, self.end)

    def check_store(self, era, end):
        """Return whether the store's own newest records may be applied.

        They may be of some seconds ago.
        """
        if self.has_news(era, end) or self.is_same(era, end):
            self._stale_since = None
            return True
        if self._stale_since is None:
            self._stale_since = self._now()
        return self._now() - self._stale_since > MAX_STALE_S

    def is_restored(self, era, end):
        """Return whether newest records are of another past."""
        if self.end is None:
            return False
        return era > self.era or (era, end) < (self.era, self.end)

    def begin(self, era):
        """Forget the records of before newest records that are applied."""
        self.era = self._least_era = era
        self.newest = {}
        self._stale_since = None

    def add(self, record):
        """Add a record; return whether it is newer than its key's."""
        known = self.newest.get(record.key)
        if known is not None and record.offset < known[0]:
            return False
        if record.value is None:
            self.newest.pop(record.key, None)
        else:
            self.newest[record.key] = record.offset, record.value
        return True
