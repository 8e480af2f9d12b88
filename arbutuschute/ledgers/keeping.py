"""The owner's side of bills: secured at keepers, then settled in the log."""

import asyncio
import functools

from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute import messages

ACK_TIMEOUT_S = 0.3
PAUSE_KEEPER_S = 2.0
PATIENCE_S = 2.0


class _Keeper:
    """What one keeper has yet to get and to acknowledge."""

    __slots__ = (
        'entries',
        'outstanding',
        'paused_until',
        'seq',
        'sent_at',
        'settled',
        'waiting',
    )

    def __init__(self):
        self.entries = {}
        self.settled = []
        self.waiting = []
        self.outstanding = None
        self.seq = 0
        self.sent_at = 0.0
        self.paused_until = float('-inf')


class Keeping:
    """Secures this instance's bills and settles them.

    A message to a keeper carries all that gathered while the one before
    it was under way, so that a keeper costs one message per round trip.
    A keeper is named by (name, incarnation): one that restarted is new.
    """

    __slots__ = (
        '_commit',
        '_identity',
        '_keepers',
        '_limit',
        '_metrics',
        '_rank_keepers',
        '_send',
        '_timer',
        '_unsettled',
        '_wanted',
    )

    def __init__(self, identity, send, rank_keepers, commit, timer, metrics,
                 wanted, limit):  # fmt: skip
        self._identity = identity
        self._send = send
        self._rank_keepers = rank_keepers
        self._commit = commit
        self._timer = timer
        self._metrics = metrics
        self._wanted = wanted
        self._limit = limit
        self._keepers = {}
        self._unsettled = {}

    @property
    def unsettled(self):
        """How many entries are not yet in the log."""
        return len(self._unsettled)

    async def open(self, bill):
        """Secure a new bill; raise ``StoreDown`` if that cannot be done."""
        if len(self._unsettled) >= self._limit:
            self._metrics.count('bills.limit')
            raise errors.StoreDown('bills')
        self._unsettled[bill.id] = bill
        acks = self._hand_to_keepers(bill)
        if not acks:
            acks = [self._commit.put(bills.encode(bill), urgent=True)]
        if not await _wait_for_all_or_one(acks):
            self.withdraw(bill)
            raise errors.StoreDown('bills')

    def withdraw(self, bill):
        """Take back an open bill whose request was never sent."""
        self._forget(bill.id)

    async def close(self, bill):
        """Secure a closed bill; after a bounded wait go on all the same.

        The entry stays queued for the log in any case.
        """
        self._unsettled[bill.id] = bill
        acks = self._hand_to_keepers(bill)
        committed = self._commit.put(bills.encode(bill), urgent=not acks)
        committed.add_done_callback(functools.partial(self._settle, bill.id))
        acks.append(asyncio.shield(committed))
        if not await _wait_for(acks, 1, PATIENCE_S):
            self._metrics.count('bills.unsecured')

    def accept_ack(self, keeper_name, seq):
        """Take in a keeper's acknowledgement."""
        keeper = self._keepers.get(keeper_name)
        if keeper is None or keeper.outstanding is None or seq != keeper.seq:
            return
        keeper.outstanding = None
        keeper.paused_until = float('-inf')
        waiting, keeper.waiting = keeper.waiting, []
        for number, acked in waiting:
            if number > seq:
                keeper.waiting.append((number, acked))
            elif not acked.done():
                acked.set_result(None)
        self._flush(keeper_name)

    def refresh(self):
        """Repeat what was not acknowledged; replace keepers that went.

        A new keeper gets all that is unsettled.
        """
        ranked = self._rank_keepers()
        for name in [n for n in self._keepers if n not in ranked]:
            del self._keepers[name]
        now = self._timer.now()
        for name, keeper in self._keepers.items():
            if keeper.outstanding and now - keeper.sent_at > ACK_TIMEOUT_S:
                keeper.paused_until = now + PAUSE_KEEPER_S
                self._transmit(name, keeper)
            self._flush(name)
        for name in self._choose_keepers():
            if name not in self._keepers:
                for bill in self._unsettled.values():
                    self._hand_over(name, bill)

    def _settle(self, bill_id, committed):
        if not committed.cancelled():
            self._forget(bill_id)

    def _forget(self, bill_id):
        self._unsettled.pop(bill_id, None)
        for keeper in self._keepers.values():
            keeper.entries.pop(bill_id, None)
            keeper.settled.append(bill_id)

    def _choose_keepers(self):
        now = self._timer.now()
        usable = [
            name
            for name in self._rank_keepers()
            if name not in self._keepers
            or self._keepers[name].paused_until <= now
        ]
        return usable[: self._wanted]

    def _hand_to_keepers(self, bill):
        return [self._hand_over(name, bill) for name in self._choose_keepers()]

    def _hand_over(self, name, bill):
        """Queue a bill for a keeper; return a future of its ack."""
        keeper = self._keepers.setdefault(name, _Keeper())
        keeper.entries[bill.id] = bill
        acked = asyncio.get_running_loop().create_future()
        keeper.waiting.append((keeper.seq + 1, acked))
        asyncio.get_running_loop().call_soon(self._flush, name)
        return acked

    def _flush(self, name):
        keeper = self._keepers.get(name)
        if keeper is None or keeper.outstanding:
            return
        if not keeper.entries and not keeper.settled:
            return
        keeper.seq += 1
        sender, incarnation = self._identity
        keeper.outstanding = messages.KeepBills(
            sender=sender,
            incarnation=incarnation,
            seq=keeper.seq,
            entries=tuple(bills.pack(b) for b in keeper.entries.values()),
            settled=tuple(keeper.settled),
        )
        keeper.entries = {}
        keeper.settled = []
        self._transmit(name, keeper)

    def _transmit(self, name, keeper):
        keeper.sent_at = self._timer.now()
        self._send(name[0], keeper.outstanding)


async def _wait_for_all_or_one(acks):
    """Wait briefly for all acks, then with patience for a single one."""
    if await _wait_for(acks, len(acks), ACK_TIMEOUT_S):
        return True
    return await _wait_for(acks, 1, PATIENCE_S)


async def _wait_for(acks, count, timeout_s):
    """Tell whether ``count`` of the futures were done in time."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + timeout_s
    pending = set(acks)
    while len(acks) - len(pending) < count:
        left = limit - loop.time()
        if left <= 0:
            return False
        _, pending = await asyncio.wait(
            pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
    return True
