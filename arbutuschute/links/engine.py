"""Link to backend servers: one attempt owns one connection."""

import asyncio
import contextlib

import aiohttp
import msgspec

from arbutuschute import bodies
from arbutuschute import connections
from arbutuschute import decoding
from arbutuschute import errors
from arbutuschute.machines import statements
from arbutuschute.policy import rate_limits

CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 15.0
CANCEL_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 0.5
MAX_REFUSAL_BYTES = 64 * 1024
MAX_EVENT_BYTES = 256 * 1024
EVENT_END = b'\n\n'
STREAM_END = b'data: [DONE]\n\n'
USAGE_FIELD = b'"usage"'
EVENT_FIELD = b'data:'


class Usage(msgspec.Struct, frozen=True):
    """Tokens that an engine counted for one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Final(msgspec.Struct, frozen=True):
    id: str
    usage: Usage


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ''
    ran: str = errors.Ran.UNKNOWN.value


_final_decoder = decoding.make_json_decoder(_Final)
_refusal_decoder = decoding.make_json_decoder(_Refusal)


@contextlib.asynccontextmanager
async def open_attempt(session, server, path, headers, body, deadline_s,
                       method='POST'):  # fmt: skip
    """Send a request; yield the response, or raise a typed failure.

    The failure's ``ran`` is ``no`` only if the server says so of the request
    or no connection could be made. A refusal has to state the
    request's id: one of an earlier request may be sent once more on a
    connection that was kept.
    """
    timeout = aiohttp.ClientTimeout(
        sock_connect=min(CONNECT_TIMEOUT_S, deadline_s),
        sock_read=min(STALL_TIMEOUT_S, deadline_s),
    )
    try:
        async with asyncio.timeout(deadline_s):
            response = await session.request(
                method,
                f'{server.instance.address}{path}',
                data=bodies.make_request_body(body),
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise errors.EngineUnreachable(server.name) from None
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        if isinstance(error, asyncio.TimeoutError):
            connections.close_idle(session, server.instance.address)
        raise errors.AnswerBroken(server.name).mark_ran(
            errors.Ran.UNKNOWN
        ) from None
    try:
        if response.status in errors.NOT_RUN_STATUSES:
            check_echo(response, headers['X-Request-Id'], server)
            raise await _read_refusal(response, server, deadline_s)
        yield response
    finally:
        response.close()


async def _read_refusal(response, server, deadline_s):
    try:
        body = await read_body(response, server, deadline_s, MAX_REFUSAL_BYTES)
        refusal = _refusal_decoder.decode(body)
    except (msgspec.DecodeError, errors.AnswerBroken):
        refusal = _Refusal(reason='unclear', ran='unknown')
    failure = errors.EngineRefused(server.name, refusal.reason)
    failure.mark_stated(
        read_rate_limit(response), is_leaving(response), read_hold_s(response)
    )
    known = refusal.ran == errors.Ran.NO.value
    return failure.mark_ran(errors.Ran.NO if known else errors.Ran.UNKNOWN)


def read_rate_limit(response):
    """Return the requests a second that a server accepts, None for any."""
    return rate_limits.parse(response.headers.get('X-Rate-Limit'))


def is_leaving(response):
    """Return whether a response says that its server is leaving."""
    return statements.parse_leaving(response.headers.get('X-Leaving'))


def read_hold_s(response):
    """Return for how long a server that is full wants no requests."""
    if response.status != 503:
        return 0.0
    return statements.parse_hold_s(response.headers.get('Retry-After'))


def check_echo(response, work_id, server):
    """Raise ``AnswerCrossed`` unless the response has our request's id."""
    if response.headers.get('X-Request-Id') != work_id:
        raise errors.AnswerCrossed(server.name).mark_ran(errors.Ran.UNKNOWN)


async def read_body(response, server, deadline_s,
                    limit_bytes=bodies.MAX_BODY_BYTES,
                    large_slots=None):  # fmt: skip
    """Return a whole body; raise ``AnswerBroken`` if it can't be read.

    It may take ``deadline_s`` and ``limit_bytes`` at most; a large one waits
    for one of ``large_slots``.
    """
    try:
        async with asyncio.timeout(deadline_s):
            return await bodies.read_whole(
                response.content.readany,
                server.name,
                limit_bytes,
                large_slots,
            )
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        raise errors.AnswerBroken(server.name).mark_ran(
            errors.Ran.UNKNOWN
        ) from None


