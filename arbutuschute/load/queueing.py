"""An instance that holds work at its gate until there is room."""

import functools

from arbutuschute import errors
from arbutuschute.load import fleet
from arbutuschute.policy import admission
from arbutuschute.policy import choice

PUMP_PERIOD_S = 0.1


class FleetQueues:
    """The gates of all instances before one fleet of fake engines."""

    __slots__ = ('_fleet', '_gates', '_refused')

    def __init__(self, made, refused):
        self._fleet = made
        self._refused = refused
        self._gates = {view.name: admission.FairQueue() for view in made.views}
        made.timer.every(PUMP_PERIOD_S).subscribe(lambda _: self._pump_all())

    def arrive(self, job, cost_s, weight=1.0):
        """Take a job at the next instance."""
        view = self._fleet.next_view()
        gate = self._gates[view.name]
        ticket = admission.QueueEntry(
            job, job.organisation, weight, job.priority, cost_s,
            job.arrived_at + job.deadline_s,
        )  # fmt: skip
        slots = self._fleet.slots / len(self._fleet.views)
        try:
            gate.enqueue(ticket, self._fleet.timer.now(), slots)
        except errors.Overloaded:
            self._refuse(job)
            return
        self._pump(view, gate)

    def _refuse(self, job):
        job.refused = True
        self._refused(job)

    def _pump_all(self):
        for view in self._fleet.views:
            self._pump(view, self._gates[view.name])

    def _pump(self, view, gate):
        """Send on what has its turn, while there is room."""
        now = self._fleet.timer.now()
        slots = self._fleet.slots / len(self._fleet.views)
        while gate.waiting and admission.has_capacity(
            view.servers, choice.estimate_load
        ):
            ticket, expired = gate.pop(now, gate.has_long_capacity(slots))
            for late in expired:
                self._refuse(late.item)
            if ticket is None:
                return
            self._fleet.send(
                view,
                fleet.choose_ours(view),
                ticket.item,
                functools.partial(self._end, view, gate, ticket),
            )

    def _end(self, view, gate, ticket, job):
        gate.finish(ticket)
        self._pump(view, gate)
