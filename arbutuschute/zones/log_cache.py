"""A cache of the store's newest records, shared with zone peers.

One instance of a zone reads the store and the others query it for new
records. Offsets are the store's own, so an instance can switch from one
reader to another, or to the store, at any moment. An offset belongs to an era:
the store may be restored from an older copy and give offsets out again.
"""

import asyncio
import zlib

import aiohttp
from aiohttp import web
import msgspec
from returns import result

from arbutuschute import connections
from arbutuschute import decoding
from arbutuschute import errors
from arbutuschute.zones import topic_cache

# Larger responses are left to the store: a dozen copies at once would fill
# the link of the smallest machines (5 Mbit/s) for two seconds.
MAX_RESPONSE_BYTES = 96 * 1024
MAX_RECORD_BYTES = 8 * 1024 * 1024
# A healthy peer in the same zone responds within a millisecond; a large
# response may then take long on a busy link.
RESPONSE_TIMEOUT_S = 0.4
TRANSFER_TIMEOUT_S = 3.0
# No follower requests a longer wait than its own polling period.
MAX_WAIT_S = 30.0
PATH = '/tail'
NEWEST_PATH = '/newest'
# A peer that starts, too, is queried again after this time.
NEWEST_RETRY_S = 0.1


class CacheResponse(msgspec.Struct, frozen=True):
    """Records from ``start`` on, and how current they are.

    ``age_s`` is how long before the response the store was known to have
    nothing after ``end``; ``held_s`` is how long the request was held. Both
    are on the responding instance's clock. ``compressed`` holds the positions
    of the records that are compressed. Without an ``era`` the response is of
    a build that knows of none.
    """

    start: int
    end: int
    age_s: float
    held_s: float
    records: tuple[bytes, ...]
    compressed: tuple[int, ...] = ()
    era: int | None = None


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of one key."""

    key: str
    offset: int
    value: bytes
    is_compressed: bool = False


class NewestResponse(msgspec.Struct, frozen=True):
    """The newest record of each key; new ones follow from ``end`` on.

    ``age_s`` is that of a ``CacheResponse``.
    """

    end: int
    age_s: float
    records: tuple[KeyedRecord, ...]
    era: int = 0


_decoder = decoding.make_msgpack_decoder(CacheResponse)
_newest_decoder = decoding.make_msgpack_decoder(NewestResponse)


class _Newest:
    """The newest records of one topic, by key."""

    __slots__ = ('confirmed_at', 'end', 'era', 'records')

    def __init__(self, records, end, confirmed_at, era):
        self.records = records
        self.end = end
        self.era = era
        self.confirmed_at = confirmed_at


class LogCache:
    """The caches of all topics that this instance reads, for zone peers."""

    __slots__ = ('_by_topic', '_compressed', '_newest', '_now', '_peers')

    def __init__(self, now, peers=None):
        self._by_topic = {}
        # Counts the zone peers that query, unless it is None.
        self._peers = peers
        # Compressed copies of large records, by topic and key.
        self._compressed = {}
        self._newest = {}
        self._now = now

    def set_newest(self, topic, records, end, confirmed_at, era=0):
        """Share a topic's newest records as of ``end``.

        ``records`` maps keys to (offset, value) and may change until the
        next call.
        """
        self._newest[topic] = _Newest(records, end, confirmed_at, era)

    def has_newest(self, topic):
        """Return whether this instance has read a topic yet."""
        return topic in self._newest

    def get_newest(self, topic):
        """Return a ``NewestResponse``, None if it would be too large."""
        found = self._newest[topic]
        records = tuple(
            self._pack(topic, key, offset, value)
            for key, (offset, value) in found.records.items()
        )
        if sum(len(record.value) for record in records) > MAX_RESPONSE_BYTES:
            return None
        age_s = self._now() - found.confirmed_at
        return NewestResponse(found.end, age_s, records, found.era)

    def _pack(self, topic, key, offset, value):
        """Return a ``KeyedRecord``; a large value is compressed once."""
        if len(value) < topic_cache.MIN_COMPRESSED_BYTES:
            return KeyedRecord(key, offset, value)
        raw, packed = self._compressed.get((topic, key), (None, None))
        if raw is not value:
            packed = KeyedRecord(key, offset, zlib.compress(value), True)
            self._compressed[topic, key] = value, packed
        return packed

    def extend(self, topic, start, records, confirmed_at, era=0):
        """Add records read from the store."""
        cache = self._by_topic.get(topic)
        if cache is None:
            cache = self._by_topic[topic] = topic_cache.TopicCache()
        cache.extend(start, records, confirmed_at, era)

    async def get_records(
        self, topic, start, wait_s, compresses=False, era=None
    ):
        """Return a ``CacheResponse``, None if the cache lacks the records.

        Wait at most ``wait_s`` for a record at ``start``. With ``compresses``
        large records are compressed. Without an era, that of the cache is
        taken.
        """
        received_at = self._now()
        cache = self._by_topic.get(topic)
        if cache is None:
            return None
        if era is None:
            era = cache.era
        await cache.wait_past(start, era, wait_s)
        if not cache.has(start, era):
            return None
        records, compressed = cache.copy(start), ()
        if compresses:
            records, compressed = cache.compress(start, records)
        if sum(map(len, records)) > MAX_RESPONSE_BYTES:
            return None
        now = self._now()
        return CacheResponse(
            start,
            cache.end,
            now - cache.confirmed_at,
            now - received_at,
            records,
            compressed,
            era,
        )

    async def answer(self, request):
        """Respond to a zone peer's HTTP request."""
        if request.path == NEWEST_PATH:
            return self._answer_newest(request.query)
        return await self._answer_tail(request.query)

    def _answer_newest(self, query):
        if 'topic' not in query:
            return web.Response(status=400)
        if not self.has_newest(query['topic']):
            return web.Response(status=503)
        return _make_response(self.get_newest(query['topic']))

    async def _answer_tail(self, query):
        try:
            topic = query['topic']
            start = int(query['start'])
            wait_s = float(query['wait_s'])
            compresses = query.get('compresses') == '1'
            # Builds that don't know of eras name none.
            era = int(query['era']) if 'era' in query else None
        except (KeyError, ValueError):
            return web.Response(status=400)
        if not 0.0 <= wait_s <= MAX_WAIT_S:
            return web.Response(status=400)
        if self._peers is not None and 'peer' in query:
            self._peers.record(query['peer'])
        return _make_response(
            await self.get_records(topic, start, wait_s, compresses, era)
        )


