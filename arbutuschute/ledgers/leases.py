"""Leases in the log: who may give orders, and with which fencing number.

The first claim in log order holds a lease until its time is over by the
log's own clock; renewals of the holder prolong it. The offset of the claim
that won is the fencing number, so that a later holder's is higher.
"""

import msgspec


class Claim(msgspec.Struct, frozen=True, tag='lease', tag_field='kind'):
    """A wish to hold or to keep the lease ``name``."""

    name: str
    holder: str


class Held(msgspec.Struct):
    """A lease that was won; ``until`` is log time in seconds."""

    holder: str
    fence: int
    until: float


_decoder = msgspec.json.Decoder(Claim)


class Leases:
    """A pure fold of the leases stream."""

    __slots__ = ('duration_s', 'held')

    def __init__(self, duration_s):
        self.duration_s = duration_s
        self.held = {}

    def apply_entry(self, raw, offset, time):
        """Fold one raw entry of a log record."""
        try:
            claim = _decoder.decode(raw)
        except msgspec.DecodeError:
            return
        held = self.held.get(claim.name)
        until = time + self.duration_s
        if held is None or time >= held.until:
            self.held[claim.name] = Held(claim.holder, offset, until)
        elif held.holder == claim.holder:
            held.until = max(held.until, until)

    def find_fence(self, name, holder):
        """Return the holder's fencing number, or None if another holds it."""
        held = self.held.get(name)
        if held is None or held.holder != holder:
            return None
        return held.fence
