"""Stand-in for a network link: forwards TCP, and can be cut or delayed."""

import asyncio
import contextlib

from aiohttp import web

from arbutuschute.standin import faults

CHUNK_BYTES = 65_536


class Link:
    """Forwards local ports to targets; holds back the bytes while cut."""

    __slots__ = ('_open', '_servers', 'injector', 'targets')

    def __init__(self, targets):
        self.targets = targets
        self.injector = faults.FaultInjector()
        self._open = asyncio.Event()
        self._open.set()
        self._servers = []

    def make_app(self):
        """Return the aiohttp application of the control endpoint."""
        app = web.Application()
        app.on_startup.append(self._listen)
        app.add_routes([web.post('/control/faults', self.handle_control)])
        return app

    async def handle_control(self, request):
        """Set faults: ``outage`` cuts the link, ``delay_s`` slows it."""
        answer = await self.injector.handle_control(request)
        if self.injector.active.outage:
            self._open.clear()
        else:
            self._open.set()
        return answer

    async def _listen(self, app):
        for port, host, target_port in self.targets:
            server = await asyncio.start_server(
                self._make_handler(host, target_port), '127.0.0.1', port
            )
            self._servers.append(server)

    def _make_handler(self, host, port):
        async def handle(reader, writer):
            with contextlib.suppress(OSError):
                await self._open.wait()
                target = await asyncio.open_connection(host, port)
                await asyncio.gather(
                    self._forward(reader, target[1]),
                    self._forward(target[0], writer),
                )

        return handle

    async def _forward(self, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._open.wait()
                if self.injector.active.delay_s:
                    await asyncio.sleep(self.injector.active.delay_s)
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()
