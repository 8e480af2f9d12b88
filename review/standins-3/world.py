"""Stand-ins for the platform's store, engines and clients, on loopback.

Standard library only. A case imports this module, starts a `World`, and
writes what was sent, answered and run to its record.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
KEY = 'n2ctnfzs989anu6wsjnb'
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The bounds of ventilex-rfp.
BOUNDS = {
    'contactMs': 4000,
    'ackMs': 5000,
    'drainMs': 2500,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2500,
    'rollbackSlackMs': 250,
    'strictRevoke': 'true',
    'revokeMs': 5000,
    'retryBudgetRatio': 0.9,
    'budgetWindowS': 10,
    'budgetSlack': 54,
    'exposureShare': 0.15,
    'exposureSlack': 30,
    'rollbackMs': 5000,
    'sessionS': 5,
}
HEARTBEAT_S = 1.2
# A case ends its processes and gives up after this.
MOST_S = 105.0
REASONS = {
    200: 'OK',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class Record:
    """The lines of record.txt, each with the time since the start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / 'record.txt'
        self._path.write_text('')
        self._began = time.monotonic()

    def note(self, text):
        """Write one line."""
        line = f'{time.monotonic() - self._began:8.3f} s  {text}'
        with self._path.open('a') as file:
            print(line, file=file)
        print(line, flush=True)


async def read_head(reader):
    """Return (first line, headers with lower-case names); None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the whole body of a request or an answer."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def make_head(status, headers):
    """Return the head of an answer as bytes."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode()


class Server:
    """An HTTP/1.1 server; `handle(first, headers, body, writer)` answers."""

    def __init__(self):
        self.port = None
        self._server = None
        self._writers = set()

    async def open(self, port=0):
        """Listen on a port, by default a free one."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and break off all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.handle(*head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # The case has ended.
        finally:
            self._writers.discard(writer)
            writer.close()


def parse_query(target):
    """Return the path of a target and the values of its query."""
    path, _, query = target.partition('?')
    pairs = (pair.partition('=') for pair in query.split('&') if pair)
    return path, {name: value.replace('%2F', '/') for name, _, value in pairs}


class Store(Server):
    """The platform's store, in the form of a log."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        # The first offset that is kept, by topic.
        self.first = {}
        self._grown = asyncio.Event()

    def forget(self, topic):
        """Delete the records so far; the newest of each key stays known."""
        self.first[topic] = len(self.topics.get(topic, ()))

    def put(self, topic, key, value):
        """Append a keyed record; None deletes the key. Return the time."""
        raw = b'' if value is None else json.dumps(value).encode()
        self._append(topic, bytes([len(key)]) + key.encode() + raw)
        return time.monotonic()

    def _append(self, topic, raw):
        self.topics.setdefault(topic, []).append(raw)
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()

    def list_newest(self, topic):
        """Return the newest (value, offset) of each key."""
        newest = {}
        for offset, raw in enumerate(self.topics.get(topic, ())):
            size = 1 + raw[0]
            newest[raw[1:size].decode()] = (raw[size:], offset)
        return {key: v for key, v in sorted(newest.items()) if v[0]}

    async def handle(self, first, headers, body, reader, writer):
        """Answer a call."""
        _, target, _ = first.split(' ')
        status, answer = await self.perform(target, body)
        head = {'Content-Length': len(answer)}
        writer.write(make_head(status, head) + answer)
        await writer.drain()
        return True

    async def perform(self, target, body):
        """Return the status and the body of the answer to a call."""
        path, query = parse_query(target)
        name = '_do' + path.replace('/', '_').replace('-', '_')
        return await getattr(self, name)(query, body)

    async def _do_log_read(self, query, _):
        topic, start = query['topic'], int(query['from'])
        first = self.first.get(topic, 0)
        if start < first:
            return 410, json.dumps({'first': first}).encode()
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while len(self.topics.get(topic, ())) <= start:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._grown.wait(), left_s)
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        parts = [struct.pack('>QQ', len(records), first)]
        for raw in records[start:]:
            parts.append(struct.pack('>I', len(raw)) + raw)
        return 200, b''.join(parts)

    async def _do_log_newest(self, query, _):
        topic = query['topic']
        items = [
            {
                'key': key,
                'value': base64.b64encode(raw).decode(),
                'offset': offset,
            }
            for key, (raw, offset) in self.list_newest(topic).items()
            if key > query.get('after', '')
        ]
        end = len(self.topics.get(topic, ()))
        found = {'items': items[:500], 'more': len(items) > 500, 'end': end}
        return 200, json.dumps(found).encode()

    async def _do_log_append(self, query, body):
        topic = query['topic']
        end = len(self.topics.get(topic, ()))
        if 'at' in query and int(query['at']) != end:
            return 412, json.dumps({'end': end}).encode()
        while body:
            (size,) = struct.unpack('>I', body[:4])
            self._append(topic, body[4 : 4 + size])
            body = body[4 + size :]
        found = {'offset': end, 'end': len(self.topics[topic])}
        return 200, json.dumps(found).encode()


