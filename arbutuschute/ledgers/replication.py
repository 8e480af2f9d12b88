"""The owner's side of bills: secured at keepers, then settled in the log."""

import asyncio
import functools

from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute import messages

ACK_TIMEOUT_S = 0.3
PAUSE_KEEPER_S = 2.0
PAUSE_MOST_S = 30.0
PATIENCE_S = 2.0


class _Securing:
    """One bill on its way to its keepers, the log or both."""

    __slots__ = ('acks', 'bill', 'done', 'in_log', 'needed', 'since')

    def __init__(self, bill, needed, since):
        self.acks = 0
        self.bill = bill
        self.in_log = False
        self.needed = needed
        self.since = since
        self.done = asyncio.get_running_loop().create_future()

    def ack(self, *_):
        """Count one place that has the bill."""
        self.acks += 1
        if self.acks >= self.needed:
            self.finish(True)

    def finish(self, secured):
        """Tell the waiting request."""
        if not self.done.done():
            self.done.set_result(secured)

    def needs_log(self, now):
        """Tell whether no keeper has answered for a while."""
        return (
            not self.acks
            and not self.in_log
            and now - self.since > ACK_TIMEOUT_S
        )

    def check(self, now):
        """Go on with one ack after a while, without any after patience."""
        waited_s = now - self.since
        if self.acks and waited_s > ACK_TIMEOUT_S:
            self.finish(True)
        elif waited_s > PATIENCE_S:
            self.finish(False)


class _Keeper:
    """What one keeper has yet to get and to acknowledge."""

    __slots__ = (
        'entries',
        'incarnation',
        'outstanding',
        'pause_s',
        'paused_until',
        'sent_at',
        'seq',
        'settled',
        'under_way',
        'waiting',
    )

    def __init__(self):
        self.entries = {}
        self.settled = []
        self.waiting = []
        self.under_way = []
        self.incarnation = 0
        self.outstanding = None
        self.pause_s = PAUSE_KEEPER_S
        self.seq = 0
        self.sent_at = 0.0
        self.paused_until = float('-inf')


