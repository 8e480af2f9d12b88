"""Stand-in for a model engine: batches, streams, resumes, reports load."""

import asyncio
import collections
import heapq
import itertools
import os
import time

from aiohttp import web
import msgspec

from arbutuschute.standin import faults

SLOTS = 32
FIRST_TOKEN_S = 0.02
TOKEN_S = 0.002
LOAD_REPORT_PERIOD_S = 0.5
DEFAULT_TOKENS = 16
BURST_TOKENS = 8
END = b'data: [DONE]\n\n'


class Run(msgspec.Struct):
    """A request that this engine ran, with the number of its attempts."""

    request: str
    model: str
    tokens: int = 0
    finished: bool = False
    attempts: int = 1


class Slots:
    """A bounded number of slots, granted by priority, lowest number first."""

    __slots__ = ('_order', '_waiting', 'free')

    def __init__(self, count):
        self.free = count
        self._waiting = []
        self._order = itertools.count()

    @property
    def waiting(self):
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self, priority):
        """Wait for a slot."""
        if self.free > 0:
            self.free -= 1
            return
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), granted))
        await granted

    def release(self):
        """Pass the slot to the next waiting request, or free it."""
        while self._waiting:
            _, _, granted = heapq.heappop(self._waiting)
            if not granted.done():
                granted.set_result(None)
                return
        self.free += 1


