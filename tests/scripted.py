"""A server that answers with given bytes, for tests of both links."""

import asyncio
import re
import socket
import struct

HOST = '127.0.0.1'
KEEP, CLOSE, RESET = 'keep', 'close', 'reset'
# The caller has received all bytes before the connection is closed.
LATE_CLOSE, LATE_RESET = 'late close', 'late reset'
ENDS = (CLOSE, RESET, LATE_CLOSE, LATE_RESET)
LATE_S = 0.05
# What a server keeps of a body that it doesn't read.
UNREAD_BYTES = 16 * 1024
_ID = re.compile(rb'\r\n(?:X-Request-Id|Arbutuschute-Attempt-Id): (\S+)', re.I)
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.I)


class ScriptedServer:
    """Sends what ``answer(number, request_id)`` returns for each request.

    That is (bytes, how the connection goes on). ``number`` counts the
    requests from 0. A request without an id gets a 404 if it ``needs_id``.
    Unless the server ``reads_bodies``, it answers while a large body is still
    on its way. Each end is a reset then, as bytes are left unread.
    """

    def __init__(
        self, answer, name='scripted', needs_id=True, reads_bodies=True
    ):
        self.answer = answer
        self._needs_id = needs_id
        self._reads_bodies = reads_bodies
        self.name = name
        self.address = ''
        self.requests = []
        self.connections = 0
        self._server = None
        self._writers = []

    async def __aenter__(self):
        listener = socket.create_server((HOST, 0))
        limits = {}
        if not self._reads_bodies:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES
            )
            limits['limit'] = UNREAD_BYTES
        self._server = await asyncio.start_server(
            self._serve, sock=listener, **limits
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                found = _LENGTH.search(head)
                if found and self._reads_bodies:
                    await reader.readexactly(int(found[1]))
                found = _ID.search(head)
                if found is None and self._needs_id:
                    writer.write(
                        b'HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n'
                    )
                    continue
                request_id = found[1] if found else b''
                number = len(self.requests)
                self.requests.append(head)
                data, end = self.answer(number, request_id)
                writer.write(data)
                await writer.drain()
                if end in (LATE_CLOSE, LATE_RESET):
                    await asyncio.sleep(LATE_S)
                if end != KEEP:
                    _end(writer, end)
                    return
        except (asyncio.IncompleteReadError, OSError):
            writer.close()  # The caller has closed.


def _end(writer, end):
    if end in (RESET, LATE_RESET):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.close()
