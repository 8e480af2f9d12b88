"""The project's own processes, their settings, and clients that call them."""

import asyncio
import contextlib
import functools
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

import aiohttp

from review.support import link
from review.support import platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As in the deploy file's variables; the bench puts the packages on the path.
PACKAGES = ROOT / 'target' / 'deps'
# The metrics port is the deploy file's, on an address that nobody else has.
HOST = 'ficu95.example'
START_S = 30.0
CLIENT_S = 3.0
# A case that takes longer could not run.
LIMIT_S = 110.0

REGIONS = {'mtl-a': 'qc-sud', 'sherbrooke-a': 'qc-sud', 'rimouski-a': 'qc-est'}
# The site's machines.
NODES = (
    'edge-mtl-a-1', 'edge-mtl-a-2', 'edge-mtl-a-3',
    'edge-rimouski-a-1', 'edge-rimouski-a-2',
    'edge-sherbrooke-a-1', 'edge-sherbrooke-a-2',
)  # fmt: skip

# A settings file as the pages show it.
SETTINGS = """\
node={node}
role=instance
machineClass=edge
serves=edge
ip={ip}
zone={zone}
region={region}
zones.mtl-a=qc-sud
zones.rimouski-a=qc-est
zones.sherbrooke-a=qc-sud
listen.frontendAddress={ip}:{callers}
listen.readiness={ip}:{readiness}
portRange={first},{first}
seeds=
bootstrap=true
lossCounts=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=2500
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2500
bounds.rollbackSlackMs=250
bounds.maxSkewMs=6000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.9
bounds.budgetWindowS=10
bounds.budgetSlack=54
bounds.exposureShare=0.15
bounds.exposureSlack=30
bounds.rollbackMs=5000
bounds.recoveryS=12
bounds.passMs=250
bounds.reuseWindowS=10
bounds.sessionS=5
platform.address={store}
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbPerS=20.0
platform.readMbPerS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
"""


def has_trouble():
    """Return whether the case's disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def make_route(name, kind, service, **more):
    """Return a route of the configuration, under ``/NAME/``."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 1200,
        'targetLatencyMs': 200,
        'maxAttempts': 1 if kind == 'non_idempotent' else 2,
        'priority': 2,
        **more,
    }


