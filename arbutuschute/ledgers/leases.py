"""Leases in the log: which instance may send orders, and its fencing number.

The first claim in log order holds a lease until it expires by the log's own
clock; the holder's renewals extend it. The offset of the winning claim is
the fencing number, so a later holder always has a higher one.
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


_decoder = decoding.make_json_decoder(Claim)


class Leases:
    """The state of all leases, computed from the leases stream alone."""

    __slots__ = ('duration_s', 'held')

    def __init__(self, duration_s):
        self.duration_s = duration_s
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
            self.held[claim.name] = Held(claim.holder, offset, until)
        elif held.holder == claim.holder:
            held.until = max(held.until, until)

    def find_fence(self, name, holder):
        """Return the holder's fencing number, or None if another holds it."""
        held = self.held.get(name)
        if held is None or held.holder != holder:
            return None
        return held.fence
