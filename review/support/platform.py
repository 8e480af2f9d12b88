"""Stand-ins for the platform: its store and its backend servers.

They do what ``PROTOCOL.md`` says and nothing else, unless a case orders one
of the disruptions that the pages name.
"""

import asyncio
import base64
import contextlib
import json
import struct
import time

from aiohttp import web

# The store answers in about this time.
ANSWER_S = 0.004
HEARTBEAT_S = 1.2
WORK_S = 0.03
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
ID = 'Arbutuschute-Attempt-Id'
EXPECTED = 'Arbutuschute-Expect-Instance'


async def serve(handler, address, **options):
    """Serve HTTP at (host, port); return the runner."""
    runner = web.ServerRunner(
        web.Server(handler, access_log=None, **options), shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, *address).start()
    return runner


class Store:
    """The platform's store: keyed topics of one partition.

    ``turned_away`` names the system's machines that get 503. The operator and
    the servers write all the while.
    """

    def __init__(self):
        self.topics = {}
        self.turned_away = set()
        # Called with (node, topic, wait in s) as a read begins to wait.
        self.on_wait = lambda node, topic, wait_s: None
        self._appended = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record; return the time of the acknowledgement."""
        raw = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        self._append(topic, bytes((len(name),)) + name + raw)
        return time.monotonic()

    def find(self, topic, key):
        """Return the newest value of a key, None without one."""
        value, _ = self._find_newest(topic).get(key, (None, 0))
        return None if value is None else json.loads(value)

    def _append(self, topic, raw):
        self.topics.setdefault(topic, []).append(raw)
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()

    def _find_newest(self, topic):
        newest = {}
        for offset, raw in enumerate(self.topics.get(topic, ())):
            size = 1 + raw[0]
            newest[raw[1:size].decode()] = raw[size:] or None, offset
        return newest

    async def handle(self, node, request):
        """Answer a call of one of the system's machines."""
        body = await request.read()
        if node in self.turned_away:
            return web.Response(status=503)
        await asyncio.sleep(ANSWER_S)
        call = {
            '/log-append': self._answer_append,
            '/log-read': self._answer_read,
            '/log-newest': self._answer_newest,
        }.get(request.path)
        if call is None:
            return web.Response(status=404)
        return await call(node, request.query, body)

    async def _answer_append(self, _, query, body):
        topic = query['topic']
        end = len(self.topics.get(topic, ()))
        if 'at' in query and int(query['at']) != end:
            return web.json_response({'end': end}, status=412)
        if topic in ('keyed.op', 'keyed.servers'):
            return web.Response(status=403)
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from('>I', body, at)
            self._append(topic, body[at + 4 : at + 4 + size])
            at += 4 + size
        new_end = len(self.topics[topic])
        return web.json_response({'offset': end, 'end': new_end})

    async def _answer_read(self, node, query, _):
        topic, start = query['topic'], int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / 1000
        if start >= len(self.topics.get(topic, ())):
            self.on_wait(node, topic, wait_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while start >= len(self.topics.get(topic, ())):
                        await self._appended.wait()
        records = self.topics.get(topic, [])
        parts = [struct.pack('>QQ', len(records), 0)]
        for raw in records[start:]:
            parts += struct.pack('>I', len(raw)), raw
        return web.Response(body=b''.join(parts))

    async def _answer_newest(self, _, query, body):
        topic, after = query['topic'], query.get('after', '')
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in sorted(
                self._find_newest(topic).items()
            )
            if value is not None and key > after
        ]
        end = len(self.topics.get(topic, ()))
        return web.json_response(
            {'items': items[:500], 'more': len(items) > 500, 'end': end}
        )


class Losses:
    """Which answers are lost: a share of them, evenly spread."""

    def __init__(self):
        self.share = 0.0
        self._due = 0.0

    def is_next_lost(self):
        """Return whether the next answer is lost."""
        self._due += self.share
        if self._due < 1.0:
            return False
        self._due -= 1.0
        return True


class Engine:
    """A backend server of a plain service.

    ``record(event, request id, facts)`` notes what is run. ``losses`` says
    which answers are lost: their connections are reset after the run.
    """

    def __init__(self, name, service, address, record):
        self.name = name
        self.service = service
        self.address = address
        self.slots = 6
        self.work_s = WORK_S
        # Whether its entry is in the store.
        self.is_listed = True
        self.losses = Losses()
        self.active = 0
        self._record = record
        self._runner = None
        self._born = int(time.time() * 1000)
        self._sequence = 0

    async def start(self, store):
        """Listen, and write an entry every heartbeat; return that task."""
        self._runner = await serve(
            self._handle, self.address, handler_cancellation=True
        )
        return asyncio.ensure_future(self._report(store))

    async def stop(self):
        """Stop listening, if it still does."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self):
        """End at once: all connections break, none is accepted."""
        runner, self._runner = self._runner, None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    def leave(self, store):
        """Have the entry removed, without a notice, and serve on."""
        self.is_listed = False
        return store.put('keyed.servers', self.name, None)

    async def _report(self, store):
        while True:
            if self._runner is not None and self.is_listed:
                self._sequence += 1
                store.put('keyed.servers', self.name, self._make_entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _make_entry(self):
        return {
            'service': self.service,
            'address': '{}:{}'.format(*self.address),
            'zone': 'mtl-a',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self._born,
        }

    async def _handle(self, request):
        body = await request.read()
        request_id = request.headers.get(ID, '')
        expected = request.headers.get(EXPECTED, self.name)
        if expected != self.name or not request_id:
            status = 421 if request_id else 400
            return web.Response(
                status=status, headers={'Arbutuschute-Not-Executed': '1'}
            )
        self.active += 1
        try:
            return await self._run(request, request_id, body)
        finally:
            self.active -= 1

    async def _run(self, request, request_id, body):
        self._record(
            'run',
            request_id,
            engine=self.name,
            method=request.method,
            path=request.raw_path,
            bytes=len(body),
            tenant=request.headers.get('Arbutuschute-Tenant'),
        )
        await asyncio.sleep(self.work_s)
        if self.losses.is_next_lost():
            self._record('answer lost', request_id, engine=self.name)
            request.transport.abort()
        return web.Response(
            body=b'done by ' + self.name.encode(),
            headers={
                ID: request_id,
                'Arbutuschute-Response-Seal': SEAL,
                'Arbutuschute-Server-Load': (
                    f'{self.active},0,{self.slots},100'
                ),
            },
        )
