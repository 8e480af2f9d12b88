"""Admission control: a queue per pool of backend servers."""

import asyncio
import contextlib

from arbutuschute import errors
from arbutuschute.policy import admission
from arbutuschute.policy import choice
from arbutuschute.policy import service_time

UNKNOWN_LOAD = float('-inf')


class AdmissionController:
    """Queues requests until this instance's share of a pool has capacity.

    ``in_flight`` counts admitted and queued requests, ``running`` the same
    by profile.
    """

    __slots__ = (
        '_count_routers',
        '_gates',
        '_metrics',
        '_pools',
        '_timer',
        'in_flight',
        'running',
        'service_times',
    )

    def __init__(self, timer, metrics, count_routers):
        self._timer = timer
        self._metrics = metrics
        self._count_routers = count_routers
        self._gates = {}
        self._pools = {}
        self.in_flight = 0
        self.running = {}
        self.service_times = service_time.ServiceTimes()

    @contextlib.asynccontextmanager
    async def enter(self, work, pool):
        """Hold an admission to ``pool``, a pair (name, servers).

        Waits for capacity. Raises ``Overloaded`` if the profile is at its
        limit or the wait would exceed the deadline.
        """
        name = work.profile.name
        held = self.running.get(name, 0)
        if held >= work.profile.limits.in_flight:
            raise errors.Overloaded(work.organisation.name)
        self.running[name] = held + 1
        self.in_flight += 1
        ticket = None
        try:
            ticket = await self._wait_for_turn(work, *pool)
            began = self._timer.now()
            yield
            self.service_times.observe(
                work.profile.name, work.class_name, self._timer.now() - began
            )
        finally:
            self.running[name] -= 1
            self.in_flight -= 1
            if ticket is not None:
                self._gates[pool[0]].finish(ticket)
            self._pump(pool[0])

    async def _wait_for_turn(self, work, name, servers):
        """Return the admitted queue entry; None if the pool has no queue."""
        if not servers:
            return None
        now = self._timer.now()
        gate = self._gates.setdefault(name, admission.FairQueue())
        self._pools[name] = servers
        turn = asyncio.get_running_loop().create_future()
        ticket = admission.QueueEntry(
            turn,
            work.organisation.name,
            work.organisation.weight,
            work.work_class.priority,
            self.service_times.estimate(work.profile.name, work.class_name),
            work.deadline_at,
        )
        gate.enqueue(ticket, now, self._count_slots(name))
        self._pump(name)
        if not turn.done():
            self._metrics.count('admission.waited')
        try:
            return await turn
        except asyncio.CancelledError:
            if not gate.remove(ticket):
                gate.finish(ticket)
            raise

    def _count_slots(self, name):
        """Return this instance's share of a pool's slots, a fraction."""
        slots = sum(
            server.load.slots
            for server in self._pools[name]
            if not server.leaving
        )
        return slots / max(1, self._count_routers())

    def pump_all(self):
        """Admit queued requests for which there is capacity now."""
        for name, gate in self._gates.items():
            if gate.waiting:
                self._pump(name)

    def _pump(self, name):
        gate = self._gates.get(name)
        if gate is None:
            return
        now = self._timer.now()
        slots = self._count_slots(name)
        while gate.waiting and self._has_capacity(name, now):
            ticket, expired = gate.pop(now, gate.has_long_capacity(slots))
            for expired_entry in expired:
                self._refuse(expired_entry)
            if ticket is None:
                return
            if ticket.item.done():
                gate.finish(ticket)
            else:
                ticket.item.set_result(ticket)
        self._expire(gate, now)

    def _has_capacity(self, name, now):
        """Return whether to admit a request.

        It is also admitted where no server is open, so that it fails with
        the matching error, and where a server has not reported its load.
        """
        servers = [s for s in self._pools[name] if s.is_open(now)]
        if not servers or any(s.load.at == UNKNOWN_LOAD for s in servers):
            return True
        return admission.has_capacity(servers, choice.estimate_load)

    def _expire(self, gate, now):
        for expired_entry in gate.remove_expired(now):
            self._refuse(expired_entry)

    def _refuse(self, ticket):
        if not ticket.item.done():
            ticket.item.set_exception(errors.Overloaded(ticket.organisation))
