"""Link to the platform's append-only log service.

``LogClient`` makes the HTTP requests; ``LogFollower`` keeps the reading
position in one stream and publishes its records.
"""

import asyncio

import aiohttp
import msgspec
import reactivex
from returns import result

from arbutuschute import connections
from arbutuschute import decoding
from arbutuschute import errors

READ_WAIT_S = 1.0
# A lease has to outlast two held reads, a timeout and two heartbeats.
READS_PER_LEASE = 8
READ_LIMIT_RECORDS = 1000
PAUSE_AFTER_FAILURE_S = 0.2
# For the repeat of a read whose connection fell silent. A log that is up
# responds within this time over a new one; longer silence is an outage.
REPEAT_TIMEOUT_S = 0.3
# A large page may take this long on a busy link.
TRANSFER_TIMEOUT_S = 10.0


class Record(msgspec.Struct, frozen=True):
    """One log record; ``time`` is by the log's clock, in seconds."""

    offset: int
    time: float
    value: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """Records from a position on.

    ``first`` is the oldest offset that the log has, ``head`` the next free
    one. ``era`` rises when the log is restored from an older copy.
    """

    first: int
    head: int
    records: tuple[Record, ...] = ()
    era: int = 0


class _Appended(msgspec.Struct, frozen=True):
    offset: int
    era: int = 0


class LogClient:
    """Appends to and reads from the log; each call is one HTTP request."""

    __slots__ = ('_session', '_base', '_era', '_reader', '_timeout_s')

    def __init__(self, session, base, reader, timeout_s, era=None):
        self._era = era
        self._session = session
        self._base = base
        self._reader = reader
        self._timeout_s = timeout_s

    async def append(self, stream, value):
        """Return ``Result`` with the offset of the appended ``value``.

        A failure is ambiguous: the append may have taken effect, or may
        still do so later.
        """
        url = f'{self._base}/log/{stream}'
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)

        async def send():
            try:
                return await self._exchange(
                    'POST', url, data=value, timeout=timeout
                )
            except (connections.ResponseLost, asyncio.TimeoutError):
                connections.close_idle(self._session)
                raise

        return await self._call(_Appended, url, send)

    async def read(self, stream, start, wait_s=0.0):
        """Return ``Result`` with a ``Page`` from offset ``start`` on.

        If the connection was lost or fell silent the read is repeated
        without its wait.
        """
        url = f'{self._base}/log/{stream}'

        def send(wait_s, silence_s):
            return self._exchange(
                'GET',
                url,
                params={
                    'from': str(start),
                    'limit': str(READ_LIMIT_RECORDS),
                    'wait_ms': str(int(wait_s * 1000)),
                },
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + TRANSFER_TIMEOUT_S,
                    sock_connect=silence_s,
                    sock_read=wait_s + silence_s,
                ),
            )

        return await self._call(
            Page,
            url,
            lambda: connections.repeat_if_lost(
                self._session,
                lambda: send(wait_s, self._timeout_s),
                lambda: send(0.0, min(REPEAT_TIMEOUT_S, self._timeout_s)),
            ),
        )

    async def _exchange(self, method, url, **options):
        """Return the status and the body of a response."""
        async with self._session.request(
            method,
            url,
            headers={'X-Instance': self._reader},
            allow_redirects=False,
            **options,
        ) as response:
            return response.status, await connections.read_all(response)

    async def _call(self, kind, url, send):
        try:
            status, body = await send()
            if status != 200:
                return result.Failure(errors.StoreDown(url))
            found = decoding.decode_json(body, kind)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            msgspec.DecodeError,
            OSError,
        ):
            return result.Failure(errors.StoreDown(url))
        if self._era is not None:
            self._era.observe(found.era)
        return result.Success(found)


def compute_read_wait(lease_s):
    """Return the seconds that the log may hold a read of a leased stream.

    A read confirms the state at the time it was sent. Just before its
    response the last confirmation is two holds old, and peers learn of it
    only from the next heartbeat.
    """
    return min(READ_WAIT_S, lease_s / READS_PER_LEASE)


class LogFollower:
    """Follows one stream and publishes its records.

    ``records`` is an observable of ``Record``; ``confirmed_at`` is the
    latest time at which the position is known to have been the head;
    ``gap`` is set when the log has dropped records that were not yet read.
    In a new era the stream is read from its beginning. A log whose head is
    below ``least_head`` lacks known records, and confirms nothing.
    """

    __slots__ = (
        'confirmed_at',
        'era',
        'failing_since',
        'first',
        'first_time',
        'gap',
        'head',
        'least_head',
        'position',
        'records',
        '_client',
        '_advanced',
        '_stream',
        '_timer',
    )

    def __init__(self, client, stream, timer, position=0):
        self._client = client
        self._stream = stream
        self._timer = timer
        self._advanced = asyncio.Condition()
        self.records = reactivex.Subject()
        self.position = position
        self.head = None
        self.era = None
        self.least_head = 0
        self.confirmed_at = None
        self.failing_since = None
        self.first = None
        self.first_time = None
        self.gap = False

    async def run(self):
        """Read until cancelled."""
        while True:
            await self.read_next()

    async def read_next(self, wait_s=READ_WAIT_S):
        """Read one page, waiting for new records; pause on a failure."""
        if not await self.read_once(wait_s):
            await self._timer.sleep(PAUSE_AFTER_FAILURE_S)

    async def read_once(self, wait_s=0.0):
        """Read one page; return whether the log responded."""
        requested_at = self._timer.now()
        wait_s = wait_s if self.head is not None else 0.0
        answer = await self._client.read(self._stream, self.position, wait_s)
        page = answer.value_or(None)
        if page is None:
            if self.failing_since is None:
                self.failing_since = requested_at
            return False
        self.failing_since = None
        if self.era not in (None, page.era):
            self._restart(page)
            return True
        self.era = page.era
        self._check_start(page)
        for record in page.records:
            self._publish(record)
        self.head = page.head
        if self.position >= page.head >= self.least_head:
            self.confirmed_at = requested_at
        async with self._advanced:
            self._advanced.notify_all()
        return True

    def _restart(self, page):
        """Begin to read the stream of another era."""
        if page.era < self.era:
            return  # A response from before the log was restored.
        self.era = page.era
        self.position = self.first = page.first
        self.head = page.head

    def _check_start(self, page):
        """Skip records that the log has dropped; mark the gap they leave."""
        if self.first is None:
            self.first = page.first
            self.position = max(self.position, page.first)
            if page.records:
                self.first_time = page.records[0].time
        elif page.first > self.position:
            self.gap = True
            self.position = page.first

    def _publish(self, record):
        """Publish a record and advance, unless it was published before."""
        if record.offset < self.position:
            return
        self.position = record.offset + 1
        self.records.on_next(record)

    async def wait_past(self, offset):
        """Return once the record at ``offset`` has been published."""
        async with self._advanced:
            await self._advanced.wait_for(lambda: self.position > offset)

    async def wait_for_records(self):
        """Return once the position has advanced."""
        await self.wait_past(self.position)
