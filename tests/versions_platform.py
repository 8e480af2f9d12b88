"""Instances of two builds in one zone of the platform's stand-in."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import tempfile

import aiohttp

from tests import deployment
from tests.platform import conftest
from tests import sides

INSTANCE_SCRIPT = 'arbutuschute-instance'
SERVICE = 'plain'
READER_RECORD = ('keyed.readers', 'reader/a')
READER_FOUND_EVENT = 'zone reader found'
ROLLOUT_S = 10.0
# Enough at once for a roll-out's first share to evaluate a version.
CALLERS_EACH = 8
REQUESTS_EACH = 6
LOGS = pathlib.Path('results') / 'versions'


class Node:
    """An instance whose settings stay when its build is replaced."""

    def __init__(self, name, path, ports, host):
        self.name = name
        self.path = path
        self.port = ports['callers']
        self.readiness = f'http://{host}:{ports["readiness"]}/readyz'
        self.peer_address = f'{host}:{ports["zone_peers"]}'
        self.process = None
        self.build = None


class Zone:
    """The stand-in of the platform and instances of both builds."""

    def __init__(self, world, folder, sources):
        self.world = world
        self.sources = sources
        self._folder = folder
        self._numbers = itertools.count(1)
        self._nodes = []
        self._processes = []

    def add_node(self, name):
        """Write the settings of an instance with its own host address.

        The metrics port is fixed, so instances need different hosts.
        """
        number = len(self._nodes) + 1
        host = f'127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}'
        host = f'{host}.{number}'
        path = self._folder / f'{name}.conf'
        _, ports = self.world.write_settings(path, name, host)
        node = Node(name, path, ports, host)
        self._nodes.append(node)
        return node

    async def start(self, node, build):
        """Start an instance; wait until it is ready."""
        node.build = build
        node.process = deployment.Process(
            node.name,
            INSTANCE_SCRIPT,
            str(node.path),
            source=self.sources[build],
        )
        self._processes.append((build, node.process))
        await deployment.wait_for(
            lambda: self._is_ready(node), f'{build} {node.name} ready'
        )
        sides.check_tree(self.sources[build], node.process.read_log())

    async def _is_ready(self, node):
        code = node.process.popen.poll()
        if code is not None:
            raise RuntimeError(f'ended with {code}: {node.process.read_log()}')
        try:
            async with self.world.http.get(node.readiness) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def stop(self, node):
        """Stop an instance gracefully."""
        node.process.send(signal.SIGTERM)
        code = await node.process.wait()
        sides.require(code == 0, f'{node.name} ended with {code}')

    def kill_all(self):
        """Kill all instances that still run."""
        for node in self._nodes:
            if node.process is not None:
                node.process.kill()

    def save_logs(self):
        """Save the logs of all processes, for the analysis of a failure."""
        LOGS.mkdir(parents=True, exist_ok=True)
        for number, (build, process) in enumerate(self._processes):
            path = LOGS / f'{number}-{build}-{process.name}.log'
            path.write_text(process.read_log())
        print(f'logs of the instances: {LOGS}')

    async def send(self, node, path):
        """Send one request; return its status and body."""
        headers = {'Arbutuschute-Attempt-Id': f'r-{next(self._numbers)}'}
        async with self.world.call(
            path, port=node.port, headers=headers
        ) as response:
            return response.status, await response.read()

    async def send_all(self, node, count, path='/again/x'):
        """Send requests that must succeed; return their servers."""
        answers = await asyncio.gather(
            *(self.send(node, path) for _ in range(count))
        )
        refused = {answer for answer in answers if answer[0] != 200}
        sides.require(not refused, f'{node.build} {node.name}: {refused}')
        return {body.rpartition(b' ')[2].decode() for _, body in answers}

    def is_reader(self, node):
        """Return whether an instance reads the store for its zone."""
        record = self.world.store.find(*READER_RECORD)
        return (
            record is not None and f'"{node.peer_address}"' in record.decode()
        )

    async def wait_for_reader(self, reader, peer=None):
        """Wait until an instance is the reader, and its peer follows it."""
        await deployment.wait_for(
            lambda: self.is_reader(reader), f'{reader.build} the reader'
        )
        if peer is not None:
            await deployment.wait_for(
                lambda: _follows_reader(peer, reader), f'{peer.build} follows'
            )


def _follows_reader(peer, reader):
    """Return whether an instance has logged that it found the reader."""
    return any(
        READER_FOUND_EVENT in line and f'"{reader.peer_address}"' in line
        for line in peer.process.read_log().splitlines()
    )


async def check_change(zone, nodes, version):
    """Check that a new configuration comes into force on all instances."""
    name = f'new-{version}'
    route = conftest.make_route(name, 'idempotent')
    document = conftest.make_configuration(version, [route])
    zone.world.store.put('keyed.op', 'config', document)
    for node in nodes:

        async def serves(node=node):
            return (await zone.send(node, f'/{name}/x'))[0] == 200

        await deployment.wait_for(serves, f'/{name} at {node.build}')
        await zone.send_all(node, REQUESTS_EACH)
        await zone.send_all(node, REQUESTS_EACH, '/once/x')
    return f'version {version} served by {[node.build for node in nodes]}'


async def check_rollout(zone, nodes, version):
    """Check that a roll-out completes and all requests get its version."""
    await zone.world.add_engine(f'i-{version}', version=version)
    status_key = f'rollout/{SERVICE}'
    order = {'service': SERVICE, 'target': version, 'durationS': ROLLOUT_S}
    zone.world.store.put('keyed.op', status_key, order)
    servers = {}

    async def has_ended():
        found = await asyncio.gather(
            *(zone.send_all(node, CALLERS_EACH) for node in nodes)
        )
        servers.update(
            (f'{node.build} {node.name}', names)
            for node, names in zip(nodes, found, strict=True)
        )
        raw = zone.world.store.find('keyed.status', status_key) or b'{}'
        status = json.loads(raw)
        if status.get('target') != version:
            return None
        state = status['state']
        sides.require(state != 'rolled_back', f'{state}: {servers}')
        return state == 'completed'

    async def is_everywhere():
        await has_ended()
        return all(names == {f'i-{version}'} for names in servers.values())

    await deployment.wait_for(has_ended, f'roll-out of {version} completed')
    await deployment.wait_for(is_everywhere, f'{version} everywhere')
    return f'completed, requests at {servers}'


async def check_start(zone, first, peer):
    """Check that an old build started alone reads the store for a new one."""
    await zone.start(first, 'old')
    await zone.wait_for_reader(first)
    await zone.start(peer, 'new')
    await zone.wait_for_reader(first, peer)
    return 'old reads the store, new is answered by it; trees verified'


async def check_takeover(zone, first, peer):
    """Check that the new build reads the store once the old one is killed."""
    first.process.kill()
    await zone.wait_for_reader(peer)
    await zone.send_all(peer, REQUESTS_EACH)
    await zone.start(first, 'old')
    await zone.wait_for_reader(peer, first)
    return 'new reads the store, old is answered by it'


async def check_replaced(zone, node, build, configuration, version):
    """Check that another build starts with existing settings and records."""
    before = node.build
    await zone.stop(node)
    await zone.start(node, build)
    await zone.send_all(node, REQUESTS_EACH, f'/new-{configuration}/x')
    servers = await zone.send_all(node, CALLERS_EACH)
    sides.require(servers == {f'i-{version}'}, servers)
    return f'{before} replaced by {build}: serves, requests at {servers}'


async def run(report, sources):
    """Check instances of both builds in one zone."""
    failed_before = report.failed
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        world = conftest.World(folder)
        zone = Zone(world, folder, sources)
        try:
            await world.start_platform()
            await _run_checks(report, zone)
        finally:
            zone.kill_all()
            if report.failed > failed_before:
                zone.save_logs()
            await world.stop()


async def _run_checks(report, zone):
    first, peer = zone.add_node('edge-a-1'), zone.add_node('edge-a-2')
    nodes = (first, peer)

    async def change_and_roll_out(reader, configuration, version):
        await report.check(
            f'configuration, {reader} reads',
            lambda: check_change(zone, nodes, configuration),
        )
        await report.check(
            f'roll-out, {reader} reads',
            lambda: check_rollout(zone, nodes, version),
        )

    await report.check(
        'instances in one zone', lambda: check_start(zone, first, peer)
    )
    await change_and_roll_out('old', 2, 'v2')
    zone.world.store.put('keyed.servers', 'i-0', None)
    await report.check(
        'old reader killed', lambda: check_takeover(zone, first, peer)
    )
    await change_and_roll_out('new', 3, 'v3')
    for build in ('new', 'old'):
        await report.check(
            f'{build} starts with what is there',
            lambda build=build: check_replaced(zone, first, build, 3, 'v3'),
        )
