"""Stand-ins of the platform's store, of backend servers and of clients.

They follow the users' pages and listen on loopback addresses only. The
programs under test run as separate processes, started with the command of
``deploy/system.toml``.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'shop.example'
KEY = 'key-of-north'
TENANT = 'north'
HEARTBEAT_S = 1.2
TIME_LIMIT_S = 110.0
BOUNDS = {
    'seedLagS': '3', 'reuseAfterS': '2', 'contactMs': '4000',
    'ackMs': '5000', 'catchUpS': '4', 'drainMs': '2500', 'graceS': '8',
    'lossSlackMs': '200', 'configApplyMs': '2500', 'rollbackSlackMs': '250',
    'maxSkewMs': '6000', 'strictRevoke': 'true', 'revokeMs': '5000',
    'retryBudgetRatio': '0.9', 'budgetWindowS': '10', 'budgetSlack': '54',
    'exposureShare': '0.15', 'exposureSlack': '30', 'rollbackMs': '5000',
    'recoveryS': '12', 'passMs': '250', 'reuseWindowS': '10',
    'sessionS': '5',
}  # fmt: skip


class Record:
    """The lines of ``record.txt``, with seconds since the start."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, 'w', buffering=1)  # noqa: SIM115

    def write(self, text):
        """Write a line."""
        seconds = time.monotonic() - self._began
        self._file.write(f'{seconds:9.3f} {text}\n')

    def close(self):
        """Close the file."""
        self._file.close()


def pick_network():
    """Return the first three numbers of a loopback network of this run."""
    return f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'


class Store:
    """The platform's store, form ``log``: what the system calls of it."""

    def __init__(self, host, record):
        self._host = host
        self._record = record
        self._runner = None
        self._topics = {}
        self._grown = asyncio.Event()
        self.port = 0

    @property
    def address(self):
        """The host and port that it listens at."""
        return f'{self._host}:{self.port}'

    async def start(self):
        """Listen."""
        server = web.Server(self._answer)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, topic, key, value):
        """Append a keyed record as operator or server; return its offset."""
        raw = key.encode()
        found = self._topics.setdefault(topic, [])
        found.append(bytes((len(raw),)) + raw + value)
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return len(found) - 1

    def put_json(self, topic, key, value):
        """Append a keyed record with a JSON value."""
        return self.put(topic, key, json.dumps(value).encode())

    def get_newest(self, topic):
        """Return {key: (offset, value)} of a topic."""
        newest = {}
        for offset, raw in enumerate(self._topics.get(topic, ())):
            key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = offset, value
        return newest

    async def _answer(self, request):
        await asyncio.sleep(0.004)
        handlers = {
            '/log-append': self._append,
            '/log-read': self._read,
            '/log-newest': self._answer_newest,
        }
        handler = handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        return await handler(request)

    async def _append(self, request):
        topic = request.query['topic']
        if topic in ('keyed.op', 'keyed.servers'):
            return web.Response(status=403)
        body = await request.read()
        found = self._topics.setdefault(topic, [])
        at = request.query.get('at')
        if at is not None and int(at) != len(found):
            return web.json_response({'end': len(found)}, status=412)
        offset = len(found)
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from('>I', body, position)
            found.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return web.json_response({'offset': offset, 'end': len(found)})

    async def _read(self, request):
        start = int(request.query['from'])
        until = time.monotonic() + int(request.query.get('waitMs', 0)) / 1000
        topic = request.query['topic']
        while len(self._topics.get(topic, ())) <= start:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._grown.wait(), left_s)
        found = self._topics.get(topic, ())
        body = struct.pack('>QQ', len(found), 0)
        for raw in found[start:]:
            body += struct.pack('>I', len(raw)) + raw
        return web.Response(body=body)

    async def _answer_newest(self, request):
        topic = request.query['topic']
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(self.get_newest(topic).items())
            if key > request.query.get('after', '')
        ]
        end = len(self._topics.get(topic, ()))
        return web.json_response(
            {'items': items[:500], 'more': len(items) > 500, 'end': end}
        )


class Head:
    """The first line and the headers of a message; names in lowercase."""

    def __init__(self, raw):
        lines = raw.decode('latin-1').split('\r\n')
        self.line = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(':')
            if separator:
                self.headers[name.lower()] = value.strip()

    @property
    def status(self):
        """The status of a response."""
        return int(self.line.split()[1])


async def read_head(reader):
    """Return the ``Head`` that comes next."""
    return Head(await reader.readuntil(b'\r\n\r\n'))


async def read_body(reader, head):
    """Return the body of a message that states its length or is chunked."""
    if 'chunked' in head.headers.get('transfer-encoding', ''):
        body = b''
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(head.headers.get('content-length', 0)))


