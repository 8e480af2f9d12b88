"""Connections of HTTP clients, and which responses they accept.

A response whose head is broken reaches no reader: neither its status nor its
body mean anything.

A response with neither a length nor chunks ends with its connection. It is
whole only if that was closed and not reset.

A response with a length is whole once it has arrived, whatever bytes follow.
These belong to no request: they are dropped, with their connection.

aiohttp sends a request with GET, HEAD, OPTIONS, TRACE, PUT or DELETE again
after a reset, on new connections too. What may be repeated follows from the
work and not from the method, so sessions are made by ``make_session``.
"""

import asyncio
import functools
import http

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import http_parser
import yarl

from arbutuschute import bodies
from arbutuschute import errors

HEAD_END = b'\r\n\r\n'
# The platform's largest response is a page of 1,000 records.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# All heads before a response, interim ones too. They cost processor time for
# as long as they go on.
MAX_HEAD_BYTES = 256 * 1024
# One read of a connection, and half of what is kept of a response that nobody
# reads. The event loop's and the library's own sizes are 256 KiB.
READ_BYTES = 32 * 1024
READ_BUFFER_BYTES = 16 * 1024
# The framing of chunks may take this much and a multiple of what they hold.
MAX_FRAMING_BYTES = 256 * 1024
MAX_FRAMING_RATIO = 16
# RFC 9110, section 15: other statuses are invalid. Another response follows
# those below the first final one.
MIN_STATUS, MIN_FINAL_STATUS, MAX_STATUS = 100, 200, 599
# Of a broken line, in a failure's text.
MAX_SHOWN_BYTES = 100

_field_parser = http_parser.HeadersParser(lax=False)


class _Handler(client_proto.ResponseHandler):
    """Checks a response, and drops the bytes after its end."""

    def __init__(self, loop):
        super().__init__(loop)
        # What has arrived of the head.
        self._head = bytearray()
        # Bytes of the body that are still due, None if the end isn't known.
        self._body_left = None
        self._is_in_head = True
        # Bytes received of the heads, and of the body with its framing.
        self._head_bytes = self._body_bytes = 0

    def set_response_params(self, **params):
        """Prepare for the response to the next request."""
        self._head.clear()
        self._body_left = None
        self._is_in_head = True
        self._head_bytes = self._body_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data):
        """Feed the parser up to the end of the response."""
        if not data:
            super().data_received(data)  # The parser goes on after a pause.
            return
        while self._is_in_head and data:
            data = self._receive_head(data)
        if data:
            self._receive_body(data)

    def _receive_body(self, data):
        if self._body_left is None:
            super().data_received(data)
            self._check_framing(len(data))
            return
        body, excess = data[: self._body_left], data[self._body_left :]
        self._body_left -= len(body)
        if body:
            super().data_received(body)
        if excess:
            self.force_close()
            if self.transport is not None:
                self.transport.close()

    def _check_framing(self, received):
        """End a response that sends chunks with hardly any content."""
        self._body_bytes += received
        payload = self._payload
        if payload is None:
            return
        framing = self._body_bytes - payload.total_bytes
        limit = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * payload.total_bytes
        if framing > limit:
            self._end(f'{framing} bytes of framing')

    def _end(self, cause):
        self.set_exception(aiohttp.ClientPayloadError(cause))
        if self.transport is not None:
            self.transport.close()

    def set_exception(self, exc, *cause):
        """End the response, and the reading of its body as well.

        The library doesn't tell the body's reader of a parser's failure.
        """
        super().set_exception(exc, *cause)
        payload = self._payload
        if payload is None or payload.is_eof():
            return
        if not isinstance(exc, (aiohttp.ClientError, OSError)):
            exc = aiohttp.ClientPayloadError(repr(exc))
        payload.set_exception(exc)

    def connection_lost(self, exc):
        """End the response; after a reset, its reader gets no end of it."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)

    def feed_data(self, data, size=0):
        """Queue a response, or end one whose head is broken."""
        message, _ = data
        fault = _find_fault(message, bytes(self._head))
        if fault is not None:
            self._end(fault)
        if self._exception is None:
            super().feed_data(data, size)

    def _receive_head(self, data):
        """Feed the parser the data up to a head's end; return the rest."""
        kept = len(self._head)
        self._head += data
        end = self._head.find(HEAD_END, max(0, kept + 1 - len(HEAD_END)))
        size = len(data) if end < 0 else end + len(HEAD_END) - kept
        del self._head[kept + size :]
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._end(f'a head of {self._head_bytes} bytes')
            return b''
        queued = len(self._buffer)
        super().data_received(data[:size])
        if end >= 0:
            self._head.clear()
        if self._exception is not None:
            return b''
        if len(self._buffer) == queued:
            return data[size:]  # A part of a head, or blank lines.
        (message, _), _ = self._buffer[-1]
        if message.code >= MIN_FINAL_STATUS:
            self._is_in_head = False
            self._body_left = self._find_length(message)
        return data[size:]

    def _find_length(self, message):
        """Return the size of the body in bytes, None if it isn't stated."""
        if self._skip_payload:
            return 0
        if message.chunked:
            return None
        text = message.headers.get('Content-Length', '')
        return int(text) if text.isascii() and text.isdigit() else None


