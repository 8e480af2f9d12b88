"""Client of the platform's store: topics of records, in partitions."""

import asyncio
import base64
import struct

import aiohttp
import msgspec
from returns import result

from arbutuschute import connections
from arbutuschute import decoding
from arbutuschute import errors
from arbutuschute import metrics as metrics_module

# The store responds in about 4 ms, and in a few hundred on slow days.
CALL_TIMEOUT_S = 1.5
# For the repeat of a read whose connection fell silent. A store that is up
# responds within this time over a new one; longer silence is an outage.
REPEAT_TIMEOUT_S = 0.3
# While the store is not known to respond, a read that has had no response for
# this long is sent again beside the first one: a store that has come back
# answers it, and a slow one has the whole time limit.
LATE_S = 0.7
# A large response may take longer on a busy link. Giving it up would only send
# it once more.
TRANSFER_TIMEOUT_S = 10.0
# A page holds a megabyte and one record more at most, or less in base64.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# In every response; rises each time the store is restored from a copy.
ERA_HEADER = 'Store-Era'
NO_ERA = 0
MAX_ERA_DIGITS = 18
_ENDS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class Record(msgspec.Struct, frozen=True):
    """A keyed record; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


class Page(msgspec.Struct, frozen=True):
    """Raw records from ``start`` on; ``end`` is the next free offset.

    ``current_after_s`` is set if a zone peer answered: the store had
    nothing newer at this many seconds after the request was sent (before
    it, if negative). With ``is_repeat`` the store was asked a second time,
    and didn't wait for new records.
    """

    end: int
    first: int
    start: int
    records: tuple[bytes, ...]
    current_after_s: float | None = None
    era: int = NO_ERA
    is_repeat: bool = False

    @property
    def next(self):
        """The offset to continue reading from."""
        return self.start + len(self.records)


class Snapshot(msgspec.Struct, frozen=True):
    """The newest record of each key; new ones follow from ``end`` on.

    ``confirmed_at`` is set if a zone peer answered: when the store had nothing
    newer, on this instance's clock.
    """

    records: tuple[Record, ...]
    end: int
    confirmed_at: float | None = None
    era: int = NO_ERA


class _Response(msgspec.Struct, frozen=True):
    """The body of a successful response, and the era in its headers."""

    body: bytes
    era: int
    is_repeat: bool


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int


def make_session():
    """Return the HTTP client for the store and zone peers."""
    return connections.make_session(
        cookie_jar=aiohttp.DummyCookieJar(),
        connector=connections.Connector(limit=0),
    )


class Store:
    """HTTP client of the store; each call returns ``Result``, never raises.

    After ``StoreDown`` a write may or may not have been done. ``StoreGap``
    means that the requested records have been deleted.
    """

    __slots__ = ('_base', '_era', '_is_answering', '_metrics', '_session')

    def __init__(self, session, address, metrics=None, era=None):
        self._session = session
        self._base = f'http://{address}'
        self._metrics = metrics or metrics_module.Metrics(None)
        self._era = era
        # Whether the last call succeeded, None before the first one.
        self._is_answering = None

    async def read(self, topic, start, wait_s=0.0):
        """Return a ``Page`` of a topic's first partition from ``start`` on.

        The store waits up to ``wait_s`` for a record if there is none.
        """
        query = {'topic': topic, 'part': '0', 'from': str(start)}
        if wait_s:
            query['waitMs'] = str(int(wait_s * 1000))
        answer = await self._call('GET', '/log-read', query, wait_s=wait_s)
        return answer.bind(lambda response: _decode_page(response, start))

    async def read_newest(self, topic):
        """Return a ``Snapshot`` of a topic's first partition.

        Pages are not a snapshot: ``end`` is that of the first page, so that
        changes made between two pages are read again from there.
        """
        records = []
        end = era = None
        after = None
        while True:
            query = {'topic': topic, 'part': '0'}
            if after is not None:
                query['after'] = after
            answer = await self._call('GET', '/log-newest', query)
            if isinstance(answer, result.Failure):
                return answer
            response = answer.unwrap()
            if era not in (None, response.era):
                return result.Failure(errors.StoreRestored(response.era))
            answer = _decode_newest(response)
            if isinstance(answer, result.Failure):
                return answer
            page = answer.unwrap()
            if end is None:
                end, era = page.end, response.era
            records.extend(_decode_items(page.items))
            if not page.more or not page.items:
                return result.Success(Snapshot(tuple(records), end, era=era))
            after = page.items[-1].key

    async def put(self, topic, key, value, at=None):
        """Append one keyed record; return its offset.

        With ``at``, append only if the topic still ends at that offset.
        """
        name = key.encode()
        raw = bytes((len(name),)) + name + value
        query = {'topic': topic, 'part': '0'}
        if at is not None:
            query['at'] = str(at)
        body = _LENGTH.pack(len(raw)) + raw
        answer = await self._call('POST', '/log-append', query, body)
        return answer.bind(_decode_offset)

    async def _call(self, method, path, query, body=None, wait_s=0.0):
        topic = query['topic']
        answer = await self._send(method, path, query, body, wait_s)
        self._is_answering = not isinstance(
            answer, result.Failure
        ) or isinstance(answer.failure(), errors.StoreGap)
        if isinstance(answer, result.Failure):
            self._metrics.count(f'store.failures.{topic}', 1)
        else:
            self._metrics.count(
                f'store.bytes_read.{topic}', len(answer.unwrap().body)
            )
            self._metrics.count(
                f'store.bytes_written.{topic}', len(body or b'')
            )
        return answer

    async def _send(self, method, path, query, body, wait_s):
        try:
            if method == 'GET':
                response, raw, is_repeat = await self._get(path, query, wait_s)
            else:
                response, raw = await self._append(path, query, body)
                is_repeat = False
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return result.Failure(errors.StoreDown(f'{path} {error!r}'))
        era = _decode_era(response.headers.get(ERA_HEADER))
        if self._era is not None:
            self._era.observe(era)
        if response.status == 200:
            return result.Success(_Response(raw, era, is_repeat))
        if response.status == 410:
            return result.Failure(errors.StoreGap(query['topic']))
        return result.Failure(errors.StoreDown(f'{path} {response.status}'))

    async def _get(self, path, query, wait_s):
        if self._is_answering:
            return await connections.repeat_if_lost(
                self._session,
                lambda: self._read(path, query, wait_s),
                lambda: self._repeat(path, query, REPEAT_TIMEOUT_S),
            )
        begun = []
        return await connections.repeat_if_late(
            self._session,
            lambda: self._read(path, query, wait_s, begun.append),
            lambda: self._repeat(path, query, CALL_TIMEOUT_S - LATE_S),
            wait_s + LATE_S,
            lambda: begun,
            repeats_lost=self._is_answering is None,
        )

    async def _read(self, path, query, wait_s, on_response=None):
        timeout = _make_read_timeout(CALL_TIMEOUT_S, wait_s)
        found = await self._exchange(
            'GET', path, query, timeout, on_response=on_response
        )
        return *found, False

    async def _repeat(self, path, query, silence_s):
        """Repeat a read without its wait."""
        self._metrics.count(f'store.repeats.{query["topic"]}', 1)
        query = {name: v for name, v in query.items() if name != 'waitMs'}
        timeout = _make_read_timeout(silence_s)
        found = await self._exchange('GET', path, query, timeout)
        return *found, True

    async def _append(self, path, query, body):
        try:
            return await self._exchange(
                'POST', path, query, _make_append_timeout(), body
            )
        except (connections.ResponseLost, asyncio.TimeoutError):
            connections.close_idle(self._session)
            raise

    async def _exchange(
        self, method, path, query, timeout, body=None, on_response=None
    ):
        """Return the response to one call, and its body."""
        self._metrics.count(f'store.calls.{query["topic"]}', 1)
        async with self._session.request(
            method,
            self._base + path,
            params=query,
            data=body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            if on_response is not None:
                on_response(response)
            raw = await connections.read_all(response, MAX_RESPONSE_BYTES)
            return response, raw


def _decode_era(text):
    """Return the era in a header; a store that names none has one only."""
    if text is None or not text.isascii() or not text.isdigit():
        return NO_ERA
    return int(text[:MAX_ERA_DIGITS])


def _make_append_timeout():
    return aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)


def _make_read_timeout(silence_s, wait_s=0.0):
    """Return the limits of a read: that of silence, beyond a wait."""
    return aiohttp.ClientTimeout(
        total=wait_s + TRANSFER_TIMEOUT_S,
        sock_connect=silence_s,
        sock_read=wait_s + silence_s,
    )


def split_keyed(raw, offset):
    """Return the ``Record`` in a keyed topic's bytes, None if malformed."""
    if not raw or len(raw) < 1 + raw[0]:
        return None
    size = 1 + raw[0]
    try:
        key = raw[1:size].decode()
    except UnicodeDecodeError:
        return None
    return Record(key, raw[size:] or None, offset)


def _decode_page(response, start):
    body = response.body
    if len(body) < _ENDS.size:
        return result.Failure(errors.StoreDown('short page'))
    end, first = _ENDS.unpack_from(body)
    records = []
    at = _ENDS.size
    while at + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + size > len(body):
            return result.Failure(errors.StoreDown('cut page'))
        records.append(body[at : at + size])
        at += size
    return result.Success(
        Page(
            end,
            first,
            start,
            tuple(records),
            era=response.era,
            is_repeat=response.is_repeat,
        )
    )


def _decode_newest(response):
    try:
        return result.Success(decoding.decode_json(response.body, _Newest))
    except msgspec.DecodeError as error:
        return result.Failure(errors.StoreDown(f'page: {error}'))


def _decode_items(items):
    for item in items:
        try:
            value = base64.b64decode(item.value)
        except ValueError:
            continue
        yield Record(item.key, value or None, item.offset)


class _Appended(msgspec.Struct):
    offset: int


def _decode_offset(response):
    try:
        found = decoding.decode_json(response.body, _Appended)
        return result.Success(found.offset)
    except msgspec.DecodeError as error:
        return result.Failure(errors.StoreDown(f'append: {error}'))
