"""The backend servers that this instance may send work to."""

import asyncio

import aiohttp
import msgspec

from arbutuschute import messages

LOAD_TIMEOUT_S = 1.0
REFUSED_PAUSE_S = 1.0
UNREACHABLE_PAUSE_S = 2.0


class Load(msgspec.Struct):
    """A lagged load report; ``own`` is what we had in flight at its time."""

    running: int = 0
    waiting: int = 0
    slots: int = 1
    at: float = float('-inf')
    own: int = 0


class BackendServer:
    """An engine or plain service, with what this instance knows of it."""

    __slots__ = ('in_flight', 'instance', 'leaving', 'load', 'paused_until')

    def __init__(self, instance):
        self.instance = instance
        self.load = Load()
        self.in_flight = 0
        self.leaving = instance.state == 'leaving'
        self.paused_until = float('-inf')

    @property
    def name(self):
        """The server's name in the platform's list."""
        return self.instance.name

    def update(self, instance):
        """Take over a newer entry of the list; leaving is never undone."""
        self.instance = instance
        self.leaving = self.leaving or instance.state == 'leaving'

    def pause(self, until):
        """Send no new work before ``until``."""
        self.paused_until = max(self.paused_until, until)


class Fleet:
    """All backend servers by name."""

    __slots__ = ('_by_offer', 'instances', 'servers')

    def __init__(self):
        self.instances = {}
        self.servers = {}
        self._by_offer = {}

    def list_instances(self, instances):
        """Take over the platform's list, including who is no longer on it."""
        self.instances = {instance.name: instance for instance in instances}
        servers = {}
        for instance in instances:
            if instance.kind == 'router':
                continue
            known = self.servers.get(instance.name)
            if known and known.instance.address == instance.address:
                known.update(instance)
            else:
                known = BackendServer(instance)
            servers[instance.name] = known
        self.servers = servers
        self._index_offers()

    def _index_offers(self):
        self._by_offer = {}
        for server in self.servers.values():
            instance = server.instance
            for offer in (*instance.versions, f'/{instance.service}'):
                self._by_offer.setdefault(offer, []).append(server)

    def find_version(self, model, version, now):
        """Return the servers that may get new work for a version."""
        return self._find_open(f'{model}:{version}', now)

    def find_service(self, name, now):
        """Return the servers that may get new work for a plain service."""
        return self._find_open(f'/{name}', now)

    def _find_open(self, offer, now):
        return [
            server
            for server in self._by_offer.get(offer, ())
            if not server.leaving and server.paused_until <= now
        ]

    def find_routers(self):
        """Return the listed router instances."""
        return [
            instance
            for instance in self.instances.values()
            if instance.kind == 'router'
        ]

    def accept_report(self, report, now):
        """Take over a load report if it is newer than the one known."""
        server = self.servers.get(report.server)
        if server is None or now - report.age_s <= server.load.at:
            return
        server.load = Load(
            report.running,
            report.waiting,
            max(report.slots, 1),
            now - report.age_s,
            server.in_flight,
        )

    def make_reports(self, names, now):
        """Return the reports of the named servers, for peers."""
        return tuple(
            messages.LoadReport(
                name, load.running, load.waiting, load.slots, now - load.at
            )
            for name in names
            if name in self.servers
            and (load := self.servers[name].load).at > float('-inf')
        )


class _Reported(msgspec.Struct, frozen=True):
    running: int
    waiting: int
    slots: int


async def fetch_load(session, server):
    """Return a fresh ``LoadReport`` of a server, or ``None``."""
    try:
        async with session.get(
            f'{server.instance.address}/load',
            timeout=aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S),
        ) as response:
            body = await response.read()
            found = msgspec.json.decode(body, type=_Reported)
    except (
        aiohttp.ClientError,
        asyncio.TimeoutError,
        msgspec.DecodeError,
        OSError,
    ):
        return None
    return messages.LoadReport(
        server.name, found.running, found.waiting, found.slots, 0.0
    )
