"""Stand-in for a plain service whose calls are not idempotent."""

import asyncio

from aiohttp import web
import msgspec

from arbutuschute.standin import faults


class Service:
    """A booking or label service: each call creates a booking or label."""

    __slots__ = ('injector', 'made', 'name')

    def __init__(self, name):
        self.name = name
        self.made = []
        self.injector = faults.FaultInjector()

    def make_app(self):
        """Return the aiohttp application of this service."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/control/faults', self.injector.handle_control),
                web.get('/control/made', self.handle_made),
                web.get('/load', self.handle_load),
                web.post('/{path:.*}', self.handle_make),
            ]
        )
        return app

    async def handle_make(self, request):
        """Create one booking or label per call, also for a repeated call."""
        headers = {'X-Request-Id': request.headers.get('X-Request-Id', '')}
        if self.injector.active.refuse:
            return web.json_response(
                {'ran': 'no'}, status=503, headers=headers
            )
        body = await request.read()
        number = len(self.made) + 1
        self.made.append(
            {
                'number': number,
                'request': headers['X-Request-Id'],
                'body': body.decode(),
            }
        )
        if self.injector.active.delay_s:
            await asyncio.sleep(self.injector.active.delay_s)
        if self.injector.consume('lose_replies'):
            return faults.drop_connection(request)
        if self.injector.consume('hang'):
            await faults.hang_forever()
        return web.json_response(
            {'service': self.name, 'number': number}, headers=headers
        )

    async def handle_made(self, request):
        """List the bookings or labels that were created."""
        return web.Response(body=msgspec.json.encode({'made': self.made}))

    async def handle_load(self, request):
        """Report no load, as plain services do."""
        return web.json_response({'running': 0, 'waiting': 0, 'slots': 1000})