def _make_response(found):
    if found is None:
        return web.Response(status=404)
    return web.Response(body=msgspec.msgpack.encode(found))


async def fetch(session, address, topic, start, wait_s, era=0, peer=''):
    """Request the records from ``start`` on from the peer at ``address``.

    ``peer`` is the own address, by which the other one counts its peers.

    Return ``Result`` with a ``CacheResponse``; the failure is ``StoreGap``
    if the peer can't serve those records, ``ReaderSilent`` if it didn't
    respond in time.
    """
    query = {
        'topic': topic,
        'start': str(start),
        'wait_s': f'{wait_s:.3f}',
        'compresses': '1',
        'era': str(era),
        'peer': peer,
    }
    return await _get(
        session, address, PATH, query, wait_s,
        lambda raw: _expand(_decoder.decode(raw)),
    )  # fmt: skip


async def fetch_newest(session, address, topic):
    """Request the newest record of each key from the peer at ``address``.

    Return ``Result`` with a ``NewestResponse`` or a failure of ``fetch``,
    ``ReaderStarting`` if the peer has not read the topic yet.
    """
    return await _get(
        session, address, NEWEST_PATH, {'topic': topic}, 0.0, _expand_newest
    )


async def fetch_newest_at_start(session, timer, address, topic, wait_s):
    """Do the same, and give a peer that starts ``wait_s`` to read the topic.

    Return the ``Result``, and when it was requested.
    """
    until = timer.now() + wait_s
    while True:
        requested_at = timer.now()
        answer = await fetch_newest(session, address, topic)
        is_starting = isinstance(answer, result.Failure) and isinstance(
            answer.failure(), errors.ReaderStarting
        )
        if not is_starting or requested_at >= until:
            return answer, requested_at
        await timer.sleep(NEWEST_RETRY_S)


async def _get(session, address, path, query, wait_s, decode):
    """Return ``Result`` with the decoded response of a peer."""
    topic = query['topic']
    timeout = aiohttp.ClientTimeout(
        total=wait_s + TRANSFER_TIMEOUT_S,
        sock_connect=RESPONSE_TIMEOUT_S,
        sock_read=wait_s + RESPONSE_TIMEOUT_S,
    )
    try:
        async with session.get(
            f'http://{address}{path}',
            params=query,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            raw = await connections.read_all(response, MAX_RECORD_BYTES)
            if response.status == 200:
                return result.Success(decode(raw))
    except (
        aiohttp.ClientError,
        asyncio.TimeoutError,
        OSError,
        msgspec.DecodeError,
        zlib.error,
    ) as error:
        if isinstance(error, asyncio.TimeoutError):
            connections.close_idle(session)
        return result.Failure(errors.ReaderSilent(address, repr(error)))
    if response.status == 503:
        return result.Failure(errors.ReaderStarting(address))
    return result.Failure(errors.StoreGap(topic))


def _expand(response):
    """Return a response with all records as they are in the store."""
    if not response.compressed:
        return response
    records = list(response.records)
    for position in response.compressed:
        records[position] = _decompress(records[position])
    return msgspec.structs.replace(
        response, records=tuple(records), compressed=()
    )


def _expand_newest(raw):
    """Return the decoded ``NewestResponse`` without compressed records."""
    response = _newest_decoder.decode(raw)
    records = tuple(
        KeyedRecord(record.key, record.offset, _decompress(record.value))
        if record.is_compressed
        else record
        for record in response.records
    )
    return msgspec.structs.replace(response, records=records)


def _decompress(raw):
    expander = zlib.decompressobj()
    expanded = expander.decompress(raw, MAX_RECORD_BYTES)
    if not expander.eof:
        raise msgspec.DecodeError('record too large')
    return expanded