class BillReplicator:
    """Secures this instance's bills and settles them.

    A message to a keeper carries all that gathered while the one before
    it was under way, so that a keeper costs one message per round trip.
    A keeper that restarted is new, and gets all that is unsettled.
    """

    __slots__ = (
        '_chosen',
        '_commit',
        '_identity',
        '_is_elsewhere',
        '_keepers',
        '_limit',
        '_metrics',
        '_rank_replicas',
        '_securing',
        '_send',
        '_timer',
        '_unsettled',
        '_wanted',
    )

    def __init__(self, identity, send, rank_replicas, commit, timer, metrics,
                 wanted, limit, is_elsewhere=lambda _: True):  # fmt: skip
        self._identity = identity
        self._send = send
        self._rank_replicas = rank_replicas
        self._commit = commit
        self._timer = timer
        self._metrics = metrics
        self._wanted = wanted
        self._limit = limit
        self._is_elsewhere = is_elsewhere
        self._chosen = ()
        self._keepers = {}
        self._securing = set()
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
        if not self._chosen:
            self._choose_keepers(self._timer.now())
        self._unsettled[bill.id] = bill
        securing = self._start(bill, max(1, len(self._chosen)))
        self._hand_to_keepers(bill, securing)
        if not self._chosen:
            self._log(securing)
        if not await securing.done:
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
        securing = self._start(bill, 1)
        securing.in_log = True
        self._hand_to_keepers(bill, securing)
        committed = self._commit_bill(bill, not self._chosen)
        committed.add_done_callback(functools.partial(self._settle, bill.id))
        committed.add_done_callback(securing.ack)
        if not await securing.done:
            self._metrics.count('bills.unsecured')

    def _log(self, securing):
        """Let the log stand in for keepers that there are not."""
        securing.in_log = True
        securing.needed = 1
        committed = self._commit_bill(securing.bill, True)
        committed.add_done_callback(securing.ack)

    def _start(self, bill, needed):
        securing = _Securing(bill, needed, self._timer.now())
        self._securing.add(securing)
        securing.done.add_done_callback(
            lambda _: self._securing.discard(securing)
        )
        return securing

    def _commit_bill(self, bill, urgent):
        return self._commit.append(bills.encode(bill), urgent)

    @property
    def replica_names(self):
        """The names of all keepers that may hold entries of ours."""
        return set(self._keepers)

    def handle_ack(self, keeper_name, incarnation, seq):
        """Take in a keeper's acknowledgement."""
        keeper = self._keepers.get(keeper_name)
        if keeper is None:
            return
        self.handle_incarnation(keeper_name, incarnation)
        if keeper.outstanding is None or seq != keeper.seq:
            return
        keeper.outstanding = None
        keeper.paused_until = float('-inf')
        keeper.pause_s = PAUSE_KEEPER_S
        for securing in keeper.under_way:
            securing.ack()
        keeper.under_way = []
        self._flush(keeper_name, keeper)

    def handle_incarnation(self, keeper_name, incarnation):
        """Hand everything over again to a keeper that has restarted.

        Tell whether it has.
        """
        keeper = self._keepers.get(keeper_name)
        if keeper is None or incarnation <= keeper.incarnation:
            return False
        has_restarted = bool(keeper.incarnation)
        if has_restarted:
            keeper.entries.update(self._unsettled)
        keeper.incarnation = incarnation
        return has_restarted

    def check_timeouts(self):
        """Let no request wait for ever on a keeper that is silent."""
        now = self._timer.now()
        for securing in list(self._securing):
            if securing.needs_log(now):
                self._log(securing)
            securing.check(now)
        for name, keeper in self._keepers.items():
            if keeper.outstanding and now - keeper.sent_at > ACK_TIMEOUT_S:
                if keeper.paused_until <= now:
                    keeper.paused_until = now + keeper.pause_s
                    keeper.pause_s = min(2 * keeper.pause_s, PAUSE_MOST_S)
                self._transmit(name, keeper)
        self._choose_keepers(now)

    def refresh_replicas(self):
        """Replace keepers that went; a new one gets all that is unsettled."""
        ranked = self._rank_replicas()
        for name in [n for n in self._keepers if n not in ranked]:
            del self._keepers[name]
        self._choose_keepers(self._timer.now())
        for name, keeper in self._keepers.items():
            self._flush(name, keeper)

    def _choose_keepers(self, now):
        usable = [
            name
            for name in self._rank_replicas()
            if name not in self._keepers
            or self._keepers[name].paused_until <= now
        ]
        self._chosen = self._choose_spread(usable)
        for name in self._chosen:
            if name not in self._keepers:
                keeper = self._keepers[name] = _Keeper()
                keeper.entries.update(self._unsettled)
                self._flush(name, keeper)

    def _choose_spread(self, usable):
        """Return the first keepers, and one elsewhere if none of them is.

        A new instance hears its zone mates first; with them alone, the
        loss of the zone would take the bills along.
        """
        chosen = tuple(usable[: self._wanted])
        if not chosen or any(map(self._is_elsewhere, chosen)):
            return chosen
        spare = filter(self._is_elsewhere, usable[self._wanted :])
        return chosen + tuple(spare)[:1]

    def _settle(self, bill_id, committed):
        if not committed.cancelled():
            self._forget(bill_id)

    def _forget(self, bill_id):
        self._unsettled.pop(bill_id, None)
        for keeper in self._keepers.values():
            keeper.entries.pop(bill_id, None)
            keeper.settled.append(bill_id)

    def _hand_to_keepers(self, bill, securing):
        for name in self._chosen:
            keeper = self._keepers[name]
            keeper.entries[bill.id] = bill
            keeper.waiting.append(securing)
            self._flush(name, keeper)

    def _flush(self, name, keeper):
        """Send what gathered, unless a message is under way."""
        if keeper.outstanding or not (keeper.entries or keeper.settled):
            return
        keeper.seq += 1
        sender, incarnation = self._identity
        keeper.outstanding = messages.ReplicateBills(
            sender=sender,
            incarnation=incarnation,
            seq=keeper.seq,
            entries=tuple(map(bills.pack, keeper.entries.values())),
            settled=tuple(keeper.settled),
        )
        keeper.under_way, keeper.waiting = keeper.waiting, []
        keeper.entries = {}
        keeper.settled = []
        self._transmit(name, keeper)

    def _transmit(self, name, keeper):
        keeper.sent_at = self._timer.now()
        self._send(name, keeper.outstanding)
