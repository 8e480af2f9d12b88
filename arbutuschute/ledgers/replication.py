"""The owner's side of bills: secured at keepers, then settled in the log."""

import asyncio
import functools

from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute import messages

ACK_TIMEOUT_S = 0.3
HOLDER_PAUSE_S = 2.0
MAX_HOLDER_PAUSE_S = 30.0
WRITE_TIMEOUT_S = 2.0


class _PendingWrite:
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

    def finish(self, succeeded):
        """Tell the waiting request."""
        if not self.done.done():
            self.done.set_result(succeeded)

    def needs_log(self, now):
        """Tell whether no holder has answered for a while."""
        return (
            not self.acks
            and not self.in_log
            and now - self.since > ACK_TIMEOUT_S
        )

    def check_timeout(self, now):
        """Go on with one ack after a while, without any after patience."""
        waited_s = now - self.since
        if self.acks and waited_s > ACK_TIMEOUT_S:
            self.finish(True)
        elif waited_s > WRITE_TIMEOUT_S:
            self.finish(False)


class _Holder:
    """What one holder has yet to get and to acknowledge."""

    __slots__ = (
        'entries',
        'in_flight',
        'incarnation',
        'outstanding',
        'pause_s',
        'paused_until',
        'sent_at',
        'seq',
        'settled',
        'waiting',
    )

    def __init__(self):
        self.entries = {}
        self.settled = []
        self.waiting = []
        self.in_flight = []
        self.incarnation = 0
        self.outstanding = None
        self.pause_s = HOLDER_PAUSE_S
        self.seq = 0
        self.sent_at = 0.0
        self.paused_until = float('-inf')


