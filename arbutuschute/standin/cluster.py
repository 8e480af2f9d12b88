"""Stand-ins in one process, free ports and settings of routers."""

import random
import socket

from aiohttp import web
import msgspec
import zmq

from arbutuschute import errors
from arbutuschute import settings
from arbutuschute.standin import engine
from arbutuschute.standin import platform as platform_module
from arbutuschute.standin import service as service_module

HOST = '127.0.0.1'
DISCARD_PORT = 9
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 100
BLOCKS = 200


class Cluster:
    """Platform, engines and services that run in this process."""

    __slots__ = ('_runners', 'listed', 'platform', 'platform_address')

    def __init__(self):
        self._runners = []
        self.platform = platform_module.Platform()
        self.platform_address = ''
        self.listed = {}

    async def start_platform(self):
        """Start the platform."""
        self.platform_address = await self.serve(self.platform.make_app())

    async def start_engine(self, name, zone, region, versions, **options):
        """Start an engine and list it; return the stand-in."""
        stand_in = engine.Engine(name, versions, **options)
        address = await self.serve(stand_in.make_app())
        self.list_instance(
            name=name,
            kind='engine',
            zone=zone,
            region=region,
            address=address,
            versions=list(versions),
            checks_fencing=stand_in.checks_fencing,
        )
        return stand_in

    async def start_service(self, name, zone, region):
        """Start a plain service and list it; return the stand-in."""
        stand_in = service_module.Service(name)
        address = await self.serve(stand_in.make_app())
        self.list_instance(
            name=f'{name}-1',
            kind='service',
            zone=zone,
            region=region,
            address=address,
            service=name,
        )
        return stand_in

    async def serve(self, app):
        """Serve an application on a free port; return its address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self._runners.append(runner)
        port = runner.addresses[0][1]
        return f'http://{HOST}:{port}'

    def list_instance(self, **instance):
        """Add an instance to the platform's list, or replace it."""
        self.listed[instance['name']] = instance
        self.platform.instances = self.listed

    def list_router(self, router):
        """Add a router to the platform's list, described by its settings."""
        self.list_instance(**describe_router(router))

    async def close(self):
        """Stop all stand-ins."""
        for runner in reversed(self._runners):
            await runner.cleanup()


def describe_router(router):
    """Return a router's entry in the platform's list."""
    return {
        'name': router.name,
        'kind': 'router',
        'zone': router.zone,
        'region': router.region,
        'address': f'http://{router.listen.host}:{router.listen.port}',
        'peer_address': f'{router.peers.host}:{router.peers.port}',
        'operators_address': (
            f'http://{router.operators.host}:{router.operators.port}'
        ),
    }


def _claim_blocks():
    """Yield the first ports of blocks that no other process has claimed.

    A UDP socket on the first port claims a block until this process ends.
    Otherwise two processes could find the same port free and both
    allocate it before a server listens on it.
    """
    start = random.randrange(BLOCKS)
    for number in range(BLOCKS):
        block = (start + number) % BLOCKS
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((HOST, first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        yield first


def _iterate_ports():
    for first in _claim_blocks():
        yield from range(first, first + PORTS_PER_BLOCK)
    raise errors.NoFreePort(FIRST_PORT, BLOCKS * PORTS_PER_BLOCK)


_claims = []
_port_numbers = _iterate_ports()


def find_free_ports(count):
    """Return ``count`` free TCP ports, each allocated only once.

    They lie below the range from which the system picks client ports.
    Raise ``NoFreePort`` if all have been allocated.
    """
    found = []
    while len(found) < count:
        port = next(_port_numbers)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


def make_keys():
    """Return a CURVE key pair (public, secret) in Z85, as in settings."""
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


def make_settings(name, zone, region, platform_address, keys, **control):
    """Return the raw settings of a router on free ports of this machine."""
    listen, operators, peers = find_free_ports(3)
    return {
        'name': name,
        'zone': zone,
        'region': region,
        'listen': {'host': HOST, 'port': listen},
        'operators': {'host': HOST, 'port': operators},
        'peers': {
            'host': HOST,
            'port': peers,
            'public_key': keys[0],
            'secret_key': keys[1],
        },
        'platform': {
            'log': platform_address,
            'instances': platform_address,
            'rating': platform_address,
            'region': 'qc-sud',
        },
        'session_secret': 'a-secret-for-stand-ins',
        'statsd': {'host': HOST, 'port': DISCARD_PORT},
        'logging': {'format': 'json', 'level': 'WARNING'},
        'control': control,
    }


def read_settings(raw):
    """Convert raw settings to ``Settings``."""
    return msgspec.convert(raw, settings.Settings)
