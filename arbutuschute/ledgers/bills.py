"""Bills: one entry per request, with a state that only moves forward.

An entry is replicated as open before the request is sent, and as closed,
with its usage, before the end of the answer is released. It is then
committed to the log in batches. If its owner dies, a replica holder commits
its replica.
"""

import enum

import msgspec

from arbutuschute import decoding

# The log accepts several hundred appends a second from all instances together.
APPENDS_PER_S = 200.0


def compute_flush_period(least_s, instances):
    """Return the seconds between two appends of bills by one instance."""
    return max(least_s, instances / APPENDS_PER_S)


class State(enum.IntEnum):
    """State of an entry; of two copies the higher state counts."""

    OPENED = 0
    INTERRUPTED = 1
    CLOSED = 2


class Bill(msgspec.Struct, frozen=True):
    """One request's bill; ``cost`` is in the profile's unit."""

    id: str
    organisation: str
    profile: str
    model: str
    version: str
    instance: str
    state: State = State.OPENED
    outcome: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0


_json_decoder = decoding.make_json_decoder(Bill)
_pack_decoder = decoding.make_msgpack_decoder(Bill)


def encode(bill):
    """Return a bill as encoded in the log."""
    return msgspec.json.encode(bill)


def pack(bill):
    """Return a bill as encoded in a peer message."""
    return msgspec.msgpack.encode(bill)


def unpack(raw):
    """Return the bill in a peer message, or None if it is malformed."""
    try:
        return _pack_decoder.decode(raw)
    except msgspec.DecodeError:
        return None


def close(bill, outcome, prompt_tokens, output_tokens, cost):
    """Return a closed copy of a bill, with its usage in tokens."""
    return msgspec.structs.replace(
        bill,
        state=State.CLOSED,
        outcome=outcome,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        cost=cost,
    )


def interrupt(bill):
    """Return the interrupted form of a dead owner's open bill."""
    return msgspec.structs.replace(
        bill, state=State.INTERRUPTED, outcome='interrupted'
    )


def read_bills(raw_entries):
    """Return one bill per id, as a dict by id.

    The highest state counts, and of equal states the first in log order.
    Only the entries and their order matter, so repeated and delayed appends
    change nothing.
    """
    counted = {}
    for raw in raw_entries:
        try:
            bill = _json_decoder.decode(raw)
        except msgspec.DecodeError:
            continue
        known = counted.get(bill.id)
        if known is None or bill.state > known.state:
            counted[bill.id] = bill
    return counted


class BillReplicas:
    """Replicas of other routers' bills, held in memory."""

    __slots__ = ('_by_owner', '_last_heard_at')

    def __init__(self):
        self._by_owner = {}
        self._last_heard_at = {}

    def __len__(self):
        return sum(len(held) for held in self._by_owner.values())

    @property
    def owner_names(self):
        """The names of the owners with replicas here."""
        return {name for name, _ in self._by_owner}

    def record_heartbeat(self, owner, now):
        """Record a heartbeat of an owner; ignore one without replicas."""
        if owner in self._by_owner:
            self._last_heard_at[owner] = now

    def find_silent(self, now, limit_s):
        """Return the owners not heard from for more than ``limit_s``."""
        return [
            owner
            for owner, last_heard_at in self._last_heard_at.items()
            if now - last_heard_at > limit_s
        ]

    def store(self, owner, packed_bills, settled, now):
        """Store replicas of an owner's bills and remove the settled ones.

        The message counts as a heartbeat, since an owner may die before it
        sends us its first one.
        """
        self._last_heard_at[owner] = now
        held = self._by_owner.setdefault(owner, {})
        for raw in packed_bills:
            bill = unpack(raw)
            if bill is None:
                continue
            known = held.get(bill.id)
            if known is None or bill.state > known.state:
                held[bill.id] = bill
        for bill_id in settled:
            held.pop(bill_id, None)
        if not held:
            del self._by_owner[owner]
            del self._last_heard_at[owner]

    def pop_owner(self, owner):
        """Remove and return a dead owner's bills, open ones as interrupted."""
        held = self._by_owner.pop(owner, {})
        self._last_heard_at.pop(owner, None)
        return [
            interrupt(bill) if bill.state is State.OPENED else bill
            for bill in held.values()
        ]
