"""Replicates this router's bills to other routers, then commits them.

The router that handles a request owns its bill. Routers that hold a replica
commit the bill to the log if its owner dies.
"""

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
    """A bill that replica holders, the log or both have yet to confirm."""

    __slots__ = ('acks', 'bill', 'done', 'in_log', 'needed', 'since')

    def __init__(self, bill, needed, since):
        self.acks = 0
        self.bill = bill
        self.in_log = False
        self.needed = needed
        self.since = since
        self.done = asyncio.get_running_loop().create_future()

    def ack(self, *_):
        """Count one replica holder, or the log, as having the bill."""
        self.acks += 1
        if self.acks >= self.needed:
            self.finish(True)

    def finish(self, succeeded):
        """Wake the waiting request with the result of the write."""
        if not self.done.done():
            self.done.set_result(succeeded)

    def needs_log(self, now):
        """Return whether to use the log because no holder acknowledged."""
        return (
            not self.acks
            and not self.in_log
            and now - self.since > ACK_TIMEOUT_S
        )

    def check_timeout(self, now):
        """Finish the write if it has waited long enough.

        With one ack it succeeds after ``ACK_TIMEOUT_S``, without any it
        fails after ``WRITE_TIMEOUT_S``.
        """
        waited_s = now - self.since
        if self.acks and waited_s > ACK_TIMEOUT_S:
            self.finish(True)
        elif waited_s > WRITE_TIMEOUT_S:
            self.finish(False)


class _Holder:
    """What one replica holder has yet to get and to acknowledge."""

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
    """Replicates this instance's bills and commits them to the log.

    Each holder has one message outstanding; entries queue meanwhile and go
    out together, so a holder costs one message per round trip. A holder
    that restarted has lost its replicas and gets all unsettled bills again.
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
        """The number of bills that are not yet in the log."""
        return len(self._unsettled)

    async def open(self, bill):
        """Replicate a new bill.

        Raise ``StoreDown`` if too many bills are unsettled, or if neither a
        holder nor the log confirms this one in time.
        """
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
        """Remove an open bill whose request was never sent."""
        self._forget(bill.id)

    async def close(self, bill):
        """Replicate a closed bill and queue it for the log.

        Return once one holder or the log has it, or after
        ``WRITE_TIMEOUT_S``; it stays queued for the log in any case.
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
        """Commit a bill to the log in place of missing holders."""
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
        """The names of all routers that may hold replicas of our bills."""
        return set(self._holders)

    def handle_ack(self, holder_name, incarnation, seq):
        """Handle a holder's acknowledgement of the message ``seq``."""
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
        """Queue all unsettled bills again for a holder that has restarted.

        Return whether it has restarted.
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
        """Time out writes and resend messages that a holder left unanswered.

        A silent holder is passed over for a pause that doubles each time.
        """
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
        """Replace removed holders and send what is queued for the others.

        A new holder gets all unsettled bills.
        """
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
        """Return the first holders, plus one in another zone if none is.

        A new instance learns of its zone peers first. With replicas only at
        these, the loss of the zone would lose the bills.
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
        """Send what is queued, unless a message is outstanding."""
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
