"""Stand-in for the platform: log, instance list, weight store, rating."""

import asyncio
import collections
import hashlib
import time

from aiohttp import web
import msgspec

from arbutuschute.standin import faults

APPENDS_PER_S = 400
APPEND_BURST = 400
RETAINED_RECORDS = 1_000_000
RATING_DELAY_S = 0.5
WEIGHT_LOADS_PER_S = 1.0
MAX_RECORD_BYTES = 16 * 1024 * 1024


class Stream:
    """Records of one stream; the oldest are dropped past the retention."""

    __slots__ = ('first', 'grown', 'records')

    def __init__(self):
        self.records = collections.deque()
        self.first = 0
        self.grown = asyncio.Condition()

    @property
    def head(self):
        """The offset that the next record will get."""
        return self.first + len(self.records)

    async def append(self, value, retained):
        """Add a record and return its offset."""
        offset = self.head
        self.records.append((offset, time.time(), value))
        while len(self.records) > retained:
            self.records.popleft()
            self.first += 1
        async with self.grown:
            self.grown.notify_all()
        return offset

    def read(self, start, limit):
        """Return up to ``limit`` records from offset ``start`` on."""
        begin = max(0, start - self.first)
        count = len(self.records)
        return [
            self.records[index]
            for index in range(begin, min(begin + limit, count))
        ]


class Platform:
    """State of the platform's stand-in and its HTTP handlers."""

    __slots__ = (
        'appends',
        'instances',
        'ratings',
        'retained',
        'streams',
        'switches',
        'tokens',
        'tokens_at',
        'via',
        'weights_at',
    )

    def __init__(self, retained=RETAINED_RECORDS):
        self.streams = collections.defaultdict(Stream)
        self.switches = faults.Switchboard()
        self.instances = {}
        self.via = {}
        self.ratings = {}
        self.retained = retained
        self.appends = collections.Counter()
        self.tokens = APPEND_BURST
        self.tokens_at = time.monotonic()
        self.weights_at = 0.0

    def make_app(self):
        """Return the aiohttp application of this platform."""
        app = web.Application(client_max_size=MAX_RECORD_BYTES)
        app.add_routes(
            [
                web.post('/log/{stream}', self.handle_append),
                web.get('/log/{stream}', self.handle_read),
                web.get('/instances', self.handle_instances),
                web.put('/instances', self.handle_set_instances),
                web.post('/ratings', self.handle_rate),
                web.get('/ratings/{request}', self.handle_rating),
                web.get('/weights/{name}', self.handle_weights),
                web.post('/control/faults', self.switches.handle_control),
                web.post('/control/retained', self.handle_retained),
                web.get('/control/appends', self.handle_appends),
            ]
        )
        return app

    async def _suffer(self, request):
        """Show the faults in force; return a response if there is one."""
        now = self.switches.now
        if request.headers.get('X-Instance') in now.cut:
            await faults.hang_forever()
        if now.delay_s:
            await asyncio.sleep(now.delay_s)
        if self.switches.now.outage:
            return web.Response(status=503)
        return None

    def _spend_append(self):
        now = time.monotonic()
        refill = (now - self.tokens_at) * APPENDS_PER_S
        self.tokens = min(APPEND_BURST, self.tokens + refill)
        self.tokens_at = now
        self.tokens -= 1
        return self.tokens >= 0

    async def handle_append(self, request):
        """Append the request's body as one record."""
        suffered = await self._suffer(request)
        if suffered is not None:
            return suffered
        if not self._spend_append():
            self.tokens += 1
            return web.Response(status=429)
        value = msgspec.Raw(await request.read())
        stream = request.match_info['stream']
        if self.switches.take_for('delay_appends', stream):
            delay_s = self.switches.now.delay_appends_s
            asyncio.get_running_loop().call_later(
                delay_s, self._append_late, stream, value
            )
            return faults.drop_connection(request)
        offset = await self._append(stream, value)
        if self.switches.take_for('lose_replies', stream):
            return faults.drop_connection(request)
        return web.json_response({'offset': offset})

    def _append_late(self, stream, value):
        asyncio.ensure_future(self._append(stream, value))

    async def _append(self, stream, value):
        self.appends[stream] += 1
        return await self.streams[stream].append(value, self.retained)

    async def handle_read(self, request):
        """Answer a page; wait for a first record if asked to."""
        suffered = await self._suffer(request)
        if suffered is not None:
            return suffered
        stream = self.streams[request.match_info['stream']]
        start = int(request.query['from'])
        limit = int(request.query.get('limit', '1000'))
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        if wait_s and start >= stream.head:
            await self._wait_for_growth(stream, start, wait_s)
        suffered = await self._suffer(request)
        if suffered is not None:
            return suffered
        page = {
            'first': stream.first,
            'head': stream.head,
            'records': [
                {'offset': offset, 'time': at, 'value': value}
                for offset, at, value in stream.read(start, limit)
            ],
        }
        return web.Response(body=msgspec.json.encode(page))

    async def _wait_for_growth(self, stream, start, wait_s):
        async def grow():
            async with stream.grown:
                await stream.grown.wait_for(lambda: stream.head > start)

        try:
            await asyncio.wait_for(grow(), wait_s)
        except asyncio.TimeoutError:
            return

    async def handle_instances(self, request):
        """List instances as the asking one would reach them."""
        now = self.switches.now
        if request.headers.get('X-Instance') in now.cut:
            await faults.hang_forever()
        if now.list_outage:
            return web.Response(status=503)
        routes = self.via.get(request.headers.get('X-Instance', ''), {})
        listed = [
            {**instance, **routes.get(name, {})}
            for name, instance in self.instances.items()
        ]
        return web.Response(body=msgspec.json.encode({'instances': listed}))

    async def handle_set_instances(self, request):
        """Replace the list; ``via`` gives a viewer other addresses."""
        document = msgspec.json.decode(await request.read())
        self.instances = {
            instance['name']: instance for instance in document['instances']
        }
        self.via = document.get('via', {})
        return web.json_response({})

    async def handle_rate(self, request):
        """Take an answer for rating; the rating comes later."""
        body = msgspec.json.decode(await request.read())
        self.ratings[body['request']] = (time.monotonic(), body['answer'])
        return web.json_response({}, status=202)

    async def handle_rating(self, request):
        """Give the rating of an answer, once it is there."""
        name = request.match_info['request']
        rated_at, answer = self.ratings.get(name, (None, ''))
        if rated_at is None:
            return web.Response(status=404)
        if time.monotonic() - rated_at < RATING_DELAY_S:
            return web.Response(status=425)
        digest = hashlib.sha256(answer.encode()).digest()
        return web.json_response({'rating': digest[0] / 255})

    async def handle_weights(self, request):
        """Grant a weight download at the store's rate, or refuse."""
        now = time.monotonic()
        if now - self.weights_at < 1 / WEIGHT_LOADS_PER_S:
            return web.Response(status=429)
        self.weights_at = now
        return web.json_response({'weights': request.match_info['name']})

    async def handle_retained(self, request):
        """Set how many records each stream keeps."""
        document = msgspec.json.decode(await request.read())
        self.retained = document['records']
        return web.json_response({})

    async def handle_appends(self, request):
        """Tell how many appends each stream has taken."""
        return web.json_response(dict(self.appends))
