"""The backend servers that this instance may send work to."""

import asyncio
import collections
import math
import urllib.parse

import aiohttp
import msgspec

from arbutuschute import bodies
from arbutuschute import decoding
from arbutuschute import errors
from arbutuschute import messages

LOAD_TIMEOUT_S = 1.0
MAX_LOAD_BYTES = 64 * 1024
REFUSED_PAUSE_S = 1.0
UNREACHABLE_PAUSE_S = 2.0
IN_FLIGHT_HISTORY_S = 3.0
SMOOTHING_S = 10.0


class Load(msgspec.Struct):
    """The newest load report, and a moving average of others' requests.

    Reports lag and all instances get the same ones: if each instance acted
    on every report, all would choose the same server at once. ``others`` is
    therefore averaged over several reports. ``at`` is the time of the
    report, in the timer's seconds.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    at: float = float('-inf')
    others: float = 0.0

    def merge_report(self, report, at, own):
        """Return the load after a newer report.

        ``own`` is how many of the reported requests this instance had sent.
        """
        others = max(0, report.running + report.waiting - own)
        if self.at > float('-inf'):
            decay = math.exp((self.at - at) / SMOOTHING_S)
            others = decay * self.others + (1 - decay) * others
        slots = max(report.slots, 1)
        return Load(report.running, report.waiting, slots, at, others)


class BackendServer:
    """An engine or plain service, and its load as this instance knows it."""

    __slots__ = (
        '_in_flight_history',
        'held_until',
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
        self._in_flight_history = collections.deque()
        self.leaving = instance.state == 'leaving'
        self.paused_until = float('-inf')
        # The server wants no requests before this time.
        self.held_until = float('-inf')

    @property
    def name(self):
        """The server's name in the platform's list."""
        return self.instance.name

    @property
    def incarnation(self):
        """An identifier of the server's process since its start."""
        return f'{self.name} {self.instance.address}'

    @property
    def host_port(self):
        """The (host, port) pair that the server listens at."""
        url = urllib.parse.urlsplit(self.instance.address)
        return url.hostname, url.port

    def update(self, instance):
        """Replace the entry by a newer one; ``leaving`` is never reset."""
        self.instance = instance
        self.leaving = self.leaving or instance.state == 'leaving'

    def begin(self, now):
        """Count a request that starts."""
        self.in_flight += 1
        self._record_in_flight(now)

    def finish(self, now):
        """Count a request that has ended."""
        self.in_flight -= 1
        self._record_in_flight(now)

    def _record_in_flight(self, now):
        self._in_flight_history.append((now, self.in_flight))
        while self._in_flight_history[0][0] < now - IN_FLIGHT_HISTORY_S:
            self._in_flight_history.popleft()

    def _get_in_flight_at(self, at):
        """Return this instance's requests in flight at a past time."""
        own = self.in_flight if not self._in_flight_history else 0
        for time, in_flight in reversed(self._in_flight_history):
            if time <= at:
                return in_flight
            own = in_flight
        return own

    def accept_report(self, report, now):
        """Apply a load report if it is newer than the last one."""
        at = now - report.age_s
        if at <= self.load.at:
            return
        self.load = self.load.merge_report(
            report, at, self._get_in_flight_at(at)
        )

    def is_available(self, now):
        """Return whether this server accepts new work, as far as it said.

        One that is paused, because it failed, may still be tried.
        """
        return not self.leaving and self.held_until <= now

    def is_open(self, now):
        """Return whether this server may get new work."""
        return self.is_available(now) and self.paused_until <= now

    def hold(self, until):
        """Send no new work before ``until``, as the server asked for."""
        self.held_until = max(self.held_until, until)

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
        """Replace all instances by those of the platform's list."""
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
        """Apply a load report if it is newer than its server's last one."""
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


class _LoadBody(msgspec.Struct, frozen=True):
    running: int
    waiting: int
    slots: int


async def fetch_load(session, server):
    """Return a fresh ``LoadReport`` of a server, or ``None``."""
    try:
        async with session.get(
            f'{server.instance.address}/load',
            timeout=aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            body = await bodies.read_whole(
                response.content.readany, server.name, MAX_LOAD_BYTES
            )
            found = decoding.decode_json(body, _LoadBody)
    except (
        aiohttp.ClientError,
        asyncio.TimeoutError,
        msgspec.DecodeError,
        OSError,
        errors.AnswerTooLarge,
    ):
        return None
    return messages.LoadReport(
        server.name, found.running, found.waiting, found.slots, 0.0
    )