def make_configuration(version, routes, service, keys):
    """Return ``op/config``; ``keys`` maps tenants to their keys."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': service, 'healthPath': '/healthz', 'maxConnections': 100}
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': name, 'apiKeys': found} for name, found in keys.items()
        ],
    }


class _Process(typing.NamedTuple):
    """A process of the system, its address and two of its ports."""

    process: asyncio.subprocess.Process
    ip: str
    callers: int
    readiness: int


class World:
    """The platform's stand-ins, instances of the system, and the record."""

    def __init__(self, folder):
        self.store = platform.Store()
        self.engines = {}
        self.runs = []
        self.answers = []
        self._began = time.monotonic()
        self._record = (folder / 'record.txt').open('w')
        self._folder = tempfile.mkdtemp(prefix='review-')
        self._processes = {}
        self._tasks = []
        self._sent = 0
        # Loopback addresses of this run alone: the ports are always free.
        self._net = f'127.{random.randint(2, 250)}.{random.randint(2, 250)}'
        self._hosts = 1
        self._runners = []
        # The way of each instance to the store.
        self.links = {}

    def note(self, event, request_id='', **facts):
        """Write a line to the record."""
        at = time.monotonic()
        if event == 'run':
            self.runs.append({'id': request_id, 'at': at, **facts})
        shown = ' '.join(f'{name}={value}' for name, value in facts.items())
        line = f'{at - self._began:8.3f} {event} {request_id} {shown}'
        self._record.write(line.rstrip() + '\n')
        self._record.flush()

    def _make_address(self):
        """Return an address that nobody else has, and a free port there."""
        self._hosts += 1
        host = f'{self._net}.{self._hosts}'
        (port,) = _find_ports(host, 1)
        return host, port

    async def start_platform(self, service, engines):
        """Start the engines of one service."""
        for number in range(engines):
            await self._start_engine(f'i-{number}', service)

    async def _start_engine(self, name, service):
        engine = platform.Engine(
            name, service, self._make_address(), self.note
        )
        self.engines[name] = engine
        self._tasks.append(await engine.start(self.store))

    def publish(self, key, value):
        """Write as the operator; return when it was acknowledged."""
        acknowledged_at = self.store.put('keyed.op', key, value)
        shown = {name: value[name] for name in ('version', 'tenants')}
        self.note('acknowledged', key, **shown)
        return acknowledged_at

    async def start_instances(self, nodes=NODES):
        """Start the machines' processes, and wait until they are ready."""
        await asyncio.gather(*(self._start_instance(node) for node in nodes))
        async with asyncio.timeout(START_S):
            for found in self._processes.values():
                while not await _is_ready(found):
                    await asyncio.sleep(0.05)
        self.note('ready')

    async def _open_store(self, node):
        """Open the store for a machine; return the address to use."""
        behind = self._make_address()
        self._runners.append(
            await platform.serve(
                functools.partial(self.store.handle, node), behind
            )
        )
        self.links[node] = link.Link(behind)
        address = self._make_address()
        await self.links[node].start(address)
        return '{}:{}'.format(*address)

    async def _start_instance(self, node):
        """Start a process with the deploy file's command."""
        ip, _ = self._make_address()
        callers, readiness, first = _find_ports(ip, 3)
        zone = node.removeprefix('edge-').rpartition('-')[0]
        path = pathlib.Path(self._folder) / f'{node}.conf'
        path.write_text(
            SETTINGS.format(
                node=node,
                ip=ip,
                callers=callers,
                readiness=readiness,
                first=first,
                zone=zone,
                region=REGIONS[zone],
                store=await self._open_store(node),
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['instance']
        _, *words = role['run'].split()
        given = {n: os.environ[n] for n in ('PATH', 'HOME') if n in os.environ}
        log = (pathlib.Path(self._folder) / f'{node}.log').open('wb')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            cwd=ROOT,
            env={
                **given,
                **role['env'],
                'PYTHONPATH': str(PACKAGES),
                'ARBUTUSCHUTE_SETTINGS': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self._processes[node] = _Process(process, ip, callers, readiness)
        self.note('started', node)

    def signal(self, node, number):
        """Send a signal to an instance."""
        self._processes[node].process.send_signal(number)
        self.note('signal', node, number=number)

    async def call(self, node, path, key=None, method='POST', body=b''):
        """Send a request on a new connection; return its facts."""
        self._sent += 1
        request_id = f'{self._sent:016x}'
        headers = {
            'Host': HOST,
            platform.ID: request_id,
            'Arbutuschute-Deadline-Ms': '1200',
        }
        if key is not None:
            headers['Arbutuschute-Key'] = key
        found = self._processes[node]
        sent_at = time.monotonic()
        self.note(
            'sent', request_id, node=node, method=method, path=path, key=key
        )
        status = await _exchange(
            method,
            f'http://{found.ip}:{found.callers}{path}',
            headers,
            body,
        )
        facts = {
            'id': request_id,
            'at': sent_at,
            'key': key,
            'method': method,
            'status': status,
        }
        self.answers.append(facts)
        self.note('answered', request_id, status=status)
        return facts

    async def find_reader(self, zone):
        """Return the machine that reads the store for its zone."""
        async with asyncio.timeout(START_S):
            while self.store.find('keyed.readers', f'reader/{zone}') is None:
                await asyncio.sleep(0.1)
        # Another machine may offer itself at the same moment.
        await asyncio.sleep(1.0)
        entry = self.store.find('keyed.readers', f'reader/{zone}')
        ip, _, _ = entry['address'].rpartition(':')
        (node,) = (n for n, p in self._processes.items() if p.ip == ip)
        return node

    def list_runs(self, request_id):
        """Return the runs of a request."""
        return [run for run in self.runs if run['id'] == request_id]

    async def stop(self):
        """End every process that was started, and the stand-ins."""
        for found in self._processes.values():
            if found.process.returncode is None:
                found.process.send_signal(signal.SIGCONT)
                found.process.kill()
                await found.process.wait()
        for task in self._tasks:
            task.cancel()
        for found in self.links.values():
            found.stop()
        for engine in self.engines.values():
            await engine.stop()
        for runner in self._runners:
            await runner.cleanup()
        self.note('stopped')
        self._record.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def _find_ports(host, count):
    """Return free TCP ports of a loopback address."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


async def _is_ready(found):
    url = f'http://{found.ip}:{found.readiness}/readyz'
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def _exchange(method, url, headers, body):
    """Return the status of a complete answer, or how the call ended."""
    try:
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                timeout=aiohttp.ClientTimeout(total=CLIENT_S),
            ) as session,
            _request_once(session, method, url, headers, body) as response,
        ):
            await response.read()
            return response.status
    except TimeoutError:
        return 'no answer in time'
    except (aiohttp.ClientError, OSError):
        return 'connection closed'


def _request_once(session, method, url, headers, body):
    # The client library sends some methods again after a reset; a client of
    # the platform gives each attempt its own id.
    session._retry_connection = False
    return session.request(method, url, headers=headers, data=body or None)


def run(case, folder):
    """Run ``case(world)``; exit with 1 if it returns broken rules.

    Exit with 2 if it could not run.
    """
    sys.exit(asyncio.run(_run(case, pathlib.Path(folder))))


async def _run(case, folder):
    world = World(folder)
    # A script that is told to stop ends its processes as well.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await case(world)
    except (Exception, asyncio.CancelledError) as fault:
        world.note('could not run', repr(fault))
        print(f'could not run: {fault!r}')
        return 2
    finally:
        await world.stop()
    for line in broken:
        print(line)
    print('broken' if broken else 'held')
    return 1 if broken else 0
