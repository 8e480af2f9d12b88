"""A small stand-in platform: its store and its backend servers."""

import asyncio
import base64
import contextlib
import json
import socket
import struct

from aiohttp import web

from tests import silent

ORIGIN_PROOF = 'a1.b2.c3'
KEY = 'key-of-dispatch'


class Store:
    """Topics of one partition, with injected faults."""

    def __init__(self):
        self.topics = {}
        self.first_offsets = {}
        self.fault = None
        self.lost_appends = 0
        self.broken_topics = set()
        self.reads = 0
        self.bytes_read = 0
        self.era = 1
        self.silence = silent.Silence()
        self._appended = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record; None deletes the key."""
        raw = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        self._append(topic, bytes((len(name),)) + name + raw)

    def put_raw(self, topic, key, raw):
        """Append a record whose value need not be JSON."""
        self._append(topic, bytes((len(key),)) + key.encode() + raw)

    def _append(self, topic, raw):
        self.topics.setdefault(topic, []).append(raw)
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()

    def copy(self):
        """Return a copy of all topics, for ``restore``."""
        return {topic: list(raw) for topic, raw in self.topics.items()}

    def restore(self, copy):
        """Come back as of a copy: what was written since is gone."""
        self.topics = {topic: list(raw) for topic, raw in copy.items()}
        self.era += 1
        self.fault = None

    def compact(self, topic):
        """Delete the history; the newest record of each key stays readable."""
        self.first_offsets[topic] = len(self.topics.get(topic, ()))

    def find(self, topic, key):
        """Return the newest value of a key, or None."""
        return self._newest(topic).get(key, (None, 0))[0]

    def _newest(self, topic):
        newest = {}
        for offset, raw in enumerate(self.topics.get(topic, ())):
            size = 1 + raw[0]
            newest[raw[1:size].decode()] = raw[size:] or None, offset
        return newest

    def make_app(self):
        app = web.Application(middlewares=[self._inject_fault])
        app.on_response_prepare.append(self._add_era)
        app.add_routes(
            [
                web.post('/log-append', self._handle_append),
                web.get('/log-read', self._handle_read),
                web.get('/log-newest', self._handle_newest),
            ]
        )
        return app

    async def _add_era(self, request, response):
        response.headers['Store-Era'] = str(self.era)

    @web.middleware
    async def _inject_fault(self, request, handler):
        return await self.silence.respond(
            request, lambda found: self._respond(found, handler)
        )

    async def _respond(self, request, handler):
        if self.fault == 'busy':
            return web.Response(status=503)
        if request.query.get('topic') in self.broken_topics:
            return web.Response(status=503)
        if self.fault == 'silent':
            await asyncio.sleep(30)
        if self.fault == 'reset':
            request.transport.abort()
        return await handler(request)

    async def _handle_append(self, request):
        topic = request.query['topic']
        body = await request.read()
        end = len(self.topics.get(topic, ()))
        if 'at' in request.query and int(request.query['at']) != end:
            return web.json_response({'end': end}, status=412)
        (size,) = struct.unpack('>I', body[:4])
        self._append(topic, body[4 : 4 + size])
        if self.lost_appends:
            self.lost_appends -= 1
            request.transport.abort()
        return web.json_response({'offset': end, 'end': end + 1})

    async def _handle_read(self, request):
        self.reads += 1
        topic = request.query['topic']
        start = int(request.query['from'])
        first = self.first_offsets.get(topic, 0)
        if start < first or start > len(self.topics.get(topic, ())):
            return web.json_response({'first': first}, status=410)
        if start >= len(self.topics.get(topic, ())):
            with contextlib.suppress(TimeoutError):
                wait_ms = int(request.query.get('waitMs', 0))
                async with asyncio.timeout(wait_ms / 1000):
                    await self._wait_past(topic, start)
        records = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(records), first)
        for raw in records[start:]:
            body += struct.pack('>I', len(raw)) + raw
        self.bytes_read += len(body)
        return web.Response(body=body)

    async def _wait_past(self, topic, start):
        while len(self.topics.get(topic, ())) <= start:
            await self._appended.wait()

    async def _handle_newest(self, request):
        topic = request.query['topic']
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in sorted(self._newest(topic).items())
            if value is not None
        ]
        after = request.query.get('after', '')
        items = [item for item in items if item['key'] > after]
        page, rest = items[:3], items[3:]
        end = len(self.topics.get(topic, ()))
        self.bytes_read += sum(len(item['value']) for item in page)
        return web.json_response(
            {'items': page, 'more': bool(rest), 'end': end}
        )


class Engine:
    """A backend server; ``answer`` handles its requests."""

    def __init__(self, name, answer=None):
        self.name = name
        self.address = ''
        self.answer = answer or answer_ok
        self.seen = []
        self.running = 0
        self.runner = None
        self.crashes = 0
        self.cancelled = 0

    @property
    def requests(self):
        """The headers of the requests received."""
        return [headers for headers, _, _ in self.seen]

    async def crash(self, down_s):
        """Break off all requests, and accept none for ``down_s``."""
        self.crashes += 1
        (site,) = self.runner.sites
        _, port = self.runner.addresses[0]
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await site.stop()
        await asyncio.sleep(down_s)
        await web.TCPSite(self.runner, '127.0.0.1', port).start()

    async def handle(self, request):
        body = await request.read()
        self.seen.append((request.headers.copy(), request.raw_path, body))
        expected = request.headers.get('Arbutuschute-Expect-Instance')
        if expected != self.name:
            return web.Response(status=421)
        self.running += 1
        try:
            return await self.answer(self, request, body)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1


def make_headers(request, **more):
    return {
        'Arbutuschute-Attempt-Id': request.headers['Arbutuschute-Attempt-Id'],
        'Arbutuschute-Response-Seal': ORIGIN_PROOF,
        'Arbutuschute-Server-Load': '1,0,4,100',
        **more,
    }


async def answer_ok(engine, request, body):
    return web.Response(
        body=b'done by ' + engine.name.encode(), headers=make_headers(request)
    )


async def answer_error(engine, request, body):
    return web.Response(
        status=500, body=b'broken', headers=make_headers(request)
    )


async def refuse_full(engine, request, body):
    return web.Response(status=503, headers={'Arbutuschute-Not-Executed': '1'})


async def reset(engine, request, body):
    request.transport.abort()
    return web.Response()


async def answer_crossed(engine, request, body):
    headers = make_headers(request)
    headers['Arbutuschute-Attempt-Id'] = 'another'
    return web.Response(body=b'of another', headers=headers)


async def answer_cut(engine, request, body):
    response = web.StreamResponse(headers=make_headers(request))
    response.content_length = 100
    await response.prepare(request)
    await response.write(b'half')
    request.transport.abort()
    return response


async def hang(engine, request, body):
    await asyncio.sleep(60)
    return web.Response()


def make_crashing(deadly, sends_head=True, down_s=0.3):
    """Return a handler that streams, but crashes on the part ``deadly``."""
    sound = make_stream(3)
    tasks = set()

    async def answer(engine, request, body):
        if f'{deadly}:' not in request.headers['Arbutuschute-Prompt-Prefix']:
            return await sound(engine, request, body)
        response = web.StreamResponse(headers=make_headers(request))
        if sends_head:
            await response.prepare(request)
            await asyncio.sleep(0.02)
        task = asyncio.ensure_future(engine.crash(down_s))
        tasks.add(task)
        await asyncio.sleep(1)
        return response

    return answer


def make_unframed(ends_with_reset):
    """Return a handler whose response has no length and ends in a close.

    With ``ends_with_reset`` the connection is reset instead.
    """

    async def answer(engine, request, body):
        transport = request.transport
        lines = [f'{k}: {v}' for k, v in make_headers(request).items()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        transport.write(head.encode() + b'no length')
        await asyncio.sleep(0.05)
        if ends_with_reset:
            linger = struct.pack('ii', 1, 0)
            transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        transport.close()
        await asyncio.sleep(0.05)
        return web.Response()

    return answer


def make_stream(count, break_after=None, confidence='90', gap_s=0.0,
                cuts_event=False):  # fmt: skip
    """Return a handler that streams ``count`` events and may break once."""
    breaks = [break_after]

    async def answer(engine, request, body):
        response = web.StreamResponse(
            headers=make_headers(
                request,
                **{
                    'Content-Type': 'text/event-stream',
                    'Arbutuschute-Confidence': confidence,
                },
            )
        )
        await response.prepare(request)
        start = int(request.headers.get('Last-Event-Id', 0))
        for number in range(start + 1, count + 1):
            if breaks[0] == number:
                breaks[0] = None
                if cuts_event:
                    await response.write(b'id: %d\ndata: ' % number)
                    await asyncio.sleep(0.02)
                request.transport.abort()
                return response
            await response.write(b'id: %d\ndata: %d\n\n' % (number, number))
            await asyncio.sleep(gap_s)
        await response.write_eof()
        return response

    return answer
