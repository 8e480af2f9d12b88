"""Claims: at-most-once work is claimed in the log before it runs.

For each (organisation, key) the first claim in log order wins, on every
instance. A claim is never transferred. Only its holder may release it, and
only if it never sent the request.
"""

import collections

import msgspec

from arbutuschute import decoding

MAX_STORED_BODY_BYTES = 16_384


class Claim(msgspec.Struct, frozen=True, tag='claim', tag_field='kind'):
    """An attempt's request to run the work of ``key``; ``id`` is unique."""

    id: str
    organisation: str
    key: str
    fingerprint: str
    instance: str


class Outcome(msgspec.Struct, frozen=True, tag='outcome', tag_field='kind'):
    """The outcome of a claim; ``body`` is None if it was too large."""

    claim: str
    organisation: str
    key: str
    ran: str
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


_decoder = decoding.make_json_decoder(Claim | Outcome)


class Entry:
    """All claims on one key, in log order, and the winner's outcome."""

    __slots__ = ('claims', 'outcome', 'time')

    def __init__(self, time):
        self.claims = []
        self.outcome = None
        self.time = time

    @property
    def winner(self):
        """The claim that may run or ran; None if all were released."""
        return self.claims[0] if self.claims else None


class Claims:
    """The claims of the last ``window_s``, computed from the stream alone."""

    __slots__ = ('_seen', 'entries', 'time', 'window_s')

    def __init__(self, window_s):
        self.window_s = window_s
        self.entries = collections.OrderedDict()
        self.time = 0.0
        self._seen = collections.OrderedDict()

    def apply_entry(self, raw, time):
        """Apply one raw entry of a log record with the record's time."""
        self.time = max(self.time, time)
        try:
            change = _decoder.decode(raw)
        except msgspec.DecodeError:
            return
        if isinstance(change, Claim):
            self._apply_claim(change)
        else:
            self._apply_outcome(change)
        self._expire()

    def find(self, organisation, key):
        """Return the ``Entry`` of a key, or None."""
        return self.entries.get((organisation, key))

    def _apply_claim(self, claim):
        if claim.id in self._seen:
            return
        self._seen[claim.id] = self.time
        entry_key = claim.organisation, claim.key
        if entry_key not in self.entries:
            self.entries[entry_key] = Entry(self.time)
        self.entries[entry_key].claims.append(claim)

    def _apply_outcome(self, outcome):
        entry_key = outcome.organisation, outcome.key
        entry = self.entries.get(entry_key)
        if entry is None or entry.outcome is not None:
            return
        if outcome.ran == 'no':
            entry.claims = [c for c in entry.claims if c.id != outcome.claim]
            if not entry.claims:
                del self.entries[entry_key]
        elif entry.winner and entry.winner.id == outcome.claim:
            entry.outcome = outcome

    def _expire(self):
        horizon = self.time - self.window_s
        for table, get_time in (
            (self.entries, lambda entry: entry.time),
            (self._seen, lambda time: time),
        ):
            while table:
                oldest = next(iter(table))
                if get_time(table[oldest]) >= horizon:
                    break
                del table[oldest]
