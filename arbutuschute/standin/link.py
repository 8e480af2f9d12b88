"""Stand-in for a network link: forwards TCP, and can be cut or delayed."""

import asyncio
import contextlib

from aiohttp import web

from arbutuschute.standin import faults

CHUNK_BYTES = 65_536


class Link:
    """Forwards ports to targets; while cut, bytes wait on their way."""

    __slots__ = ('_open', '_servers', 'pairs', 'switches')

    def __init__(self, pairs):
        self.pairs = pairs
        self.switches = faults.Switchboard()
        self._open = asyncio.Event()
        self._open.set()
        self._servers = []

    def make_app(self):
        """Return the application with the control endpoint."""
        app = web.Application()
        app.on_startup.append(self._listen)
        app.add_routes([web.post('/control/faults', self.handle_control)])
        return app

    async def handle_control(self, request):
        """Set faults: ``outage`` cuts the link, ``delay_s`` slows it."""
        answer = await self.switches.handle_control(request)
        if self.switches.now.outage:
            self._open.clear()
        else:
            self._open.set()
        return answer

    async def _listen(self, app):
        for port, host, target in self.pairs:
            server = await asyncio.start_server(
                self._make_handler(host, target), '127.0.0.1', port
            )
            self._servers.append(server)

    def _make_handler(self, host, port):
        async def handle(reader, writer):
            with contextlib.suppress(OSError):
                await self._open.wait()
                there = await asyncio.open_connection(host, port)
                await asyncio.gather(
                    self._forward(reader, there[1]),
                    self._forward(there[0], writer),
                )

        return handle

    async def _forward(self, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._open.wait()
                if self.switches.now.delay_s:
                    await asyncio.sleep(self.switches.now.delay_s)
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()
