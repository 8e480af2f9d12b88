"""Callers' connections, with bounds on their buffers and heads."""

import socket

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import web
from aiohttp import web_protocol

# One read of a connection, and of one with a large body. The event loop's own
# size is 256 KiB.
READ_BYTES = 16 * 1024
LARGE_READ_BYTES = 64 * 1024
# A connection is read no further with twice as much of a body unread.
READ_BUFFER_BYTES = 16 * 1024
# The kernel's buffers of a connection. They grow to some MiB otherwise.
SOCKET_BUFFER_BYTES = 128 * 1024
WRITE_BUFFER_BYTES = 64 * 1024
# Requests that are parsed while one is being served.
MAX_REQUESTS_AHEAD = 1
# Above the operator's limits, so that a refusal can name the limit.
MAX_LINE_BYTES = 64 * 1024
# A head may be this many times the operator's limit, for the same reason.
MAX_HEAD_FACTOR = 2
# A body that is refused is read on for so long, so that the client sees why.
LINGER_S = 2.0
# Sent without a request being parsed: none of them has run.
SLOW_HEAD_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
LARGE_HEAD_RESPONSE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
FULL_RESPONSE = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)

# Seconds that the platform and zone peers may be idle and take for a head, and
# the size of a head.
INNER_LIMITS = (3630.0, 10.0, 16 * 1024)


class Connection(web.RequestHandler):
    """A caller's connection; a head that arrives too slowly ends it."""

    __slots__ = (
        '_head_bytes',
        '_head_timer',
        '_intake',
        '_newest_payload',
        'head_limit_s',
        'is_reading_body',
        'max_head_bytes',
        'own_transport',
    )

    def __init__(
        self, manager, process_intake, auto_decompress=True, **options
    ):
        super().__init__(
            manager,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_S,
            auto_decompress=auto_decompress,
            **options,
        )
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        # The library's own parses 32 requests ahead.
        self._parser = http_parser.HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )
        self._intake = process_intake
        self.own_transport = None
        # The body of the request that was parsed last.
        self._newest_payload = None
        # The bytes received of a head that is not whole.
        self._head_bytes = 0
        self._head_timer = None
        self.head_limit_s = 0.0
        self.max_head_bytes = 0
        self.is_reading_body = False

    @property
    def is_reading(self):
        """Whether a request is partly read."""
        return self._head_bytes > 0 or self.is_reading_body

    @property
    def is_waiting(self):
        """Whether the client is awaited: no request of its may have run."""
        waiter = self._waiter
        is_idle = waiter is not None and not waiter.done()
        return is_idle or self.is_reading_body

    @property
    def waiting_since(self):
        """A time that orders connections by how long they are waiting."""
        return self._next_keepalive_close_time

    def connection_made(self, transport):
        """Bound the buffers, or refuse the connection."""
        if not self._intake.admit(self, transport):
            self._force_close = True
            self._manager = None
            transport.write(FULL_RESPONSE)
            transport.close()
            return
        self.own_transport = transport
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def data_received(self, data):
        """Pass data on to the parser; bound a head's size and time."""
        newest = self._newest_payload
        is_body = newest is not None and not newest.is_eof()
        parsed = self._request_count
        super().data_received(data)
        if self._request_count != parsed:
            self._newest_payload = self._messages[-1][1]
        elif not is_body and data:
            self._receive_head(len(data))
            return
        if self._head_bytes:
            self._head_bytes = 0
            self._cancel_head_timer()

    def connection_lost(self, exc):
        """Forget the connection."""
        self._cancel_head_timer()
        self._intake.remove(self, self.own_transport)
        super().connection_lost(exc)

    def log_exception(self, *values, exc_info=None, **options):
        """Log a fault, but only count a request that can't be parsed."""
        if isinstance(exc_info, http_exceptions.HttpProcessingError):
            self._intake.count('malformed')
            return
        super().log_exception(*values, exc_info=exc_info, **options)

    def read_more(self, content):
        """Read more at a time for a large body."""
        content.set_read_chunk_size(LARGE_READ_BYTES)
        self._set_read_size(LARGE_READ_BYTES)

    def end_body(self):
        """Read less at a time again."""
        self.is_reading_body = False
        self._set_read_size(READ_BYTES)

    def _set_read_size(self, size):
        if self.own_transport is not None:
            self.own_transport.max_size = size

    def abort(self):
        """Break the connection off."""
        if self.own_transport is not None:
            self.own_transport.abort()

    def _receive_head(self, size):
        self._head_bytes += size
        if self._head_bytes > self.max_head_bytes:
            self._reject(LARGE_HEAD_RESPONSE)
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self.head_limit_s, self._reject_slow_head
            )

    def _cancel_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_slow_head(self):
        self._head_timer = None
        # With an earlier request in progress, the next bytes count again.
        if self.is_waiting and not self.is_reading_body:
            self._reject(SLOW_HEAD_RESPONSE)

    def _reject(self, response):
        self._cancel_head_timer()
        if self.transport is not None:
            self._intake.count('head')
            if self.is_waiting:
                self.transport.write(response)
            self.force_close()


class Server(web.Server):
    """Makes connections with the limits that are current.

    ``get_limits()`` returns the seconds that a client may be idle and take
    for a head, and the size of a head.
    """

    def __init__(self, handler, process_intake, get_limits, **options):
        super().__init__(handler, **options)
        self._intake = process_intake
        self._get_limits = get_limits

    def __call__(self):
        """Return the protocol of a new connection."""
        idle_s, head_s, head_bytes = self._get_limits()
        self._kwargs['keepalive_timeout'] = idle_s
        made = Connection(self, self._intake, loop=self._loop, **self._kwargs)
        made.head_limit_s = head_s
        made.max_head_bytes = MAX_HEAD_FACTOR * head_bytes
        return made


def make_inner_server(handler, process_intake):
    """Return a server for the platform and zone peers."""
    return Server(
        handler, process_intake, lambda: INNER_LIMITS, access_log=None
    )


def bound_socket_buffers(site):
    """Bound the kernel's buffers of a site's later connections."""
    for listener in site._server.sockets:
        for name in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, name, SOCKET_BUFFER_BYTES)
