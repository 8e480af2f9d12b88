"""Link to backend servers: one attempt owns one connection."""

import asyncio
import contextlib

import aiohttp
import yarl

from arbutuschute import errors
from arbutuschute import messages
from arbutuschute.platform import names
from arbutuschute.traffic import answers

# A connection within a region takes a millisecond or two, and 25 ms to
# another; a machine that is dark never answers.
CONNECT_TIMEOUT_S = 0.4
HEADER_BYTES_MOST = 32 * 1024
SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


class _Connector(aiohttp.TCPConnector):
    """Remembers how each connection ended, from its first moment on.

    An answer without a length is whole only if its connection was closed
    and not reset, and both may have come before anybody looks.
    """

    async def _create_connection(self, req, traces, timeout):
        protocol = await super()._create_connection(req, traces, timeout)
        closed = protocol.closed
        if closed is not None:
            closed.add_done_callback(lambda future: future.exception())
        return protocol


def make_session():
    """Return the HTTP client; no connection is used twice.

    A late or second answer then has no request that it could be taken for,
    and a connection that went silent or was dropped is never picked.
    """
    return aiohttp.ClientSession(
        connector=_Connector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        max_line_size=HEADER_BYTES_MOST,
        max_field_size=HEADER_BYTES_MOST,
    )


def make_opener(session):
    """Return ``open_attempt`` over an HTTP client."""

    @contextlib.asynccontextmanager
    async def open_attempt(server, request, left_s, last_event_id=None):
        """Send a request; yield the ``Attempt``, or raise what went wrong."""
        response = await _send(session, server, request, left_s, last_event_id)
        try:
            yield _check_head(server, request, response)
        finally:
            response.close()

    return open_attempt


async def _send(session, server, request, left_s, last_event_id):
    url = yarl.URL(
        f'http://{server.entry.address}{request.target}', encoded=True
    )
    headers = _make_headers(server, request, left_s, last_event_id)
    try:
        return await session.request(
            request.method,
            url,
            data=request.body or None,
            headers=headers,
            allow_redirects=False,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise errors.EngineUnreachable(server.name) from None
    except (aiohttp.ClientError, OSError) as error:
        raise errors.ServerFailed(server.name, repr(error)).mark_ran(
            errors.Ran.UNKNOWN
        ) from None


def _make_headers(server, request, left_s, last_event_id):
    headers = list(request.headers)
    headers.append(('Host', request.host))
    headers.append((names.DEADLINE_MS, str(max(1, int(left_s * 1000)))))
    headers.append((names.EXPECTED_SERVER, server.name))
    if request.organisation is not None:
        headers.append((names.ORGANISATION, request.organisation.name))
    model = request.model or request.prompt.model
    if model:
        headers.append((names.MODEL, model))
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, last_event_id))
    return headers


def _check_head(server, request, response):
    """Return the ``Attempt`` of an answer that belongs to the request."""
    headers = response.headers
    if names.NOT_RUN in headers or response.status == 421:
        raise errors.EngineRefused(server.name, str(response.status))
    if headers.get(names.REQUEST_ID) != request.id:
        raise errors.AnswerCrossed(server.name).mark_ran(errors.Ran.UNKNOWN)
    if names.SEAL not in headers and response.status < 300:
        raise errors.AnswerBroken(server.name).mark_ran(errors.Ran.UNKNOWN)
    load, slowness = _decode_load(server.name, headers.get(names.LOAD))
    head = answers.Head(
        status=response.status,
        headers=_select_headers(headers),
        origin_proof=headers.get(names.SEAL),
        confidence=_decode_number(headers.get(names.CONFIDENCE)),
        load=load,
        slowness=slowness,
    )
    return Attempt(server, response, head)


def _select_headers(headers):
    dropped = {
        token.strip().lower()
        for value in headers.getall('Connection', ())
        for token in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in names.HOP_BY_HOP
        and name.lower() not in dropped
        and name.lower() != 'content-length'
    )


def _decode_load(name, text):
    """Return (report, slowness) in a load header; (None, 1.0) if none."""
    try:
        figures = [int(part) for part in (text or '').split(',')]
        running, waiting, slots = figures[:3]
    except ValueError:
        return None, 1.0
    slowness = figures[3] / 100 if len(figures) > 3 else 1.0
    report = messages.LoadReport(name, running, waiting, slots, 0.0)
    return report, max(slowness, 0.1)


def _decode_number(text):
    try:
        return float(text) if text else None
    except ValueError:
        return None


class Attempt:
    """An answer that has begun; ``read`` gives its bytes as they come."""

    __slots__ = ('_closed', '_response', '_server', 'head')

    def __init__(self, server, response, head):
        self._server = server
        self._response = response
        self.head = head
        self._closed = None
        if not _is_framed(response):
            # The response lets go of its connection at the end.
            self._closed = response._protocol.closed

    async def read(self):
        """Return the next bytes, ``b''`` at the end of a whole answer."""
        try:
            chunk = await self._response.content.readany()
        except (aiohttp.ClientError, OSError):
            raise self._make_broken() from None
        if not chunk:
            await self._check_end()
        return chunk

    async def read_whole(self):
        """Return the whole body."""
        chunks = []
        while chunk := await self.read():
            chunks.append(chunk)
        return b''.join(chunks)

    async def read_answer(self):
        """Return the whole ``Answer``."""
        return answers.Answer(self.head, await self.read_whole())

    async def _check_end(self):
        """Raise if an answer without a length ended with a reset."""
        if self._closed is None:
            return
        try:
            await asyncio.shield(self._closed)
        except (aiohttp.ClientError, OSError):
            raise self._make_broken() from None

    def _make_broken(self):
        return errors.AnswerBroken(self._server.name).mark_ran(
            errors.Ran.UNKNOWN
        )


def _is_framed(response):
    headers = response.headers
    return (
        'Content-Length' in headers
        or 'chunked' in headers.get('Transfer-Encoding', '').lower()
    )
