"""What a process holds for callers: connections, bodies and answers.

Used by both interfaces. A connection that is closed here either has no
request that may have run, or a response that its client doesn't read.
"""

import asyncio
import collections

import aiohttp
from aiohttp import web

from arbutuschute import bodies
from arbutuschute import errors
from arbutuschute.policy import intake

# Bodies up to this size are part of what a connection takes.
SMALL_BODY_BYTES = 16 * 1024
SMALL_ANSWER_BYTES = 64 * 1024
CHECK_PERIOD_S = 1.0


def build(limits, now, metrics, log):
    """Return the ``Intake`` of a process on a machine with ``limits``.

    They have ``memory_bytes``, ``max_descriptors`` and ``unread_s``.
    """
    computed = intake.compute_limits(
        limits.memory_bytes, limits.max_descriptors, limits.unread_s
    )
    return Intake(computed, now, metrics, log)


def make_inner(now, metrics, log):
    """Return the ``Intake`` of the addresses that are not for callers."""
    return Intake(intake.INNER_LIMITS, now, metrics, log)


class Intake:
    """The connections and budgets of one process.

    ``now()`` returns seconds on a clock of the composition root.
    """

    __slots__ = ('_connections', '_log', '_metrics', '_now', '_since_log',
                 '_transports', 'answers', 'bodies', 'limits')  # fmt: skip

    def __init__(self, limits, now, metrics, log):
        self.limits = limits
        self.bodies = intake.Budget(limits.body_bytes)
        self.answers = intake.Budget(limits.answer_bytes)
        self._connections = set()
        # What each open transport has to write; those of connections that
        # have been closed stay until it is written.
        self._transports = {}
        self._now = now
        self._metrics = metrics
        self._log = log
        self._since_log = collections.Counter()

    def count(self, cause):
        """Count a connection that is closed or refused."""
        self._metrics.count(f'callers.closed.{cause}')
        self.note(cause)

    def note(self, cause):
        """Count a cause for the next log line only."""
        self._since_log[cause] += 1

    def admit(self, connection, transport):
        """Record a new connection; return whether it may stay."""
        limit = self.limits.connections
        if len(self._transports) >= limit and not self._close_waiting():
            self.count('full')
            return False
        self._connections.add(connection)
        self._transports[transport] = intake.Unread()
        return True

    def remove(self, connection, transport):
        """Forget a connection that has ended."""
        self._connections.discard(connection)
        self._transports.pop(transport, None)

    def _close_waiting(self):
        """Close connections whose clients are awaited; return whether any."""
        waiting = [
            (found.is_reading, found.waiting_since, found)
            for found in self._connections
            if found.is_waiting
        ]
        closed = intake.select_closed(self.limits.connections, waiting)
        for connection in closed:
            self.count('reading' if connection.is_reading else 'idle')
            # More may be accepted before the connection is lost.
            self.remove(connection, connection.own_transport)
            connection.abort()
        return bool(closed)

    async def run(self, timer):
        """Close connections that stay unread, and log counts, for ever."""
        while True:
            await timer.sleep(CHECK_PERIOD_S)
            self.check()

    def check(self):
        """Close the connections whose clients read or send nothing."""
        now = self._now()
        for transport, unread in list(self._transports.items()):
            waiting = transport.get_write_buffer_size()
            if unread.measure(waiting, now) >= self.limits.unread_s:
                self.count('unread')
                transport.abort()
        if self._since_log:
            self._log.warning('callers closed', causes=dict(self._since_log))
            self._since_log.clear()


class Body:
    """The body of one request, and its share of the process's memory."""

    __slots__ = ('_intake', '_is_evicted', '_limit', '_raw', '_share')

    def __init__(self, raw, process_intake):
        self._raw = raw
        self._intake = process_intake
        self._limit = None
        self._share = None
        self._is_evicted = False

    async def read(self, limit_bytes, pause_s):
        """Return the whole body; raise ``Failure`` for one that isn't read.

        The client may pause for ``pause_s`` at most.
        """
        content = self._raw.content
        length = self._raw.content_length
        if length is not None and length > limit_bytes:
            raise errors.BodyTooLarge(limit_bytes)
        parts = []
        try:
            if content.is_eof():
                parts.append(content.read_nowait())
                self._grow(len(parts[0]), len(parts[0]), limit_bytes)
            else:
                await self._read_parts(parts, limit_bytes, pause_s)
            return b''.join(parts)
        except (aiohttp.ClientError, web.HTTPException):
            raise errors.BrokenBody('body could not be read') from None
        finally:
            # The traceback of a failure refers to the parts.
            parts.clear()
            if self._share is not None:
                self._share.keep()

    def close(self):
        """Give back the memory, as the request has ended."""
        if self._share is not None:
            self._share.close()

    async def _read_parts(self, parts, limit_bytes, pause_s):
        size = 0
        clock = asyncio.get_running_loop().time
        protocol = self._raw.protocol
        protocol.is_reading_body = True
        if (self._raw.content_length or 0) > SMALL_BODY_BYTES:
            protocol.read_more(self._raw.content)
        try:
            async with asyncio.timeout(pause_s) as self._limit:
                while part := await self._raw.content.readany():
                    size += len(part)
                    self._grow(len(part), size, limit_bytes)
                    parts.append(part)
                    if not self._limit.expired():
                        self._limit.reschedule(clock() + pause_s)
        except TimeoutError:
            if not self._is_evicted:
                raise errors.SlowBody(pause_s) from None
        finally:
            protocol.end_body()
        # Its end may have arrived at the same time.
        if self._is_evicted:
            raise self._make_refusal()

    def _grow(self, added, size, limit_bytes):
        """Take the bytes that were read from the budget, or refuse them."""
        if size > limit_bytes:
            raise errors.BodyTooLarge(limit_bytes)
        if size <= SMALL_BODY_BYTES:
            return
        if self._share is None:
            self._share = self._intake.bodies.open(self._evict)
            added = size
        if not self._share.try_grow(added):
            raise self._make_refusal()

    def _evict(self):
        self._is_evicted = True
        if not self._limit.expired():
            self._limit.reschedule(asyncio.get_running_loop().time())

    def _make_refusal(self):
        self._intake.note('bodies')
        return errors.MemoryFull(self._intake.limits.body_bytes)


class _Answer(bodies.Pieces):
    """A large answer, and its share of the process's memory."""

    def __init__(self, value, raw, process_intake, content_type):
        super().__init__(value, content_type=content_type)
        self._intake = process_intake
        self._protocol = raw.protocol
        self._share = None

    async def write(self, writer):
        """Write the answer; its connection may be closed for another one's."""
        self._share = self._intake.answers.open(self._evict)
        try:
            if not self._share.try_grow(self.size):
                self._evict()
            await super().write(writer)
        finally:
            self._share.close()

    def record_progress(self):
        """Let connections that read nothing be closed first."""
        self._share.record_progress()

    def _evict(self):
        self._intake.count('answers')
        self._protocol.abort()


def make_answer_body(value, raw, process_intake, content_type=None):
    """Return what to pass to a response for a whole body."""
    if len(value) <= SMALL_ANSWER_BYTES:
        return value
    return _Answer(value, raw, process_intake, content_type)
