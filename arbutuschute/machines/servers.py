"""Backend servers: their own entries, and outcomes seen by this instance."""

import msgspec

from arbutuschute.machines import fleet
from arbutuschute.policy import costs
from arbutuschute.policy import prefill

# Weight of the newest outcome in the failure rate: it averages over about
# ten outcomes.
OUTCOME_SMOOTHING = 0.1
# A server that fails several times in a row is paused longer each time, up
# to the last value.
PAUSES_S = (0.3, 1.0, 2.0, 4.0)
# Gone servers that are remembered; the oldest are dropped.
MAX_GONE = 4096
# A server's first entries. One that is first heard of by a later entry has
# been known to others.
FIRST_ENTRIES = 2
# After a start, entries that have lapsed meanwhile come back within this time.
START_S = 5.0
COLD_CHECK_PERIOD_S = 0.5


class Entry(msgspec.Struct, frozen=True):
    """A backend server's own entry; ``state`` is live or leaving.

    ``born`` is the Unix time of its start in ms, which reveals a restart
    under the same name; ``sequence`` counts its entries since then; ``models``
    are (name, weight version) pairs.
    """

    name: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_s: float = 0.0
    born: int = 0
    models: tuple[tuple[str, int], ...] = ()
    sequence: int = 0

    @property
    def age_rank(self):
        """A value that is higher in later entries of the same server."""
        return self.born, self.sequence


class Server(fleet.BackendServer):
    """A backend server and the outcomes of this instance's requests to it."""

    __slots__ = (
        '_cold_until_by_entry',
        '_cold_until_by_head',
        'backlog',
        'failure_rate',
        'failures_in_row',
        'last_heard_at',
        'listed_at',
        'queue_delays',
        'slowness',
    )

    def __init__(self, entry, now=float('-inf')):
        super().__init__(entry)
        # When this process of the server was first listed.
        self.listed_at = now
        self.load.slots = entry.slots
        self._cold_until_by_entry = float('-inf')
        self._cold_until_by_head = float('-inf')
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.last_heard_at = float('-inf')
        self.slowness = 1.0
        self.backlog = costs.Backlog()
        self.queue_delays = prefill.QueueDelays()

    @property
    def entry(self):
        """The server's newest entry."""
        return self.instance

    @property
    def incarnation(self):
        """An identifier of the server's process since its start."""
        return f'{self.name} {self.entry.born}'

    @property
    def host_port(self):
        """The (host, port) pair that the server listens at."""
        host, _, port = self.entry.address.rpartition(':')
        return host, int(port)

    def record_success(self):
        """Record that a request succeeded."""
        self.failures_in_row = 0
        self.failure_rate -= OUTCOME_SMOOTHING * self.failure_rate

    def record_failure(self, now, pauses=True):
        """Record that a request failed; if ``pauses``, pause the server."""
        self.failure_rate += OUTCOME_SMOOTHING * (1 - self.failure_rate)
        self.failures_in_row += 1
        if pauses:
            step = min(self.failures_in_row, len(PAUSES_S)) - 1
            self.pause(now + PAUSES_S[step])

    def record_cold_entry(self, now):
        """Record how much longer the newest entry says the server is cold.

        It is seconds old, so it doesn't end what a response's head said.
        """
        self._cold_until_by_entry = now + self.entry.cold_s

    def record_cold_head(self, cold_s, now):
        """Record the same of a response's head; None if it says nothing."""
        if cold_s is not None:
            self._cold_until_by_head = now + cold_s

    def is_cold(self, now):
        """Return whether the server says that it is cold, that is slow."""
        return self.get_cold_s(now) > 0.0

    def get_cold_s(self, now):
        """Return how much longer the server stays cold, 0 if it isn't."""
        until = max(self._cold_until_by_entry, self._cold_until_by_head)
        return max(0.0, until - now)

    def record_load(self, report, slowness, now):
        """Record a load report that came with a response."""
        self.last_heard_at = now
        self.slowness = slowness
        self.accept_report(report, now)