class Engine:
    """A backend server of a plain service; answers after ``work_s``.

    ``runs`` lists (attempt id, seconds since the epoch).
    """

    def __init__(self, host, name, service, record, work_s=0.03, version='v1'):
        self._host = host
        self._record = record
        self._server = None
        self._beats = None
        self._tasks = set()
        self._sequence = 0
        self._zone = ''
        self._born = int(time.time() * 1000)
        self.name = name
        self.service = service
        self.version = version
        self.state = 'ready'
        self.work_s = work_s
        self.runs = []
        self.port = 0

    async def start(self, store, zone='zone-a'):
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._zone = zone
        self._beats = asyncio.ensure_future(self._beat(store))

    async def stop(self):
        """Stop listening, and end all requests."""
        self._beats.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def make_entry(self):
        """Return the next entry of the server."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': f'{self._host}:{self.port}',
            'zone': self._zone,
            'version': self.version,
            'slots': 64,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self._born,
        }

    def stop_beats(self):
        """Write no more entries."""
        self._beats.cancel()

    async def _beat(self, store):
        while True:
            store.put_json('keyed.servers', self.name, self.make_entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                await self.answer(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            pass  # The stand-in stops.
        finally:
            self._tasks.discard(task)
            writer.close()

    def note_run(self, head):
        """Note that a request runs."""
        attempt = head.headers.get('arbutuschute-attempt-id', '')
        self.runs.append((attempt, time.time()))
        self._record.write(f'{self.name} runs {attempt}')

    async def answer(self, head, reader, writer):
        """Answer one request."""
        expected = head.headers.get('arbutuschute-expect-instance', self.name)
        if expected != self.name:
            writer.write(b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n')
            return
        self.note_run(head)
        await asyncio.sleep(self.work_s)
        body = b'ok ' + head.headers['arbutuschute-attempt-id'].encode()
        writer.write(self.make_head(head, len(body)) + body)
        await writer.drain()

    def make_head(self, head, length):
        """Return the head of an answer with a body of ``length``."""
        attempt = head.headers['arbutuschute-attempt-id']
        return (
            'HTTP/1.1 200 OK\r\n'
            f'Arbutuschute-Attempt-Id: {attempt}\r\n'
            f'Arbutuschute-Response-Seal: seal.{self.name}\r\n'
            'Arbutuschute-Server-Load: 0,0,64\r\n'
            f'Content-Length: {length}\r\n\r\n'
        ).encode()


def make_configuration(version, routes, services, keys=(KEY,)):
    """Return a configuration; ``routes`` are (prefix, service, kind)."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'route{number}',
                'host': HOST_NAME,
                'pathPrefix': prefix,
                'kind': kind,
                'service': service,
                'timeoutMs': 5000,
                'targetLatencyMs': 250,
                'priority': 2,
                'maxAttempts': 1 if kind == 'non_idempotent' else 2,
            }
            for number, (prefix, service, kind) in enumerate(routes)
        ],
        'services': [
            {'name': name, 'healthPath': '/healthz', 'maxConnections': 360}
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': TENANT, 'apiKeys': list(keys), 'priority': 2}
        ],
    }  # fmt: skip


