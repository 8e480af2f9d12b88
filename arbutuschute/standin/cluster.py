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
QUIET_STATSD_PORT = 9
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
        made = engine.Engine(name, versions, **options)
        address = await self.serve(made.make_app())
        self.add(
            name=name,
            kind='engine',
            zone=zone,
            region=region,
            address=address,
            versions=list(versions),
            checks_fencing=made.checks_fencing,
        )
        return made

    async def start_service(self, name, zone, region):
        """Start a plain service and list it; return the stand-in."""
        made = service_module.Service(name)
        address = await self.serve(made.make_app())
        self.add(
            name=f'{name}-1',
            kind='service',
            zone=zone,
            region=region,
            address=address,
            service=name,
        )
        return made

    async def serve(self, app):
        """Serve an application on a free port; return its address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self._runners.append(runner)
        port = runner.addresses[0][1]
        return f'http://{HOST}:{port}'

    def add(self, **instance):
        """Put an instance on the platform's list."""
        self.listed[instance['name']] = instance
        self.platform.instances = self.listed

    def add_router(self, chosen):
        """List a router as its settings say."""
        self.add(**describe_router(chosen))

    async def close(self):
        """Stop all stand-ins."""
        for runner in reversed(self._runners):
            await runner.cleanup()


def describe_router(chosen):
    """Return a router's entry in the platform's list."""
    return {
        'name': chosen.name,
        'kind': 'router',
        'zone': chosen.zone,
        'region': chosen.region,
        'address': f'http://{chosen.listen.host}:{chosen.listen.port}',
        'peer_address': f'{chosen.peers.host}:{chosen.peers.port}',
        'operators_address': (
            f'http://{chosen.operators.host}:{chosen.operators.port}'
        ),
    }


def _claim_blocks():
    """Yield first ports of blocks that no other process has claimed.

    A block is claimed by a UDP socket on its first port, held until this
    process ends: a port that was free when it was looked at would
    otherwise be given out by another process as well, before its server
    is up.
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


def _count_ports():
    for first in _claim_blocks():
        yield from range(first, first + PORTS_PER_BLOCK)
    raise errors.NoFreePort(FIRST_PORT, BLOCKS * PORTS_PER_BLOCK)


_claims = []
_port_numbers = _count_ports()


def find_free_ports(count):
    """Return ``count`` free TCP ports, each given out once.

    They lie below the range from which the system picks client ports.
    Raise ``NoFreePort`` if all have been given out.
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
    """Return a CURVE key pair (public, secret) as settings hold it."""
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
        'statsd': {'host': HOST, 'port': QUIET_STATSD_PORT},
        'logging': {'format': 'json', 'level': 'WARNING'},
        'control': control,
    }


def read_settings(raw):
    """Return raw settings as ``Settings``."""
    return msgspec.convert(raw, settings.Settings)