def _find_fault(message, head):
    """Return why a response's head is broken, None if it is sound.

    ``head`` holds the bytes that the parser has read as ``message``. The
    library reads responses leniently, and with any status and coding.
    """
    if not head.endswith(HEAD_END):
        return 'a head that ends without CR LF'
    # Blank lines may come before a head.
    status_line, *fields = filter(None, head.split(b'\r\n'))
    if not status_line.startswith(b'HTTP/1.') or b'\n' in status_line:
        return f'status line {status_line[:MAX_SHOWN_BYTES]!r}'
    if not MIN_STATUS <= message.code <= MAX_STATUS:
        return f'status {message.code:03}'
    if message.code == http.HTTPStatus.SWITCHING_PROTOCOLS:
        return 'a change of protocol that was not requested'
    codings = message.headers.getall('Transfer-Encoding', ())
    if codings and [coding.lower() for coding in codings] != ['chunked']:
        return f'transfer codings {codings}'
    for field in fields:
        try:
            # One at a time: some sound servers repeat a field.
            _field_parser.parse_headers([field, b''])
        except http_exceptions.BadHttpMessage:
            return f'field {field[:MAX_SHOWN_BYTES]!r}'
    return None


class ResponseLost(aiohttp.ClientConnectionError):
    """The connection ended before a response; the request may have run."""


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """A response that exceeds its limit; its connection is closed."""


async def read_all(response, limit_bytes=MAX_RESPONSE_BYTES):
    """Return the body of a response of the platform, a peer or a poll.

    Raise ``ResponseTooLarge`` for more than ``limit_bytes``.
    """
    try:
        return await bodies.read_whole(
            response.content.readany, str(response.url), limit_bytes
        )
    except errors.AnswerTooLarge as failure:
        response.close()
        raise ResponseTooLarge(str(failure)) from None


async def _send_once(request, handler):
    """Client middleware: end a request whose response was lost.

    aiohttp repeats it after the two errors that are replaced here.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise  # Nothing was sent, and nothing is repeated.
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ResponseLost(repr(error)) from error


def make_session(connector=None, **options):
    """Return a ``ClientSession`` that sends each request once.

    ``options`` are those of ``ClientSession``. Requests still follow
    redirects, unless they are made with ``allow_redirects=False``.
    """
    return aiohttp.ClientSession(
        connector=connector or Connector(),
        read_bufsize=READ_BUFFER_BYTES,
        middlewares=(_send_once,),
        **options,
    )


def close_idle(session, url=None):
    """Close the idle connections of a session, to a URL's host or to all.

    Connections may fall silent without a reset, all at the same time, and the
    pool hands out the oldest one first. When one is found to be silent, the
    others would cost a time limit each.
    """
    session.connector.close_idle(url and yarl.URL(url))


async def repeat_if_lost(session, send, repeat):
    """Return what ``send()`` returns, else what ``repeat()`` returns.

    The repeat is sent on a new connection if the first one was lost or fell
    silent, and tells these from a host that is down. Only for requests that
    change nothing.
    """
    try:
        return await send()
    except (ResponseLost, aiohttp.SocketTimeoutError):
        close_idle(session)
    return await repeat()


async def repeat_if_late(
    session, send, repeat, late_s, has_begun, repeats_lost
):
    """Return what ``send()`` or ``repeat()`` returns, whichever is first.

    The repeat is sent if there is no response after ``late_s``, and the first
    request goes on beside it. With ``repeats_lost`` it is also sent if the
    first one is lost at once; a host that has failed before would be called
    twice as often for nothing. ``has_begun()`` says whether the response is
    being received. Only for requests that change nothing.
    """
    sending = asyncio.ensure_future(send())
    tasks = {sending}
    try:
        await asyncio.wait(tasks, timeout=late_s)
        if sending.done() or has_begun():
            if repeats_lost:
                return await repeat_if_lost(session, lambda: sending, repeat)
            return await sending
        close_idle(session)
        tasks.add(asyncio.ensure_future(repeat()))
        done, late = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        try:
            return await done.pop()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return await (done | late).pop()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Connector(aiohttp.TCPConnector):
    """Makes connections that check their responses."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(_Handler, loop=self._loop)

    def close_idle(self, url=None):
        """Close the connections that are not in use, to ``url`` or to all."""
        for key in list(self._conns):
            if url is None or (key.host, key.port) == (url.host, url.port):
                for protocol, _ in self._conns.pop(key):
                    protocol.close()

    async def _create_connection(self, req, traces, timeout):
        protocol = await super()._create_connection(req, traces, timeout)
        if protocol.transport is not None:
            protocol.transport.max_size = READ_BYTES
        return protocol
