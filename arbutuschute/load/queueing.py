"""Instances that queue work until their engines have capacity."""

import functools

from arbutuschute import errors
from arbutuschute.load import fleet
from arbutuschute.policy import admission
from arbutuschute.policy import choice

DISPATCH_PERIOD_S = 0.1


class FleetQueues:
    """The admission queues of all instances of one simulation.

    ``on_refused(job)`` is called for each job that is refused or expires.
    """

    __slots__ = ('_on_refused', '_queues', '_simulation')

    def __init__(self, simulation, on_refused):
        self._simulation = simulation
        self._on_refused = on_refused
        self._queues = {
            view.name: admission.FairQueue() for view in simulation.views
        }
        simulation.timer.every(DISPATCH_PERIOD_S).subscribe(
            lambda _: self._dispatch_all()
        )

    def arrive(self, job, cost_s, weight=1.0):
        """Queue a job at the next instance, or refuse it."""
        view = self._simulation.next_view()
        queue = self._queues[view.name]
        entry = admission.QueueEntry(
            job, job.organisation, weight, job.priority, cost_s,
            job.arrived_at + job.deadline_s,
        )  # fmt: skip
        slots = self._simulation.slots / len(self._simulation.views)
        try:
            queue.enqueue(entry, self._simulation.timer.now(), slots)
        except errors.Overloaded:
            self._refuse(job)
            return
        self._dispatch(view, queue)

    def _refuse(self, job):
        job.refused = True
        self._on_refused(job)

    def _dispatch_all(self):
        for view in self._simulation.views:
            self._dispatch(view, self._queues[view.name])

    def _dispatch(self, view, queue):
        """Send queued jobs while there is capacity; refuse expired ones."""
        now = self._simulation.timer.now()
        slots = self._simulation.slots / len(self._simulation.views)
        while queue.waiting and admission.has_capacity(
            view.servers, choice.estimate_load
        ):
            entry, expired = queue.pop(now, queue.has_long_capacity(slots))
            for expired_entry in expired:
                self._refuse(expired_entry.item)
            if entry is None:
                return
            self._simulation.send(
                view,
                fleet.choose_ours(view),
                entry.item,
                functools.partial(self._finish, view, queue, entry),
            )

    def _finish(self, view, queue, entry, job):
        queue.finish(entry)
        self._dispatch(view, queue)