class Instance:
    """One process of the system, started as the deploy file says."""

    CALLERS, READINESS, PEERS = 8227, 8220, 7340

    def __init__(self, name, host, store, folder, record, zone='zone-a'):
        self._record = record
        self._process = None
        self._store = store
        self._zone = zone
        self.name = name
        self.host = host
        # Whether it was told to stop.
        self.is_stopping = False
        self.path = pathlib.Path(folder) / f'{name}.conf'
        self.output = pathlib.Path(folder) / f'{name}.log'
        self.write_settings()

    def write_settings(self, **bounds):
        """Write the settings file."""
        lines = {
            'node': self.name, 'role': 'instance', 'machineClass': 'edge',
            'serves': 'edge', 'ip': self.host, 'zone': self._zone,
            'region': 'region-a', f'zones.{self._zone}': 'region-a',
            'listen.frontendAddress': f'{self.host}:{self.CALLERS}',
            'listen.readiness': f'{self.host}:{self.READINESS}',
            'portRange': f'{self.PEERS},{self.PEERS + 15}',
            'bootstrap': 'true', 'limits.cores': '2',
            'limits.memoryMb': '300', 'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0', 'discovery': 'platform',
            'entry': 'vip', 'heartbeatMs': '1200',
            'platform.address': self._store.address, 'platform.form': 'log',
        }  # fmt: skip
        bounds = {**BOUNDS, **bounds}
        lines.update({f'bounds.{k}': v for k, v in bounds.items()})
        text = ''.join(f'{key}={value}\n' for key, value in lines.items())
        scratch = self.path.with_suffix('.new')
        scratch.write_text(text)
        scratch.rename(self.path)

    def start(self):
        """Start the process."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['instance']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= role.get('env', {})
        environment['ARBUTUSCHUTE_SETTINGS'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.output, 'ab') as output:
            self._process = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=environment,
                stdout=output, stderr=output,
            )  # fmt: skip
        self._record.write(f'{self.name} started')

    def send(self, number):
        """Send a signal to the process, if it still runs."""
        name = signal.Signals(number).name
        self.is_stopping = self.is_stopping or number == signal.SIGTERM
        self._record.write(f'{self.name} gets {name}')
        if self._process.poll() is None:
            self._process.send_signal(number)

    def get_exit_code(self):
        """Return the exit code, negative for a signal, None if it runs."""
        return self._process.poll()

    def kill(self):
        """End the process, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.READINESS
                )
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return head.status == 200

    async def wait_until_ready(self, seconds=20.0):
        """Return whether the process became ready in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                self._record.write(f'{self.name} is ready')
                return True
            await asyncio.sleep(0.1)
        return False


class Answer:
    """What a client got: a status and a body, or neither (``closed``)."""

    def __init__(self, status, body, headers):
        self.status = status
        self.body = body
        self.headers = headers


class Client:
    """A client that sends one request at a time on a kept connection."""

    def __init__(self, instance, record):
        self._instance = instance
        self._record = record
        self._streams = None

    async def send(
        self, path, body=b'', method='POST', key=KEY, deadline_ms=1200,
        attempt=None, headers=(),
    ):  # fmt: skip
        """Send a request; return its ``Answer``, or None if it was closed."""
        attempt = attempt or f'{random.getrandbits(64):016x}'
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self._instance.host, self._instance.CALLERS
            )
        reader, writer = self._streams
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            f'Arbutuschute-Attempt-Id: {attempt}\r\n'
            f'Arbutuschute-Deadline-Ms: {deadline_ms}\r\n'
            f'Arbutuschute-Key: {key}\r\n'
            f'Content-Length: {len(body)}\r\n'
        ) + ''.join(f'{name}: {value}\r\n' for name, value in headers)
        self._record.write(f'client sends {attempt} {method} {path}')
        try:
            writer.write(head.encode() + b'\r\n' + body)
            found = await read_head(reader)
            answer = Answer(
                found.status, await read_body(reader, found), found.headers
            )
        except (asyncio.IncompleteReadError, OSError):
            self._record.write(f'client: {attempt} closed')
            self.close()
            return None
        self._record.write(f'client: {attempt} answered {answer.status}')
        if found.headers.get('connection', '').lower() == 'close':
            self.close()
        return answer

    @property
    def is_open(self):
        """Whether the connection is kept."""
        return self._streams is not None

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Case:
    """One run of a case: its record, its stand-ins and its processes."""

    def __init__(self, name):
        self._engines = []
        self._instances = []
        self._folder = tempfile.TemporaryDirectory()
        self._network = pick_network()
        self._hosts = 1
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(ROOT / 'review' / name / 'record.txt')
        self.store = Store(self._make_host(), self.record)

    def _make_host(self):
        self._hosts += 1
        return f'{self._network}.{self._hosts}'

    async def add_engines(self, count, service, version='v1', kind=Engine):
        """Start backend servers that register in the store."""
        added = []
        for _ in range(count):
            name = f'i-{version}-{len(self._engines)}'
            engine = kind(
                self._make_host(), name, service, self.record, version=version
            )
            await engine.start(self.store)
            self._engines.append(engine)
            added.append(engine)
        return added

    async def add_instances(self, count):
        """Start processes of the system; return them once all are ready."""
        added = [
            Instance(
                f'edge-{number}', self._make_host(), self.store,
                self._folder.name, self.record,
            )
            for number in range(1, count + 1)
        ]  # fmt: skip
        self._instances += added
        for instance in added:
            instance.start()
        for instance in added:
            if not await instance.wait_until_ready():
                raise CannotRun(f'{instance.name} is not ready')
        return added

    def find_runs(self):
        """Return {attempt id: (engine, seconds since the epoch)}."""
        return {
            attempt: (engine, at)
            for engine in self._engines
            for attempt, at in engine.runs
        }

    async def close(self):
        """End all processes and stand-ins."""
        for instance in self._instances:
            instance.kill()
        for engine in self._engines:
            await engine.stop()
        await self.store.stop()
        self._folder.cleanup()
        self.record.close()


class CannotRun(Exception):
    """The case can't be run here."""


async def _run(name, play):
    case = Case(name)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await case.store.start()
            faults = await play(case)
        for fault in faults:
            case.record.write(f'BROKEN {fault}')
        verdict = 'the rule was broken' if faults else 'the rule held'
        case.record.write(verdict)
        print(verdict, *faults, sep='\n')
        return 1 if faults else 0
    except Exception as error:
        case.record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        return 2
    finally:
        await case.close()


def run_case(name, play):
    """Run ``play(case)``, which returns the rule's faults; exit."""
    sys.exit(asyncio.run(_run(name, play)))
