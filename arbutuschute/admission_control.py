"""Admission control: a queue per pool of backend servers."""

import asyncio
import contextlib

from arbutuschute import errors
from arbutuschute.policy import admission
from arbutuschute.policy import choice
from arbutuschute.policy import service_time

NEVER_REPORTED_AT = float('-inf')


class AdmissionController:
    """Queues requests until this instance's share of a pool has capacity.

    ``in_flight`` counts admitted and queued requests, ``running`` the same
    by profile.
    """

    __slots__ = (
        '_count_routers',
        '_queues',
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
        self._queues = {}
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
        entry = None
        try:
            entry = await self._wait_for_turn(work, *pool)
            started_at = self._timer.now()
            yield
            self.service_times.observe(
                work.profile.name,
                work.class_name,
                self._timer.now() - started_at - work.limit_wait_s,
            )
        finally:
            self.running[name] -= 1
            self.in_flight -= 1
            if entry is not None:
                self._queues[pool[0]].finish(entry)
            self._pump(pool[0])

    async def _wait_for_turn(self, work, name, servers):
        """Return the admitted queue entry; None if the pool has no queue."""
        if not servers:
            return None
        now = self._timer.now()
        queue = self._queues.setdefault(name, admission.FairQueue())
        self._pools[name] = servers
        turn = asyncio.get_running_loop().create_future()
        entry = admission.QueueEntry(
            turn,
            work.organisation.name,
            work.organisation.weight,
            work.work_class.priority,
            self.service_times.estimate(work.profile.name, work.class_name),
            work.deadline_at,
        )
        queue.enqueue(entry, now, self._count_slots(name))
        self._pump(name)
        if not turn.done():
            self._metrics.count('admission.waited')
        try:
            return await turn
        except asyncio.CancelledError:
            if not queue.remove(entry):
                queue.finish(entry)
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
        for name, queue in self._queues.items():
            if queue.waiting:
                self._pump(name)

    def _pump(self, name):
        queue = self._queues.get(name)
        if queue is None:
            return
        now = self._timer.now()
        slots = self._count_slots(name)
        while queue.waiting and self._has_capacity(name, now):
            entry, expired = queue.pop(now, queue.has_long_capacity(slots))
            for expired_entry in expired:
                self._refuse(expired_entry)
            if entry is None:
                return
            if entry.item.done():
                queue.finish(entry)
            else:
                entry.item.set_result(entry)
        self._expire(queue, now)

    def _has_capacity(self, name, now):
        """Return whether a pool can accept one more request.

        Also true if no server is open, so that the request fails with the
        matching error, and if a server has not reported its load yet.
        """
        servers = [s for s in self._pools[name] if s.is_open(now)]
        if not servers or any(s.load.at == NEVER_REPORTED_AT for s in servers):
            return True
        return admission.has_capacity(servers, choice.estimate_load)

    def _expire(self, queue, now):
        for expired_entry in queue.remove_expired(now):
            self._refuse(expired_entry)

    def _refuse(self, entry):
        if not entry.item.done():
            entry.item.set_exception(errors.Overloaded(entry.organisation))