class Engine:
    """State of one engine's stand-in and its HTTP handlers."""

    __slots__ = (
        'cancelled',
        'checks_fencing',
        'fence',
        'first_token_s',
        'injector',
        'leaving',
        'load_report',
        'name',
        'orders',
        'refused_leaving',
        'runs',
        'slots',
        'token_s',
        'total_slots',
        'versions',
    )

    def __init__(
        self,
        name,
        versions,
        slots=SLOTS,
        token_s=TOKEN_S,
        checks_fencing=True,
        first_token_s=FIRST_TOKEN_S,
    ):
        self.name = name
        self.versions = set(versions)
        self.slots = Slots(slots)
        self.total_slots = slots
        self.token_s = token_s
        self.first_token_s = first_token_s
        self.checks_fencing = checks_fencing
        self.fence = -1
        self.orders = []
        self.leaving = False
        self.refused_leaving = 0
        self.injector = faults.FaultInjector()
        self.runs = collections.OrderedDict()
        self.cancelled = set()
        self.load_report = (0.0, {'running': 0, 'waiting': 0, 'slots': slots})

    def make_app(self):
        """Return the aiohttp application of this engine."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(
            [
                web.post('/v1/chat/completions', self.handle_chat),
                web.post('/cancel/{request}', self.handle_cancel),
                web.get('/load', self.handle_load),
                web.post('/orders', self.handle_order),
                web.post('/control/faults', self.injector.handle_control),
                web.post('/control/leaving', self.handle_leaving),
                web.get('/control/runs', self.handle_runs),
            ]
        )
        return app

    def _refuse(self, request_id, reason):
        return web.json_response(
            {'reason': reason, 'ran': 'no'},
            status=503,
            headers=self._make_headers(request_id),
        )

    async def handle_chat(self, request):
        """Run one request; respond with a whole answer or a stream."""
        body = msgspec.json.decode(await request.read())
        request_id = request.headers['X-Request-Id']
        resume_from = int(request.headers.get('X-Resume-From', '0'))
        if self.leaving and not resume_from:
            self.refused_leaving += 1
            return self._refuse(request_id, 'leaving')
        if self.injector.active.refuse:
            return self._refuse(request_id, 'overloaded')
        if body['model'] not in self.versions:
            return self._refuse(request_id, 'model not loaded')
        if self.injector.consume('error'):
            return web.json_response({'reason': 'failed'}, status=500)
        if self.injector.consume('hang'):
            await faults.hang_forever()
        await self.slots.acquire(body.get('priority', 5))
        try:
            run = self._start_run(request_id, body['model'])
            await self._crash_if_ordered(request, request_id, body)
            if self.injector.consume('cross'):
                request_id = 'another-request'
            if body.get('stream'):
                return await self._stream(
                    request, body, request_id, run, resume_from
                )
            return await self._answer(body, request_id, run)
        finally:
            self.slots.release()

    async def _crash_if_ordered(self, request, request_id, body):
        """End the process, after a stream's head, if a message says so."""
        word = self.injector.active.crash_on
        if not word or not any(
            word in str(message.get('content', ''))
            for message in body.get('messages', [])
        ):
            return
        if body.get('stream'):
            response = web.StreamResponse(headers={'X-Request-Id': request_id})
            await response.prepare(request)
        await asyncio.sleep(self.first_token_s)
        os._exit(1)

    def _make_headers(self, request_id):
        headers = {'X-Request-Id': request_id}
        if self.injector.active.rate_limit:
            headers['X-Rate-Limit'] = str(self.injector.active.rate_limit)
        return headers

    def _start_run(self, request_id, model):
        run = self.runs.get(request_id)
        if run is None:
            run = self.runs[request_id] = Run(request_id, model)
        else:
            run.attempts += 1
        return run

    async def _answer(self, body, request_id, run):
        tokens = body.get('max_tokens', DEFAULT_TOKENS)
        interval_s = self.token_s * self.injector.active.slow_factor
        await asyncio.sleep(self.first_token_s + tokens * interval_s)
        run.tokens = tokens
        run.finished = True
        text = ''.join(make_token(run.request, i) for i in range(tokens))
        return web.json_response(
            {
                'id': request_id,
                'model': run.model,
                'choices': [{'message': {'content': text}}],
                'usage': count_usage(body, tokens),
                'confidence': compute_confidence(run.request),
            },
            headers=self._make_headers(request_id),
        )

    async def _stream(self, request, body, request_id, run, start):
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                **self._make_headers(request_id),
            }
        )
        await response.prepare(request)
        tokens = body.get('max_tokens', DEFAULT_TOKENS)
        await asyncio.sleep(self.first_token_s)
        due_at = time.monotonic()
        index = start
        while index < tokens:
            if run.request in self.cancelled:
                return response
            if self._try_break(index - start):
                request.transport.abort()
                return response
            interval_s = self.token_s * self.injector.active.slow_factor
            due_at += interval_s
            ready = 1
            lag_s = time.monotonic() - due_at
            if lag_s < 0:
                await asyncio.sleep(-lag_s)
            elif interval_s:
                ready = 1 + int(lag_s / interval_s)
                due_at += (ready - 1) * interval_s
            else:
                ready = body.get('burst', BURST_TOKENS)
            ready = min(ready, tokens - index)
            await response.write(
                b''.join(
                    encode_event(request_id, run.request, index + step)
                    for step in range(ready)
                )
            )
            index += ready
            run.tokens = index
        run.finished = True
        usage = {
            'id': request_id,
            'choices': [],
            'usage': count_usage(body, tokens),
        }
        await response.write(
            b'data: ' + msgspec.json.encode(usage) + b'\n\n' + END
        )
        return response

    def _try_break(self, sent):
        return (
            sent == self.injector.active.break_after
            and self.injector.consume('breaks')
        )

    async def handle_cancel(self, request):
        """Stop a running request."""
        self.cancelled.add(request.match_info['request'])
        return web.json_response({})

    async def handle_load(self, request):
        """Report the load, up to ``LOAD_REPORT_PERIOD_S`` old."""
        now = time.monotonic()
        if now - self.load_report[0] > LOAD_REPORT_PERIOD_S:
            running = self.total_slots - self.slots.free
            self.load_report = (
                now,
                {
                    'running': running,
                    'waiting': self.slots.waiting,
                    'slots': self.total_slots,
                    'versions': sorted(self.versions),
                },
            )
        return web.json_response(self.load_report[1])

    async def handle_order(self, request):
        """Load or unload a version; refuse an old fence if checked."""
        order = msgspec.json.decode(await request.read())
        if self.checks_fencing and order['fence'] < self.fence:
            return web.json_response({'reason': 'old fence'}, status=409)
        self.fence = max(self.fence, order['fence'])
        self.orders.append(order)
        if order['action'] == 'load':
            self.versions.add(order['version'])
        elif order['action'] == 'unload':
            self.versions.discard(order['version'])
        return web.json_response({})

    async def handle_leaving(self, request):
        """Start to refuse new requests."""
        self.leaving = True
        return web.json_response({})

    async def handle_runs(self, request):
        """List the runs and orders of this engine and its refusals."""
        return web.Response(
            body=msgspec.json.encode(
                {
                    'runs': list(self.runs.values()),
                    'orders': self.orders,
                    'refused_leaving': self.refused_leaving,
                }
            )
        )


def make_token(request_id, index):
    """Return the text of one token, the same in each attempt of a request."""
    return f'{request_id[-6:]}.{index} '


def encode_event(shown_id, request_id, index):
    """Return one server-sent event with one token."""
    token = make_token(request_id, index)
    return (
        f'data: {{"id":"{shown_id}","choices":'
        f'[{{"delta":{{"content":"{token}"}}}}]}}\n\n'
    ).encode()


def count_usage(body, tokens):
    """Return the ``usage`` object of an answer."""
    prompt = sum(
        len(str(message.get('content', '')).split())
        for message in body.get('messages', [])
    )
    return {'prompt_tokens': prompt, 'completion_tokens': tokens}


def compute_confidence(request_id):
    """Return a confidence in [0, 1) that depends on the request id alone."""
    return sum(request_id.encode()) % 100 / 100
