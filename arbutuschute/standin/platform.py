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
MAX_RECORDS = 1_000_000
RATING_DELAY_S = 0.5
WEIGHT_LOADS_PER_S = 1.0
MAX_RECORD_BYTES = 16 * 1024 * 1024


class Stream:
    """Records of one stream; the oldest are dropped past a maximum count."""

    __slots__ = ('appended', 'first', 'records')

    def __init__(self):
        self.records = collections.deque()
        self.first = 0
        self.appended = asyncio.Condition()

    @property
    def head(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)

    async def append(self, value, max_records):
        """Append a record and return its offset."""
        offset = self.head
        self.records.append((offset, time.time(), value))
        while len(self.records) > max_records:
            self.records.popleft()
            self.first += 1
        async with self.appended:
            self.appended.notify_all()
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
        'append_tokens',
        'appends',
        'copy',
        'era',
        'injector',
        'instances',
        'last_download_at',
        'max_records',
        'ratings',
        'refilled_at',
        'streams',
        'via',
    )

    def __init__(self, max_records=MAX_RECORDS):
        self.streams = collections.defaultdict(Stream)
        self.injector = faults.FaultInjector()
        self.instances = {}
        self.via = {}
        self.ratings = {}
        self.max_records = max_records
        # The log at the last copy, and how often it was restored from one.
        self.copy = {}
        self.era = 0
        self.appends = collections.Counter()
        self.append_tokens = APPEND_BURST
        self.refilled_at = time.monotonic()
        self.last_download_at = 0.0

    def make_app(self):
        """Return the aiohttp application of this platform."""
        app = web.Application(client_max_size=MAX_RECORD_BYTES)
        app.add_routes(
            [
                web.post('/log/{stream}', self.handle_append),
                web.get('/log/{stream}', self.handle_read),
                web.get('/instances', self.handle_instances),
                web.put('/instances', self.handle_set_instances),
                web.post('/ratings', self.handle_submit_answer),
                web.get('/ratings/{request}', self.handle_get_rating),
                web.get('/weights/{name}', self.handle_weights),
                web.post('/control/faults', self.injector.handle_control),
                web.post('/control/retained', self.handle_retained),
                web.get('/control/appends', self.handle_appends),
                web.post('/control/copy', self.handle_copy),
                web.post('/control/restore', self.handle_restore),
            ]
        )
        return app

    async def _inject_faults(self, request):
        """Apply the active faults; return an error response or None."""
        active = self.injector.active
        if request.headers.get('X-Instance') in active.cut:
            await faults.hang_forever()
        if active.delay_s:
            await asyncio.sleep(active.delay_s)
        if self.injector.active.outage:
            return web.Response(status=503)
        return None

    def _try_spend_token(self):
        now = time.monotonic()
        refill = (now - self.refilled_at) * APPENDS_PER_S
        self.append_tokens = min(APPEND_BURST, self.append_tokens + refill)
        self.refilled_at = now
        self.append_tokens -= 1
        return self.append_tokens >= 0

    async def handle_append(self, request):
        """Append the request's body as one record."""
        fault_response = await self._inject_faults(request)
        if fault_response is not None:
            return fault_response
        if not self._try_spend_token():
            self.append_tokens += 1
            return web.Response(status=429)
        value = msgspec.Raw(await request.read())
        stream = request.match_info['stream']
        if self.injector.consume_for('delay_appends', stream):
            delay_s = self.injector.active.delay_appends_s
            asyncio.get_running_loop().call_later(
                delay_s, self._append_after_delay, stream, value
            )
            return faults.drop_connection(request)
        offset = await self._append(stream, value)
        if self.injector.consume_for('lose_replies', stream):
            return faults.drop_connection(request)
        return web.json_response({'offset': offset, 'era': self.era})

    def _append_after_delay(self, stream, value):
        asyncio.ensure_future(self._append(stream, value))

    async def _append(self, stream, value):
        self.appends[stream] += 1
        return await self.streams[stream].append(value, self.max_records)

    async def handle_read(self, request):
        """Return a page; with ``wait_ms``, wait for a first record."""
        fault_response = await self._inject_faults(request)
        if fault_response is not None:
            return fault_response
        stream = self.streams[request.match_info['stream']]
        start = int(request.query['from'])
        limit = int(request.query.get('limit', '1000'))
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        if wait_s and start >= stream.head:
            await self._wait_for_record(stream, start, wait_s)
        fault_response = await self._inject_faults(request)
        if fault_response is not None:
            return fault_response
        page = {
            'first': stream.first,
            'head': stream.head,
            'era': self.era,
            'records': [
                {'offset': offset, 'time': at, 'value': value}
                for offset, at, value in stream.read(start, limit)
            ],
        }
        return web.Response(body=msgspec.json.encode(page))

    async def _wait_for_record(self, stream, start, wait_s):
        async def wait():
            async with stream.appended:
                await stream.appended.wait_for(lambda: stream.head > start)

        try:
            await asyncio.wait_for(wait(), wait_s)
        except asyncio.TimeoutError:
            return

    async def handle_instances(self, request):
        """List instances, each with its address as seen by the caller."""
        active = self.injector.active
        if request.headers.get('X-Instance') in active.cut:
            await faults.hang_forever()
        if active.list_outage:
            return web.Response(status=503)
        routes = self.via.get(request.headers.get('X-Instance', ''), {})
        listed = [
            {**instance, **routes.get(name, {})}
            for name, instance in self.instances.items()
        ]
        return web.Response(body=msgspec.json.encode({'instances': listed}))

    async def handle_set_instances(self, request):
        """Replace the list; ``via`` overrides addresses per caller."""
        document = msgspec.json.decode(await request.read())
        self.instances = {
            instance['name']: instance for instance in document['instances']
        }
        self.via = document.get('via', {})
        return web.json_response({})

    async def handle_submit_answer(self, request):
        """Accept an answer for rating; its rating is available later."""
        body = msgspec.json.decode(await request.read())
        self.ratings[body['request']] = (time.monotonic(), body['answer'])
        return web.json_response({}, status=202)

    async def handle_get_rating(self, request):
        """Return the rating of an answer once it is available."""
        name = request.match_info['request']
        submitted_at, answer = self.ratings.get(name, (None, ''))
        if submitted_at is None:
            return web.Response(status=404)
        if time.monotonic() - submitted_at < RATING_DELAY_S:
            return web.Response(status=425)
        digest = hashlib.sha256(answer.encode()).digest()
        return web.json_response({'rating': digest[0] / 255})

    async def handle_weights(self, request):
        """Grant a weight download, or refuse it past the store's rate."""
        now = time.monotonic()
        if now - self.last_download_at < 1 / WEIGHT_LOADS_PER_S:
            return web.Response(status=429)
        self.last_download_at = now
        return web.json_response({'weights': request.match_info['name']})

    async def handle_retained(self, request):
        """Set the maximum number of records of each stream."""
        document = msgspec.json.decode(await request.read())
        self.max_records = document['records']
        return web.json_response({})

    async def handle_copy(self, request):
        """Keep a copy of the log."""
        self.copy = {
            name: (stream.first, list(stream.records))
            for name, stream in self.streams.items()
        }
        return web.json_response({})

    async def handle_restore(self, request):
        """Replace the log by the last copy: what came later is lost."""
        self.era += 1
        for name, stream in self.streams.items():
            first, records = self.copy.get(name, (0, ()))
            stream.first = first
            stream.records = collections.deque(records)
            async with stream.appended:
                stream.appended.notify_all()
        return web.json_response({})

    async def handle_appends(self, request):
        """Return the number of appends by stream."""
        return web.json_response(dict(self.appends))