async def read_whole(response, work_id, server, deadline_s, large_slots=None):
    """Return (body, usage) of a whole response.

    Raises ``AnswerBroken`` if it can't be read, ``AnswerCrossed`` if it has
    another request's id.
    """
    body = await read_body(
        response, server, deadline_s, large_slots=large_slots
    )
    try:
        final = _final_decoder.decode(body)
    except msgspec.DecodeError:
        raise errors.AnswerBroken(server.name).mark_ran(
            errors.Ran.UNKNOWN
        ) from None
    if final.id != work_id:
        raise errors.AnswerCrossed(server.name).mark_ran(errors.Ran.UNKNOWN)
    return body, final.usage


class EventReader:
    """Reads whole events of a stream, without its end.

    The next whole event may take ``stall_s`` at most. ``tail`` is the usage
    event with the end marker, or None until they arrive. ``events`` counts
    the returned events until a reader resets it.
    """

    __slots__ = (
        '_partial',
        '_response',
        '_server',
        '_stall_s',
        'events',
        'tail',
    )

    def __init__(self, response, server, stall_s=STALL_TIMEOUT_S):
        self._response = response
        self._server = server
        self._stall_s = stall_s
        self._partial = b''
        self.events = 0
        self.tail = None

    async def read(self):
        """Return bytes of one or more whole events, ``b''`` at the end.

        Raise ``AnswerBroken`` if there will be none.
        """
        try:
            async with asyncio.timeout(self._stall_s):
                return await self._read_events()
        except TimeoutError:
            raise self._make_failure() from None

    async def _read_events(self):
        while self.tail is None:
            chunk = await self._read_chunk()
            data = self._partial + chunk if self._partial else chunk
            if data.endswith(STREAM_END):
                data, self.tail = _split_tail(data)
                self._partial = b''
            else:
                cut = data.rfind(EVENT_END) + len(EVENT_END)
                if cut < len(EVENT_END):
                    self._keep_partial(data)
                    continue
                data = self._hold_back_usage(data, cut)
            if EVENT_FIELD in data:
                self.events += data.count(EVENT_END)
                return data
        return b''

    def _keep_partial(self, data):
        if len(data) > MAX_EVENT_BYTES:
            raise errors.AnswerTooLarge(
                self._server.name, MAX_EVENT_BYTES
            ).mark_ran(errors.Ran.UNKNOWN)
        self._partial = data

    def _hold_back_usage(self, data, cut):
        """Return the whole events; keep a partial or a usage event back."""
        last = data.rfind(EVENT_END, 0, cut - len(EVENT_END))
        start = last + len(EVENT_END) if last >= 0 else 0
        if USAGE_FIELD in data[start:cut]:
            cut = start
        self._partial = data[cut:]
        return data[:cut]

    async def _read_chunk(self):
        try:
            chunk = await self._response.content.readany()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            chunk = b''
        if not chunk:
            raise self._make_failure()
        return chunk

    def _make_failure(self):
        return errors.AnswerBroken(self._server.name).mark_ran(
            errors.Ran.UNKNOWN
        )

    async def drain(self):
        """Read the response to its end so that the connection is reusable."""
        with contextlib.suppress(
            aiohttp.ClientError, asyncio.TimeoutError, OSError
        ):
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                while await self._response.content.readany():
                    pass

    def read_usage(self, work_id):
        """Return the usage in the tail; raise if it names another request."""
        event = self.tail[: -len(STREAM_END)].strip()
        try:
            final = _final_decoder.decode(event.removeprefix(b'data: '))
        except msgspec.DecodeError:
            raise errors.AnswerBroken(self._server.name).mark_ran(
                errors.Ran.YES
            ) from None
        if final.id != work_id:
            raise errors.AnswerCrossed(self._server.name).mark_ran(
                errors.Ran.UNKNOWN
            )
        return final.usage


def _split_tail(data):
    """Split a stream's last bytes before the usage event and end marker."""
    body = data[: -len(STREAM_END)]
    cut = body.rfind(EVENT_END, 0, max(len(body) - len(EVENT_END), 0))
    start = cut + len(EVENT_END) if cut >= 0 else 0
    if USAGE_FIELD not in body[start:]:
        start = len(body)
    return data[:start], data[start:]


async def cancel(session, server, work_id):
    """Request that a server cancel a request; best effort."""
    with contextlib.suppress(aiohttp.ClientError, asyncio.TimeoutError):
        async with session.post(
            f'{server.instance.address}/cancel/{work_id}',
            timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            allow_redirects=False,
        ):
            return
