"""The backend servers that this instance may send work to."""

import asyncio
import collections
import math

import aiohttp
import msgspec

from arbutuschute import messages

LOAD_TIMEOUT_S = 1.0
REFUSED_PAUSE_S = 1.0
UNREACHABLE_PAUSE_S = 2.0
OWN_MEMORY_S = 3.0
SMOOTHING_S = 10.0


class Load(msgspec.Struct):
    """A lagged load report, and what others have in flight, smoothed.

    Reports come late and everybody gets the same ones, so that following
    each of them sends everybody to the same server. Only what lasts for
    several reports counts.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    at: float = float('-inf')
    others: float = 0.0

    def follow(self, report, at, own):
        """Return the load after a newer report; ``own`` is our part of it."""
        others = max(0, report.running + report.waiting - own)
        if self.at > float('-inf'):
            kept = math.exp((self.at - at) / SMOOTHING_S)
            others = kept * self.others + (1 - kept) * others
        slots = max(report.slots, 1)
        return Load(report.running, report.waiting, slots, at, others)


class BackendServer:
    """An engine or plain service, with what this instance knows of it."""

    __slots__ = (
        '_own',
        'in_flight',
        'instance',
        'leaving',
        'load',
        'paused_until',
    )

    def __init__(self, instance):
        self.instance = instance
        self.load = Load()
        self.in_flight = 0
        self._own = collections.deque()
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

    def begin(self, now):
        """Count one more request in flight."""
        self.in_flight += 1
        self._note_own(now)

    def finish(self, now):
        """Count one request less."""
        self.in_flight -= 1
        self._note_own(now)

    def _note_own(self, now):
        self._own.append((now, self.in_flight))
        while self._own[0][0] < now - OWN_MEMORY_S:
            self._own.popleft()

    def _find_own(self, at):
        """Return what we had in flight at a past time."""
        own = self.in_flight if not self._own else 0
        for time, in_flight in reversed(self._own):
            if time <= at:
                return in_flight
            own = in_flight
        return own

    def accept_report(self, report, now):
        """Take over a load report if it is newer than the one known."""
        at = now - report.age_s
        if at <= self.load.at:
            return
        self.load = self.load.follow(report, at, self._find_own(at))

    def is_open(self, now):
        """Tell whether this server may get new work."""
        return not self.leaving and self.paused_until <= now

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

    def replace_instances(self, instances):
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

    def find_version(self, model, version):
        """Return the servers listed with a version, open or not."""
        return self._by_offer.get(f'{model}:{version}', ())

    def find_service(self, name):
        """Return the servers of a plain service, open or not."""
        return self._by_offer.get(f'/{name}', ())

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
        if server is not None:
            server.accept_report(report, now)

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
