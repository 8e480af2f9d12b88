"""Leases in the log: which instance may send orders, and its fencing number.

The first claim in log order holds a lease until it expires by the log's own
clock; the holder's renewals extend it. The fencing number is the offset of the
winning claim in the log's newest era, so a later holder always has a higher
one, also after the log was restored from an older copy.
"""

import msgspec

from arbutuschute import decoding


class Claim(msgspec.Struct, frozen=True, tag='lease', tag_field='kind'):
    """A request to acquire or renew the lease ``name``."""

    name: str
    holder: str


class Held(msgspec.Struct):
    """A lease with its holder; ``until`` is log time in seconds."""

    holder: str
    fence: int
    until: float


# More than the offsets of an era.
FENCES_PER_ERA = 2**40
_decoder = decoding.make_json_decoder(Claim)


class Leases:
    """The state of all leases, computed from the leases stream alone."""

    __slots__ = ('_era', 'duration_s', 'held')

    def __init__(self, duration_s):
        self.duration_s = duration_s
        self._era = 0
        self.held = {}

    def begin_era(self, era):
        """Compute the leases anew from the log of a new era."""
        self._era = era
        self.held = {}

    def apply_entry(self, raw, offset, time):
        """Apply one raw entry of a log record."""
        try:
            claim = _decoder.decode(raw)
        except msgspec.DecodeError:
            return
        held = self.held.get(claim.name)
        until = time + self.duration_s
        if held is None or time >= held.until:
            fence = self._era * FENCES_PER_ERA + offset
            self.held[claim.name] = Held(claim.holder, fence, until)
        elif held.holder == claim.holder:
            held.until = max(held.until, until)

    def find_fence(self, name, holder):
        """Return the holder's fencing number, or None if another holds it."""
        held = self.held.get(name)
        if held is None or held.holder != holder:
            return None
        return held.fence