class BillReplicator:
    """Secures this instance's bills and settles them.

    A message to a holder carries all that gathered while the one before
    it was under way, so that a holder costs one message per round trip.
    A holder that restarted is new, and gets all that is unsettled.
    """

    __slots__ = (
        '_chosen',
        '_commit',
        '_holder_count',
        '_holders',
        '_identity',
        '_is_in_other_zone',
        '_limit',
        '_metrics',
        '_pending_writes',
        '_rank_replicas',
        '_send',
        '_timer',
        '_unsettled',
    )

    def __init__(self, identity, send, rank_replicas, commit, timer, metrics,
                 holder_count, limit,
                 is_in_other_zone=lambda _: True):  # fmt: skip
        self._identity = identity
        self._send = send
        self._rank_replicas = rank_replicas
        self._commit = commit
        self._timer = timer
        self._metrics = metrics
        self._holder_count = holder_count
        self._limit = limit
        self._is_in_other_zone = is_in_other_zone
        self._chosen = ()
        self._holders = {}
        self._pending_writes = set()
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
            self._choose_holders(self._timer.now())
        self._unsettled[bill.id] = bill
        write = self._start_write(bill, max(1, len(self._chosen)))
        self._replicate(bill, write)
        if not self._chosen:
            self._write_to_log(write)
        if not await write.done:
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
        write = self._start_write(bill, 1)
        write.in_log = True
        self._replicate(bill, write)
        committed = self._commit_bill(bill, not self._chosen)
        committed.add_done_callback(functools.partial(self._settle, bill.id))
        committed.add_done_callback(write.ack)
        if not await write.done:
            self._metrics.count('bills.unsecured')

    def _write_to_log(self, write):
        """Let the log stand in for keepers that there are not."""
        write.in_log = True
        write.needed = 1
        committed = self._commit_bill(write.bill, True)
        committed.add_done_callback(write.ack)

    def _start_write(self, bill, needed):
        write = _PendingWrite(bill, needed, self._timer.now())
        self._pending_writes.add(write)
        write.done.add_done_callback(
            lambda _: self._pending_writes.discard(write)
        )
        return write

    def _commit_bill(self, bill, urgent):
        return self._commit.append(bills.encode(bill), urgent)

    @property
    def replica_names(self):
        """The names of all keepers that may hold entries of ours."""
        return set(self._holders)

    def handle_ack(self, holder_name, incarnation, seq):
        """Take in a holder's acknowledgement."""
        holder = self._holders.get(holder_name)
        if holder is None:
            return
        self.handle_incarnation(holder_name, incarnation)
        if holder.outstanding is None or seq != holder.seq:
            return
        holder.outstanding = None
        holder.paused_until = float('-inf')
        holder.pause_s = HOLDER_PAUSE_S
        for write in holder.in_flight:
            write.ack()
        holder.in_flight = []
        self._flush(holder_name, holder)

    def handle_incarnation(self, holder_name, incarnation):
        """Hand everything over again to a holder that has restarted.

        Tell whether it has.
        """
        holder = self._holders.get(holder_name)
        if holder is None or incarnation <= holder.incarnation:
            return False
        has_restarted = bool(holder.incarnation)
        if has_restarted:
            holder.entries.update(self._unsettled)
        holder.incarnation = incarnation
        return has_restarted

    def check_timeouts(self):
        """Let no request wait for ever on a holder that is silent."""
        now = self._timer.now()
        for write in list(self._pending_writes):
            if write.needs_log(now):
                self._write_to_log(write)
            write.check_timeout(now)
        for name, holder in self._holders.items():
            if holder.outstanding and now - holder.sent_at > ACK_TIMEOUT_S:
                if holder.paused_until <= now:
                    holder.paused_until = now + holder.pause_s
                    holder.pause_s = min(
                        2 * holder.pause_s, MAX_HOLDER_PAUSE_S
                    )
                self._transmit(name, holder)
        self._choose_holders(now)

    def refresh_replicas(self):
        """Replace keepers that went; a new one gets all that is unsettled."""
        ranked = self._rank_replicas()
        for name in [n for n in self._holders if n not in ranked]:
            del self._holders[name]
        self._choose_holders(self._timer.now())
        for name, holder in self._holders.items():
            self._flush(name, holder)

    def _choose_holders(self, now):
        usable = [
            name
            for name in self._rank_replicas()
            if name not in self._holders
            or self._holders[name].paused_until <= now
        ]
        self._chosen = self._choose_across_zones(usable)
        for name in self._chosen:
            if name not in self._holders:
                holder = self._holders[name] = _Holder()
                holder.entries.update(self._unsettled)
                self._flush(name, holder)

    def _choose_across_zones(self, usable):
        """Return the first keepers, and one elsewhere if none of them is.

        A new instance hears its zone mates first; with them alone, the
        loss of the zone would take the bills along.
        """
        chosen = tuple(usable[: self._holder_count])
        if not chosen or any(map(self._is_in_other_zone, chosen)):
            return chosen
        spare = filter(self._is_in_other_zone, usable[self._holder_count :])
        return chosen + tuple(spare)[:1]

    def _settle(self, bill_id, committed):
        if not committed.cancelled():
            self._forget(bill_id)

    def _forget(self, bill_id):
        self._unsettled.pop(bill_id, None)
        for holder in self._holders.values():
            holder.entries.pop(bill_id, None)
            holder.settled.append(bill_id)

    def _replicate(self, bill, write):
        for name in self._chosen:
            holder = self._holders[name]
            holder.entries[bill.id] = bill
            holder.waiting.append(write)
            self._flush(name, holder)

    def _flush(self, name, holder):
        """Send what gathered, unless a message is under way."""
        if holder.outstanding or not (holder.entries or holder.settled):
            return
        holder.seq += 1
        sender, incarnation = self._identity
        holder.outstanding = messages.ReplicateBills(
            sender=sender,
            incarnation=incarnation,
            seq=holder.seq,
            entries=tuple(map(bills.pack, holder.entries.values())),
            settled=tuple(holder.settled),
        )
        holder.in_flight, holder.waiting = holder.waiting, []
        holder.entries = {}
        holder.settled = []
        self._transmit(name, holder)

    def _transmit(self, name, holder):
        holder.sent_at = self._timer.now()
        self._send(name, holder.outstanding)
