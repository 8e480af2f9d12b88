"""Backend servers as they describe themselves, and what we saw of them."""

import msgspec

from arbutuschute.machines import fleet
from arbutuschute.policy import prefill

# A failure's weight in a server's failure rate; about ten outcomes count.
OUTCOME_SMOOTHING = 0.1
# A server that fails again at once stays out longer, up to the last pause.
PAUSES_S = (0.3, 1.0, 2.0, 4.0)


class Entry(msgspec.Struct, frozen=True):
    """What a backend server says of itself; ``state`` is live or leaving.

    ``born`` is the Unix millisecond of its start, so that a start under
    the same name shows; ``models`` are (name, weight version) pairs.
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


class Server(fleet.BackendServer):
    """A backend server with the outcomes that this instance saw."""

    __slots__ = (
        'failure_rate',
        'failures_in_row',
        'last_heard_at',
        'queue_delays',
        'slowness',
    )

    def __init__(self, entry):
        super().__init__(entry)
        self.load.slots = entry.slots
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.last_heard_at = float('-inf')
        self.slowness = 1.0
        self.queue_delays = prefill.QueueDelays()

    @property
    def entry(self):
        """The server's newest entry."""
        return self.instance

    def record_success(self):
        """Take in that a request ended well."""
        self.failures_in_row = 0
        self.failure_rate -= OUTCOME_SMOOTHING * self.failure_rate

    def record_failure(self, now, pauses=True):
        """Take in that a request failed; pause the server if told to."""
        self.failure_rate += OUTCOME_SMOOTHING * (1 - self.failure_rate)
        self.failures_in_row += 1
        if pauses:
            step = min(self.failures_in_row, len(PAUSES_S)) - 1
            self.pause(now + PAUSES_S[step])

    def record_load(self, report, slowness, now):
        """Take over a load report that came with an answer."""
        self.last_heard_at = now
        self.slowness = slowness
        self.accept_report(report, now)


class Directory:
    """All backend servers by name and by service.

    After an outage of the store, entries that lapsed meanwhile come back;
    removals are held for a while, so that servers that live stay in use.
    """

    __slots__ = ('_held', '_hold_until', '_now', 'by_service', 'servers')

    def __init__(self, now):
        self._now = now
        self._held = {}
        self._hold_until = float('-inf')
        self.servers = {}
        self.by_service = {}

    def defer_removals(self, seconds):
        """Act on removals only after a while."""
        self._hold_until = max(self._hold_until, self._now() + seconds)

    def apply(self, entry):
        """Take over a server's entry."""
        self._held.pop(entry.name, None)
        known = self.servers.get(entry.name)
        if known and is_same_process(known.entry, entry):
            known.update(entry)
            return
        self.servers[entry.name] = Server(entry)
        self._index()

    def remove(self, name):
        """Take a server out, or hold its removal after an outage."""
        if name not in self.servers:
            return
        if self._now() < self._hold_until:
            self._held.setdefault(name, self._hold_until)
            return
        self._drop(name)

    def apply_deferred_removals(self):
        """Carry out the removals whose time has come."""
        now = self._now()
        for name in [n for n, until in self._held.items() if until <= now]:
            del self._held[name]
            self._drop(name)

    def keep_only(self, names):
        """Remove all servers but the named ones."""
        for name in self.servers.keys() - names:
            self.remove(name)

    def _drop(self, name):
        server = self.servers.pop(name, None)
        if server is not None:
            server.leaving = True
            self._index()

    def _index(self):
        self.by_service = {}
        for server in self.servers.values():
            self.by_service.setdefault(server.entry.service, []).append(server)

    def find(self, service):
        """Return the servers of a service, open or not."""
        return self.by_service.get(service, ())


def is_same_process(known, entry):
    """Tell whether two entries are of one incarnation of a server."""
    return (
        known.address == entry.address
        and known.service == entry.service
        and known.version == entry.version
        and known.born == entry.born
    )
