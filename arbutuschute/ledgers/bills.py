"""Bills: one entry per request, set elements with a state that only grows.

An entry is opened at keepers before the request is sent, closed there
with its usage before the end of the answer is released, and committed to
the log in groups. If its owner dies, a keeper commits what it holds.
"""

import enum

import msgspec


class State(enum.IntEnum):
    """How far an entry is; of two copies the higher state counts."""

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


_json_decoder = msgspec.json.Decoder(Bill)
_pack_decoder = msgspec.msgpack.Decoder(Bill)


def encode(bill):
    """Return a bill as it stands in the log."""
    return msgspec.json.encode(bill)


def pack(bill):
    """Return a bill as a peer message carries it."""
    return msgspec.msgpack.encode(bill)


def unpack(raw):
    """Return the bill in a peer message, or None if it is malformed."""
    try:
        return _pack_decoder.decode(raw)
    except msgspec.DecodeError:
        return None


def close(bill, outcome, prompt_tokens, output_tokens, cost):
    """Return the closed form of a bill, with its usage in tokens."""
    return msgspec.structs.replace(
        bill,
        state=State.CLOSED,
        outcome=outcome,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        cost=cost,
    )


def interrupt(bill):
    """Return the form in which a keeper settles a dead owner's open bill."""
    return msgspec.structs.replace(
        bill, state=State.INTERRUPTED, outcome='interrupted'
    )


def read_bills(raw_entries):
    """Return one bill per id: the one reading rule.

    The highest state counts, and of equal states the first in log order.
    The rule depends on the set of entries and their order alone, so that
    repeated and late appends change nothing.
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
    """Other owners' entries that this instance keeps in memory."""

    __slots__ = ('_by_owner', '_heard_at')

    def __init__(self):
        self._by_owner = {}
        self._heard_at = {}

    def __len__(self):
        return sum(len(held) for held in self._by_owner.values())

    @property
    def owner_names(self):
        """The names of the owners whose entries are kept here."""
        return {name for name, _ in self._by_owner}

    def record_heartbeat(self, owner, now):
        """Note a sign of life of an owner whose entries are kept."""
        if owner in self._by_owner:
            self._heard_at[owner] = now

    def find_silent(self, now, limit_s):
        """Return the owners that gave no sign of life for ``limit_s``."""
        return [
            owner
            for owner, heard_at in self._heard_at.items()
            if now - heard_at > limit_s
        ]

    def store(self, owner, packed_bills, settled, now):
        """Take in entries of an owner and forget the settled ones.

        The message is a sign of life itself: an owner may die before its
        first heartbeat to us.
        """
        self._heard_at[owner] = now
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
            del self._heard_at[owner]

    def pop_owner(self, owner):
        """Remove and return a dead owner's entries, open ones interrupted."""
        held = self._by_owner.pop(owner, {})
        self._heard_at.pop(owner, None)
        return [
            interrupt(bill) if bill.state is State.OPENED else bill
            for bill in held.values()
        ]
