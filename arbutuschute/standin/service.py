"""Stand-in for a plain service whose calls may not be repeated."""

import asyncio

from aiohttp import web
import msgspec

from arbutuschute.standin import faults


class Service:
    """A booking or label service: every call makes one more of them."""

    __slots__ = ('made', 'name', 'switches')

    def __init__(self, name):
        self.name = name
        self.made = []
        self.switches = faults.Switchboard()

    def make_app(self):
        """Return the aiohttp application of this service."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/control/faults', self.switches.handle_control),
                web.get('/control/made', self.handle_made),
                web.get('/load', self.handle_load),
                web.post('/{path:.*}', self.handle_make),
            ]
        )
        return app

    async def handle_make(self, request):
        """Make one booking or label, whoever asks."""
        if self.switches.now.refuse:
            return web.json_response({'ran': 'no'}, status=503)
        body = await request.read()
        number = len(self.made) + 1
        self.made.append(
            {
                'number': number,
                'request': request.headers.get('X-Request-Id', ''),
                'body': body.decode(),
            }
        )
        if self.switches.now.delay_s:
            await asyncio.sleep(self.switches.now.delay_s)
        if self.switches.take('lose_replies'):
            return faults.drop_connection(request)
        if self.switches.take('hang'):
            await faults.hang_forever()
        return web.json_response(
            {'service': self.name, 'number': number},
            headers={'X-Request-Id': request.headers.get('X-Request-Id', '')},
        )

    async def handle_made(self, request):
        """Tell a test what was made."""
        return web.Response(body=msgspec.json.encode({'made': self.made}))

    async def handle_load(self, request):
        """Plain services report no load."""
        return web.json_response({'running': 0, 'waiting': 0, 'slots': 1000})