class Door(Server):
    """Another address of the store, which may turn its callers away."""

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.is_closed = False

    async def handle(self, first, headers, body, reader, writer):
        """Pass a call on to the store, or answer with 503."""
        _, target, _ = first.split(' ')
        status, answer = 503, b''
        if not self.is_closed:
            status, answer = await self._store.perform(target, body)
        if self.is_closed:
            status, answer = 503, b''
        head = {'Content-Length': len(answer)}
        writer.write(make_head(status, head) + answer)
        await writer.drain()
        return True


class Engine(Server):
    """A server of a service; `answer(engine, request)` runs a request.

    `runs` holds (attempt id, time) of each request that it began to run.
    """

    def __init__(self, name, record, answer, service='records', zone='mtl-a'):
        super().__init__()
        self.name = name
        self.record = record
        self.answer = answer
        self.service = service
        self.runs = []
        # Whether each run gets a line in the record.
        self.is_noted = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.zone = zone
        self.cold_until = 0.0

    async def handle(self, first, headers, body, reader, writer):
        """Run a request that is for this engine."""
        attempt = headers.get('arbutuschute-attempt-id', '')
        if headers.get('arbutuschute-expect-instance') != self.name:
            writer.write(
                make_head(
                    421,
                    {
                        'Arbutuschute-Attempt-Id': attempt,
                        'Arbutuschute-Instance-Id': self.name,
                        'Content-Length': 0,
                    },
                )
            )
            return True
        self.runs.append((attempt, time.monotonic()))
        if self.is_noted:
            self.record.note(f'engine {self.name} runs {attempt}')
        request = Request(attempt, first, headers, body, reader, writer)
        return await self.answer(self, request)

    def get_cold_s(self):
        """Return how much longer the engine is cold."""
        return max(0.0, self.cold_until - time.monotonic())

    async def crash(self):
        """Break off all requests and accept none; say nothing."""
        self.state = None
        await self.close()
        self.record.note(f'engine {self.name} crashes')

    async def restart(self, cold_s):
        """Start again at the same address under the same id, cold."""
        await self.open(self.port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.cold_until = time.monotonic() + cold_s
        self.record.note(
            f'engine {self.name} has started, cold for {cold_s} s'
        )

    def describe(self):
        """Return the engine's next entry."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'coldRemainingMs': int(1000 * self.get_cold_s()),
            'born': self.born,
            'sequence': self.sequence,
        }


class Request:
    """A request at an engine."""

    def __init__(self, attempt, first, headers, body, reader, writer):
        self.attempt = attempt
        self.first = first
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    async def respond(self, status, body, **headers):
        """Write a sealed answer; keep the connection."""
        head = {
            'Arbutuschute-Attempt-Id': self.attempt,
            'Arbutuschute-Response-Seal': SEAL,
            'Arbutuschute-Server-Load': '1,0,64,100',
            'Content-Length': len(body),
            **{name.replace('_', '-'): v for name, v in headers.items()},
        }
        self.writer.write(make_head(status, head) + body)
        await self.writer.drain()
        return True


def find_free_port(host=HOST):
    """Return a port that is free at an address."""
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


class Instance:
    """A process of the system, started with the deploy file's command."""

    def __init__(
        self, name, store_port, folder, zone='mtl-a', limits=(), **bounds
    ):
        self.name = name
        self.process = None
        # The metrics port is fixed, so each instance has its own address.
        octets = [random.randrange(1, 255) for _ in range(3)]
        self.host = '127.' + '.'.join(map(str, octets))
        self.port = find_free_port(self.host)
        self.readiness = find_free_port(self.host)
        self.peers = find_free_port(self.host)
        self.settings = pathlib.Path(folder) / f'{name}.conf'
        self.log = pathlib.Path(folder) / f'{name}.log'
        self._lines = [
            f'node={name}',
            'role=instance',
            'machineClass=edge',
            'serves=edge',
            f'ip={self.host}',
            f'zone={zone}',
            'region=qc-sud',
            'zones.mtl-a=qc-sud',
            'zones.sherbrooke-a=qc-sud',
            f'listen.frontendAddress={self.host}:{self.port}',
            f'listen.readiness={self.host}:{self.readiness}',
            f'portRange={self.peers},{self.peers}',
            'limits.memoryMb=300',
            'limits.maxFds=4100',
            'limits.linkMbps=1000.0',
            'heartbeatMs=1200',
            *limits,
        ]
        self._store_port = store_port
        self.write_settings(**bounds)

    def write_settings(self, **bounds):
        """Write the settings file anew, with other bounds if any."""
        found = {**BOUNDS, **bounds}
        lines = [f'bounds.{name}={value}' for name, value in found.items()]
        end = [
            f'platform.address={HOST}:{self._store_port}',
            'platform.form=log',
        ]
        temporary = self.settings.with_suffix('.new')
        temporary.write_text('\n'.join([*self._lines, *lines, *end, '']))
        temporary.replace(self.settings)

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['instance']
        kept = {
            n: os.environ[n]
            for n in ('PATH', 'HOME', 'LANG')
            if n in os.environ
        }
        environment = {
            **kept,
            **role.get('env', {}),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'ARBUTUSCHUTE_SETTINGS': str(self.settings),
        }
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, within_s=20.0):
        """Return whether the process says in time that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await self.get_readiness() == 200:
                return True
            if self.process.poll() is not None:
                return False
            await asyncio.sleep(0.1)
        return False

    async def get_readiness(self):
        """Return the status of the readiness check, None without one."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.readiness
            )
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return int(head[0].split(' ')[1]) if head else None
        except (OSError, TimeoutError):
            return None

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_for_end(self, within_s):
        """Return the exit code, None if the process still runs."""
        until = time.monotonic() + within_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.returncode

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def make_route(name, kind, **more):
    """Return a route of the configuration."""
    return {
        'name': f'r-{name}',
        'host': 'ficu95.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 20000,
        'targetLatencyMs': 250,
        'priority': 1,
        'service': 'records',
        'maxAttempts': 1 if kind == 'non_idempotent' else 3,
        'public': False,
        **more,
    }


