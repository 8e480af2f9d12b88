"""Load polling: in each zone one router polls an engine for its peers."""

from arbutuschute.machines import fleet
from arbutuschute.zones import rendezvous

PERIOD_S = 0.5


class LoadPoller:
    """Polls the engines that are assigned to this instance."""

    __slots__ = ('_environment', '_polling', '_spawn')

    def __init__(self, environment, spawn):
        self._environment = environment
        self._spawn = spawn
        self._polling = set()

    def make_reports(self, now):
        """Return the load reports of the engines that this instance polls."""
        return self._environment.fleet.make_reports(self._select_own(now), now)

    def _select_own(self, now):
        """Return the names of the engines that this instance polls."""
        environment = self._environment
        names = [
            member.name
            for member in environment.membership.find_live(now)
            if member.zone == environment.settings.zone
        ]
        names.append(environment.name)
        return [
            server.name
            for server in environment.fleet.servers.values()
            if server.instance.kind == 'engine'
            and server.instance.region == environment.settings.region
            and rendezvous.rank(server.name, names)[0] == environment.name
        ]

    def tick(self, now):
        """Poll each engine whose last poll has ended."""
        for name in self._select_own(now):
            if name not in self._polling:
                self._spawn(self._poll(name))

    async def _poll(self, name):
        environment = self._environment
        self._polling.add(name)
        try:
            server = environment.fleet.servers.get(name)
            # Reports bear no id: on a kept connection, a late copy of an
            # answer could be taken for one.
            report = server and await fleet.fetch_load(
                environment.http_once, server
            )
            if report is not None:
                environment.fleet.accept_report(
                    report, environment.timer.now()
                )
        finally:
            self._polling.discard(name)