class Directory:
    """All backend servers by name and by service.

    After an outage of the store, servers that are alive renew the entries
    that lapsed meanwhile. Removals are deferred so that they stay in use.
    The store may list servers that are gone: it was restored from a copy, or
    wrote an entry long after the server had sent it.
    """

    __slots__ = ('_defer_until', '_deferred', '_gone', '_held_back', '_now',
                 '_started_at', 'by_service', 'servers')  # fmt: skip

    def __init__(self, now):
        self._now = now
        self._started_at = now()
        self._deferred = {}
        # The last entries of servers that are gone, oldest first.
        self._gone = {}
        # Entries of the store that are applied if they stay, with the time.
        self._held_back = {}
        self._defer_until = float('-inf')
        self.servers = {}
        self.by_service = {}

    def defer_removals(self, seconds):
        """Defer removals until ``seconds`` from now."""
        self._defer_until = max(self._defer_until, self._now() + seconds)

    def is_outdated(self, entry):
        """Return whether a later entry of the same server is known.

        That of a server that is gone counts as later than an equal one.
        """
        known = self.servers.get(entry.name)
        if known is not None:
            return entry.age_rank < known.entry.age_rank
        gone = self._gone.get(entry.name)
        return gone is not None and entry.age_rank <= gone.age_rank

    def is_unconfirmed(self, entry):
        """Return whether an entry may be an old one of an unknown server.

        This instance may have started after the server was gone. A newer
        entry shows that the server is alive. Without another server of its
        service, and shortly after a start or an outage, it is taken to be.
        """
        if entry.name in self.servers or entry.name in self._gone:
            return False
        if entry.sequence <= FIRST_ENTRIES:
            return False
        if self._now() < max(self._started_at + START_S, self._defer_until):
            return False
        held, _ = self._held_back.get(entry.name, (None, None))
        if held is not None and held.age_rank < entry.age_rank:
            return False
        return any(not s.leaving for s in self.find(entry.service))

    def hold_back(self, entry, seconds):
        """Apply an entry after ``seconds``, unless it is removed by then.

        A newer one cancels that. Further old ones don't delay it, as those of
        a server whose clock runs behind are old, too.
        """
        known = self.servers.get(entry.name)
        if known is not None and known.entry.born == entry.born:
            return
        _, until = self._held_back.get(entry.name, (None, float('inf')))
        until = min(until, self._now() + seconds)
        self._held_back[entry.name] = entry, until

    def keep(self, name):
        """Cancel the deferred removal of a server."""
        self._deferred.pop(name, None)

    def apply(self, entry):
        """Add or update a server; cancel its deferred removal."""
        self._deferred.pop(entry.name, None)
        self._held_back.pop(entry.name, None)
        self._gone.pop(entry.name, None)
        known = self.servers.get(entry.name)
        if known and is_same_process(known.entry, entry):
            known.update(entry)
        else:
            known = self.servers[entry.name] = Server(entry, self._now())
            self._index()
        known.record_cold_entry(self._now())

    def remove(self, name):
        """Remove a server, or defer its removal after an outage.

        Return whether it is removed now.
        """
        self._held_back.pop(name, None)
        if name not in self.servers:
            return True
        if self._now() < self._defer_until:
            self._deferred.setdefault(name, self._defer_until)
            return False
        self._drop(name)
        return True

    def apply_deferred(self):
        """Apply what was deferred or held back and is due."""
        now = self._now()
        for entry, until in list(self._held_back.values()):
            if until <= now:
                self.apply(entry)
        for name in [n for n, until in self._deferred.items() if until <= now]:
            del self._deferred[name]
            self._drop(name)

    def keep_only(self, names):
        """Remove all servers but the named ones."""
        for name in (self.servers.keys() | self._held_back.keys()) - names:
            self.remove(name)

    def _drop(self, name):
        server = self.servers.pop(name, None)
        if server is None:
            return
        server.leaving = True
        self._gone.pop(name, None)
        self._gone[name] = server.entry
        if len(self._gone) > MAX_GONE:
            del self._gone[next(iter(self._gone))]
        self._index()

    def _index(self):
        self.by_service = {}
        for server in self.servers.values():
            self.by_service.setdefault(server.entry.service, []).append(server)

    def find(self, service):
        """Return the servers of a service, open or not."""
        return self.by_service.get(service, ())

    def find_versions(self, service, seconds=0.0):
        """Return the versions whose servers were listed for ``seconds``."""
        since = self._now() - seconds
        return {
            server.entry.version
            for server in self.find(service)
            if server.listed_at <= since
        }


def is_same_process(known, entry):
    """Return whether two entries are of one incarnation of a server."""
    return (
        known.address == entry.address
        and known.service == entry.service
        and known.version == entry.version
        and known.born == entry.born
    )


class ColdServers:
    """Log lines, counter and number of the cold servers of a directory.

    A server that is gone, or was replaced by another process, is noted as
    such by the directory's log lines alone.
    """

    __slots__ = ('_directory', '_known', '_log', '_metrics')

    def __init__(self, directory, timer, log, metrics):
        self._directory = directory
        self._log = log
        self._metrics = metrics
        # The servers that are cold, as of the last check.
        self._known = set()
        timer.every(COLD_CHECK_PERIOD_S).subscribe(self.check)

    def check(self, now):
        """Log what has changed since the last check."""
        listed = set(self._directory.servers.values())
        found = {server for server in listed if server.is_cold(now)}
        for server in found - self._known:
            self._metrics.count('servers.cold')
            self._log.info(
                'server cold',
                server=server.name,
                service=server.entry.service,
                zone=server.entry.zone,
                left_ms=int(1000 * server.get_cold_s(now)),
            )
        for server in (self._known & listed) - found:
            self._log.info(
                'server warm',
                server=server.name,
                service=server.entry.service,
                zone=server.entry.zone,
            )
        self._known = found
        self._metrics.totals['servers.cold.now'] = len(found)