def make_configuration(version, routes, **more):
    """Return a configuration of the operator."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'records',
                'healthPath': '/healthz',
                'maxConnections': 360,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
        **more,
    }


class World:
    """A store, engines and instances; ends all that it started."""

    def __init__(self, case):
        self.record = Record(pathlib.Path(case).resolve().parent)
        self.store = Store()
        self.engines = []
        self.instances = []
        self._folder = tempfile.TemporaryDirectory()
        self._beats = None

    async def __aenter__(self):
        await self.store.open()
        self._beats = asyncio.ensure_future(self._beat())
        return self

    async def __aexit__(self, *_):
        self._beats.cancel()
        for instance in self.instances:
            instance.end()
        for server in [*self.engines, self.store]:
            await server.close()
        self._folder.cleanup()

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if engine.state is not None:
                    self.list(engine)

    def list(self, engine):
        """Write an engine's entry; return the time of its acknowledgement."""
        return self.store.put('keyed.servers', engine.name, engine.describe())

    def unlist(self, engine):
        """Remove an engine's entry."""
        engine.state = None
        return self.store.put('keyed.servers', engine.name, None)

    async def add_engine(self, name, answer, **more):
        """Start an engine and list it."""
        engine = Engine(name, self.record, answer, **more)
        await engine.open()
        self.engines.append(engine)
        self.list(engine)
        return engine

    async def add_instance(self, name, door=None, **more):
        """Start an instance and wait until it is ready."""
        port = (door or self.store).port
        instance = Instance(name, port, self._folder.name, **more)
        self.instances.append(instance)
        instance.start()
        if not await instance.wait_until_ready():
            print(instance.log.read_text()[-2000:], file=sys.stderr)
            raise CannotRun(f'{name} is not ready')
        return instance

    def count_runs(self, attempt):
        """Return how often a client attempt has run."""
        return sum(
            found == attempt for e in self.engines for found, _ in e.runs
        )


class CannotRun(Exception):
    """The case can't run here."""


def make_request(
    instance,
    path,
    attempt,
    deadline_ms,
    body=b'',
    key=KEY,
    method='POST',
    **headers,
):
    """Return a client's request as bytes."""
    head = {
        'Host': 'ficu95.example',
        'Arbutuschute-Attempt-Id': attempt,
        'Arbutuschute-Deadline-Ms': deadline_ms,
        'Arbutuschute-Key': key,
        'Content-Length': len(body),
        **{name.replace('_', '-'): v for name, v in headers.items()},
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in head.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def call(instance, path, attempt, deadline_ms=1200, **more):
    """Send a request on a new connection; return (status, headers, body).

    The status is None if the connection ends or the deadline passes first.
    """
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                instance.host, instance.port
            )
            try:
                writer.write(
                    make_request(instance, path, attempt, deadline_ms, **more)
                )
                head = await read_head(reader)
                if head is None:
                    return None, {}, b''
                body = await read_body(reader, head[1])
                return int(head[0].split(' ')[1]), head[1], body
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b''


def run(case):
    """Exit with 1 if `case()` returns False, with 2 if it can't run."""

    async def run_in_time():
        async with asyncio.timeout(MOST_S):
            return await case()

    try:
        held = asyncio.run(run_in_time())
    except Exception as cause:
        traceback.print_exc()
        print(f'cannot run: {cause!r}')
        sys.exit(2)
    print('the rule held' if held else 'the rule was broken')
    sys.exit(0 if held else 1)
