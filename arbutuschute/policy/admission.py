"""Admission: who goes first when there is more work than room.

Work waits at the instance, not at a server, until there is room, in
weighted fair order among organisations and by priority within each. What
cannot be done by its deadline is refused early, before it ran anywhere.
"""

import heapq
import itertools

from arbutuschute import errors

ROOM_LOAD = 1.3
LONG_SHARE_OF_SLOTS = 1.0
LONG_PRIORITY = 5
LEAST_COST_S = 0.001
# A forecast of the wait is short when others' demand is about to grow.
WAIT_MARGIN = 4.0


class Ticket:
    """One request's place; ``cost_s`` is its expected time in a slot."""

    __slots__ = (
        'cost_s',
        'deadline_at',
        'item',
        'number',
        'organisation',
        'priority',
        'weight',
    )

    def __init__(self, item, organisation, weight, priority, cost_s,
                 deadline_at):  # fmt: skip
        self.item = item
        self.organisation = organisation
        self.weight = weight
        self.priority = priority
        self.cost_s = max(cost_s, LEAST_COST_S)
        self.deadline_at = deadline_at
        self.number = 0

    @property
    def is_long(self):
        """Whether this work must leave room for short work."""
        return self.priority >= LONG_PRIORITY


class _Line:
    """One organisation's waiting work and its place in fair time."""

    __slots__ = ('heap', 'start', 'weight')

    def __init__(self):
        self.heap = []
        self.start = 0.0
        self.weight = 1.0


class Gate:
    """Waiting work of one pool of servers (start-time fair queueing)."""

    __slots__ = ('_clock', '_lines', '_numbers', 'running_long', 'waiting')

    def __init__(self):
        self._lines = {}
        self._numbers = itertools.count()
        self._clock = 0.0
        self.waiting = 0
        self.running_long = 0

    def has_long_room(self, slots):
        """Tell whether long work leaves the part reserved for short work.

        ``slots`` is the instance's part of the pool's slots.
        """
        return self.running_long < max(1.0, LONG_SHARE_OF_SLOTS * slots)

    def finish(self, ticket):
        """Note that the work of a ticket has ended."""
        self.running_long -= ticket.is_long

    def offer(self, ticket, now, slots):
        """Put a ticket in line, or raise ``Overloaded``.

        ``slots`` is the instance's part of the pool's slots, by which the
        time until the ticket's turn is foreseen.
        """
        line = self._lines.get(ticket.organisation)
        if line is None:
            line = self._lines[ticket.organisation] = _Line()
        line.weight = ticket.weight
        wait_s = self.foresee_wait(line, ticket, slots)
        if now + wait_s * WAIT_MARGIN + ticket.cost_s > ticket.deadline_at:
            raise errors.Overloaded(ticket.organisation)
        if not line.heap:
            line.start = max(self._clock, line.start)
        ticket.number = next(self._numbers)
        heapq.heappush(line.heap, (ticket.priority, ticket.number, ticket))
        self.waiting += 1

    def foresee_wait(self, line, ticket, slots):
        """Return seconds until a ticket's turn at its fair share."""
        active = sum(
            other.weight
            for other in self._lines.values()
            if other.heap and other is not line
        )
        share = line.weight / (active + line.weight)
        ahead_s = sum(
            entry[2].cost_s
            for entry in line.heap
            if entry[0] <= ticket.priority
        )
        return ahead_s / (share * max(slots, 1.0))

    def take(self, now, long_too=True):
        """Return (ticket, expired): whose turn it is, and who came too late.

        ``long_too`` tells whether there is room for long work as well.
        """
        expired = []
        while True:
            line = self._find_next(long_too)
            if line is None:
                return None, expired
            ticket = heapq.heappop(line.heap)[2]
            self.waiting -= 1
            if now + ticket.cost_s > ticket.deadline_at:
                expired.append(ticket)
                continue
            self._clock = max(self._clock, line.start)
            line.start += ticket.cost_s / line.weight
            self.running_long += ticket.is_long
            return ticket, expired

    def take_expired(self, now):
        """Remove and return all tickets that came too late."""
        expired = [
            entry[2]
            for line in self._lines.values()
            for entry in line.heap
            if now + entry[2].cost_s > entry[2].deadline_at
        ]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def remove(self, ticket):
        """Take a ticket out of the line; tell whether it stood in it."""
        line = self._lines.get(ticket.organisation)
        entry = (ticket.priority, ticket.number, ticket)
        if line is None or entry not in line.heap:
            return False
        line.heap.remove(entry)
        heapq.heapify(line.heap)
        self.waiting -= 1
        return True

    def _find_next(self, long_too):
        """Return the line whose first ticket ends earliest in fair time.

        A line keeps its place in fair time while it waits.
        """
        best = None
        earliest = None
        for line in self._lines.values():
            if not line.heap:
                continue
            ticket = line.heap[0][2]
            if ticket.is_long and not long_too:
                continue
            place = (line.start + ticket.cost_s / line.weight, ticket.number)
            if earliest is None or place < earliest:
                best, earliest = line, place
        return best


def has_room(servers, estimate_load):
    """Tell whether open servers may get more work.

    Servers may queue a little, so that late reports leave no slot empty.
    """
    return any(estimate_load(server) < ROOM_LOAD for server in servers)
