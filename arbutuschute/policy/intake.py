"""Budgets of what clients may make a process hold: bytes and connections.

Each request is within its limits; these bound the sum over all clients.
"""

import collections

import msgspec

MIB = 1024 * 1024
# An idle instance takes 45 MB, a router that has served a little 51 MB.
PROCESS_BYTES = 64 * MIB
# Also on machines that state less memory than a process takes.
MIN_SPARE_BYTES = 32 * MIB
# Each of the two budgets takes this part of the spare memory. The rest is for
# connections, for answers while they are read and for gaps in the heap.
BUDGET_PARTS = 4
# The smallest budget admits two bodies of the largest size that is documented.
MIN_BUDGET_BYTES = 8 * MIB
# One connection, on average over idle ones and some with full buffers.
CONNECTION_BYTES = 64 * 1024
# For files, and for connections to the store, peers and operators.
RESERVED_DESCRIPTORS = 200 + 40
MIN_CONNECTIONS = 16
# So many are closed together, as looking for them takes time.
CLOSED_PARTS = 32


class Limits(msgspec.Struct, frozen=True):
    """What all clients together may hold, and how long one may read nothing.

    ``body_bytes`` are of requests, ``answer_bytes`` of responses.
    """

    body_bytes: int
    answer_bytes: int
    connections: int
    unread_s: float


# For the platform's checks and zone peers, of which there are fewer than 100.
INNER_LIMITS = Limits(MIN_BUDGET_BYTES, MIN_BUDGET_BYTES, 256, 12.0)


def compute_limits(memory_bytes, max_descriptors, unread_s):
    """Return the ``Limits`` of a process on a machine."""
    spare = max(MIN_SPARE_BYTES, memory_bytes - PROCESS_BYTES)
    budget = max(MIN_BUDGET_BYTES, spare // BUDGET_PARTS)
    # Each running request has a second connection, to its server.
    by_descriptors = (max_descriptors - RESERVED_DESCRIPTORS) // 2
    by_memory = spare // BUDGET_PARTS // CONNECTION_BYTES
    connections = max(MIN_CONNECTIONS, min(by_descriptors, by_memory))
    return Limits(budget, budget, connections, unread_s)


class Budget:
    """Bytes that many hold; those without progress lose theirs first."""

    __slots__ = ('_evictable', 'held', 'limit')

    def __init__(self, limit):
        self.limit = limit
        self.held = 0
        # The shares that may be evicted, the longest without progress first.
        self._evictable = collections.OrderedDict()

    def open(self, evict):
        """Return an empty ``Share``; ``evict()`` ends its holder."""
        return Share(self, evict)

    def _make_room(self, size, taker):
        """Evict other shares until ``size`` fits; return whether it does.

        None is evicted if that would not be enough.
        """
        if self.held + size <= self.limit:
            return True
        free = self.limit - self.held
        victims = []
        for share in self._evictable:
            if free >= size:
                break
            if share is not taker:
                victims.append(share)
                free += share.size
        if free < size:
            return False
        for share in victims:
            share.close()
            share.evict()
        return True


class Share:
    """The bytes that one holder has of a ``Budget``."""

    __slots__ = ('_budget', '_is_closed', 'evict', 'size')

    def __init__(self, budget, evict):
        self._budget = budget
        self._is_closed = False
        self.evict = evict
        self.size = 0

    def try_grow(self, size):
        """Add bytes, if there is or can be made room; return whether."""
        budget = self._budget
        if self._is_closed or not budget._make_room(size, self):
            return False
        self.size += size
        budget.held += size
        budget._evictable[self] = None
        budget._evictable.move_to_end(self)
        return True

    def record_progress(self):
        """Note that the holder's client has sent or read something."""
        if self in self._budget._evictable:
            self._budget._evictable.move_to_end(self)

    def keep(self):
        """Keep the bytes until ``close``: the request may run from now on."""
        self._budget._evictable.pop(self, None)

    def close(self):
        """Give the bytes back."""
        self.keep()
        self._budget.held -= self.size
        self.size = 0
        self._is_closed = True


def select_closed(limit, waiting):
    """Return which connections to close, as ``limit`` are open.

    ``waiting`` holds (is reading, since, connection) for each connection
    whose client is awaited. The idle ones are closed first, then those whose
    request has not been read whole; of these the longest waiting.
    """
    count = max(1, limit // CLOSED_PARTS)
    ranked = sorted(waiting, key=lambda found: found[:2])
    idle = [found for found in ranked if not found[0]]
    return [connection for *_, connection in (idle or ranked)[:count]]


class Unread:
    """How long a client has read nothing of what waits for it."""

    __slots__ = ('_bytes', '_since')

    def __init__(self):
        self._bytes = 0
        self._since = 0.0

    def measure(self, waiting_bytes, now):
        """Return for how many seconds nothing of ``waiting_bytes`` was read.

        Reading shows as a change between two calls.
        """
        if waiting_bytes != self._bytes or not waiting_bytes:
            self._bytes = waiting_bytes
            self._since = now
        return now - self._since
