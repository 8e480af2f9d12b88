"""Admission: the order of waiting work when servers are full.

Work waits at the instance, not at a server, until a server has capacity:
in weighted fair order among organisations and by priority within each.
Work that cannot end by its deadline is refused before it runs anywhere.
"""

import heapq
import itertools

from arbutuschute import errors

# Work per slot below which a server gets more work.
MAX_OPEN_LOAD = 1.3
# Part of the slots that long work may fill.
LONG_SLOTS_SHARE = 1.0
# Work of this priority number or above counts as long.
LONG_PRIORITY = 5
MIN_COST_S = 0.001
# Factor on an estimated wait: it is too short while others' demand grows.
WAIT_MARGIN = 4.0


class QueueEntry:
    """One waiting request; ``cost_s`` is its expected time in a slot."""

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
        self.cost_s = max(cost_s, MIN_COST_S)
        self.deadline_at = deadline_at
        self.number = 0

    @property
    def is_long(self):
        """Whether this work must leave capacity for short work."""
        return self.priority >= LONG_PRIORITY


class _OrganisationQueue:
    """One organisation's waiting work and its virtual start time."""

    __slots__ = ('heap', 'virtual_start', 'weight')

    def __init__(self):
        self.heap = []
        self.virtual_start = 0.0
        self.weight = 1.0


class FairQueue:
    """Waiting work of one pool of servers, by start-time fair queueing."""

    __slots__ = ('_numbers', '_queues', '_virtual_time', 'running_long',
                 'waiting')  # fmt: skip

    def __init__(self):
        self._queues = {}
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self.waiting = 0
        self.running_long = 0

    def has_long_capacity(self, slots):
        """Return whether more long work may run beside the short work.

        ``slots`` is the instance's part of the pool's slots.
        """
        return self.running_long < max(1.0, LONG_SLOTS_SHARE * slots)

    def finish(self, entry):
        """Record that an entry's work has ended."""
        self.running_long -= entry.is_long

    def enqueue(self, entry, now, slots):
        """Append an entry, or raise ``Overloaded`` if it would expire.

        ``slots`` is the instance's part of the pool's slots; the entry's
        wait is estimated from it.
        """
        queue = self._queues.get(entry.organisation)
        if queue is None:
            queue = self._queues[entry.organisation] = _OrganisationQueue()
        queue.weight = entry.weight
        wait_s = self.estimate_wait_s(queue, entry, slots)
        if now + wait_s * WAIT_MARGIN + entry.cost_s > entry.deadline_at:
            raise errors.Overloaded(entry.organisation)
        if not queue.heap:
            queue.virtual_start = max(self._virtual_time, queue.virtual_start)
        entry.number = next(self._numbers)
        heapq.heappush(queue.heap, (entry.priority, entry.number, entry))
        self.waiting += 1

    def estimate_wait_s(self, queue, entry, slots):
        """Return the seconds until an entry's turn at its fair share."""
        active = sum(
            other.weight
            for other in self._queues.values()
            if other.heap and other is not queue
        )
        share = queue.weight / (active + queue.weight)
        ahead_s = sum(
            item[2].cost_s for item in queue.heap if item[0] <= entry.priority
        )
        return ahead_s / (share * max(slots, 1.0))

    def pop(self, now, allows_long=True):
        """Remove the next entry; return (entry or None, expired entries).

        Without ``allows_long``, long work stays in the queue.
        """
        expired = []
        while True:
            queue = self._find_next(allows_long)
            if queue is None:
                return None, expired
            entry = heapq.heappop(queue.heap)[2]
            self.waiting -= 1
            if now + entry.cost_s > entry.deadline_at:
                expired.append(entry)
                continue
            self._virtual_time = max(self._virtual_time, queue.virtual_start)
            queue.virtual_start += entry.cost_s / queue.weight
            self.running_long += entry.is_long
            return entry, expired

    def remove_expired(self, now):
        """Remove and return all entries that cannot end by their deadline."""
        expired = [
            item[2]
            for queue in self._queues.values()
            for item in queue.heap
            if now + item[2].cost_s > item[2].deadline_at
        ]
        for entry in expired:
            self.remove(entry)
        return expired

    def remove(self, entry):
        """Remove an entry; return whether it was in the queue."""
        queue = self._queues.get(entry.organisation)
        item = (entry.priority, entry.number, entry)
        if queue is None or item not in queue.heap:
            return False
        queue.heap.remove(item)
        heapq.heapify(queue.heap)
        self.waiting -= 1
        return True

    def _find_next(self, allows_long):
        """Return the queue whose first entry has the earliest finish tag.

        A queue keeps its virtual start time while it waits.
        """
        best = None
        earliest = None
        for queue in self._queues.values():
            if not queue.heap:
                continue
            entry = queue.heap[0][2]
            if entry.is_long and not allows_long:
                continue
            finish_tag = (
                queue.virtual_start + entry.cost_s / queue.weight,
                entry.number,
            )
            if earliest is None or finish_tag < earliest:
                best, earliest = queue, finish_tag
        return best


def has_capacity(servers, estimate_load):
    """Return whether any of the open servers may get more work.

    Servers may queue a little, so that late reports leave no slot empty.
    """
    return any(estimate_load(server) < MAX_OPEN_LOAD for server in servers)
