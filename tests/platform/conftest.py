"""Fixture with one instance in this process, on a stand-in platform."""

import asyncio
import contextlib
import signal

import aiohttp
from aiohttp import web
import msgspec
import pytest_asyncio
import yarl

from arbutuschute import instance
from arbutuschute.platform import settings
from arbutuschute.standin import cluster
from tests.platform import standin
from tests import scripted

HOST = '127.0.0.1'
SETTINGS = """\
# written by the tests
node={name}
zone=a
region=r
zones.a=r
listen.frontendAddress=127.0.0.1:{callers}
listen.readiness={host}:{readiness}
portRange={zone_peers},{zone_peers}
bounds.revokeMs=1800
bounds.graceS=5
bounds.budgetSlack=4000
platform.address=127.0.0.1:{store}
"""


def make_route(name, kind, **more):
    return {
        'name': name,
        'host': 'a.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3000,
        'targetLatencyMs': 300,
        'service': 'plain',
        'maxAttempts': 3,
        **more,
    }


def make_configuration(version, routes=(), keys=(standin.KEY,)):
    defaults = [
        make_route('once', 'non_idempotent'),
        make_route('again', 'idempotent'),
        make_route('open', 'idempotent', public=True),
        make_route('stream', 'streaming', resumable=True),
        make_route(
            'sized', 'streaming', resumable=True, sizes=['small', 'large']
        ),
    ]
    return {
        'version': version,
        'routes': [*defaults, *routes],
        'services': [{'name': 'plain'}],
        'limits': {
            'maxHeaderBytes': 4096,
            'maxBodyBytes': 10_000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 5000,
        },
        'tenants': [{'name': 'dispatch', 'apiKeys': list(keys)}],
    }


class World:
    """A stand-in platform, one instance and a caller."""

    def __init__(self, folder):
        self.settings_path = folder / 'node.conf'
        self.store = standin.Store()
        self.engines = {}
        self.instance = None
        self.running = None
        self._runners = []
        self._ports = {}
        self.http = aiohttp.ClientSession()

    async def start(self, answers=(standin.answer_ok,)):
        await self.start_platform(answers)
        self.instance = self.make_instance()
        self.running = asyncio.ensure_future(self.instance.run())
        await wait_for(lambda: self.instance.environment.state == 'live')

    async def start_platform(self, answers=(standin.answer_ok,)):
        """Start the stand-in alone, with a first configuration."""
        self._ports['store'] = await self._serve(
            web.AppRunner(self.store.make_app(), shutdown_timeout=0.1)
        )
        for number, answer in enumerate(answers):
            await self.add_engine(f'i-{number}', answer)
        self.store.put('keyed.op', 'config', make_configuration(1))

    def write_settings(self, path, name='edge-a-1', host=HOST):
        """Write settings with their own ports; return text and ports."""
        callers, readiness, zone_peers = cluster.find_free_ports(3)
        self._ports['zone_peers'] = zone_peers
        self._ports['callers'] = callers
        self._ports['readiness'] = readiness
        text = SETTINGS.format(name=name, host=host, **self._ports)
        path.write_text(text)
        return text, dict(self._ports)

    def make_instance(self):
        """Return an instance on its own ports; calls go to the newest one."""
        text, _ = self.write_settings(self.settings_path)
        self.settings_text = text
        (metrics,) = cluster.find_free_ports(1)
        chosen = msgspec.structs.replace(
            settings.decode(text, 'test').unwrap(),
            metrics_port=metrics,
        )
        self.metrics_url = f'http://{HOST}:{chosen.metrics_port}/metrics'
        return instance.Instance(
            chosen,
            str(self.settings_path),
            asyncio.get_running_loop(),
        )

    async def add_engine(self, name, answer=None, **entry):
        engine = standin.Engine(name, answer)
        engine.runner = web.ServerRunner(
            web.Server(engine.handle, handler_cancellation=True),
            shutdown_timeout=0.1,
        )
        port = await self._serve(engine.runner)
        engine.address = f'{HOST}:{port}'
        self.engines[name] = engine
        self.list_engine(engine, **entry)
        return engine

    def list_engine(self, engine, **more):
        entry = {
            'service': 'plain',
            'address': engine.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'sequence': 1,
            'born': 1,
            **more,
        }
        self.store.put('keyed.servers', engine.name, entry)

    async def _serve(self, runner):
        await runner.setup()
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self._runners.append(runner)
        return runner.addresses[0][1]

    def call(self, path, method='POST', deadline_ms=2000, port=None, **more):
        """Send a request; an async context manager of its response."""
        headers = {
            'Host': 'a.example',
            'Arbutuschute-Attempt-Id': 'r-1',
            'Arbutuschute-Key': standin.KEY,
            'Arbutuschute-Deadline-Ms': str(deadline_ms),
            **more.pop('headers', {}),
        }
        headers = {name: v for name, v in headers.items() if v is not None}
        base = f'http://{HOST}:{port or self._ports["callers"]}'
        url = yarl.URL(base + path, encoded=True)
        session = more.pop('session', self.http)
        return session.request(method, url, headers=headers, **more)

    async def connect(self):
        return await asyncio.open_connection(HOST, self._ports['callers'])

    async def get_readiness(self):
        url = f'http://{HOST}:{self._ports["readiness"]}/readyz'
        async with self.http.get(url) as response:
            return response.status

    def count_arrivals(self):
        return sum(len(engine.seen) for engine in self.engines.values())

    async def stop(self):
        await self.http.close()
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)
            await self.instance.close()
        for runner in self._runners:
            await runner.cleanup()
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            with contextlib.suppress(ValueError):
                loop.remove_signal_handler(name)


async def wait_for(is_done, within_s=10.0):
    """Wait for a state; fail if it isn't reached in time."""
    async with asyncio.timeout(within_s):
        while not is_done():
            await asyncio.sleep(0.01)


@pytest_asyncio.fixture(name='world')
async def make_world(tmp_path):
    made = World(tmp_path)
    try:
        yield made
    finally:
        await made.stop()


@pytest_asyncio.fixture(name='serve')
async def start_server(world):
    """Start an instance; return a function that adds a scripted server."""
    await world.start(())
    directory = world.instance.environment.directory
    servers = []

    async def add(name, answer, reads_bodies=True, **entry):
        server = scripted.ScriptedServer(
            answer, name, reads_bodies=reads_bodies
        )
        await server.__aenter__()
        servers.append(server)
        world.list_engine(server, **entry)
        await wait_for(
            lambda: name in {s.name for s in directory.find('plain')}
        )
        return server

    yield add
    for server in servers:
        await server.__aexit__()
