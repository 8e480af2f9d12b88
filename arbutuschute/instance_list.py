"""The platform's instance list: read in turns with the zone mates."""

from arbutuschute.machines import instances
from arbutuschute import messages

ENTRY_BYTES = 200
BYTES_PER_S = 8_000
JITTER_FACTORS = (0.75, 1.25)


class InstanceListPoller:
    """Reads the list, tells zone mates of changes and hears of theirs."""

    __slots__ = ('_environment', '_spawn')

    def __init__(self, environment, spawn):
        self._environment = environment
        self._spawn = spawn

    def schedule(self):
        """Read the list again later: the longer it is, the later.

        Zone mates read it at other moments and tell what has changed.
        """
        environment = self._environment
        size = ENTRY_BYTES * len(environment.fleet.instances)
        period_s = max(
            environment.settings.control.instances_s, size / BYTES_PER_S
        )
        delay_s = period_s * environment.random.uniform(*JITTER_FACTORS)
        environment.timer.call_after(delay_s, self._read_and_reschedule)

    def _read_and_reschedule(self):
        self._spawn(self.read())
        self.schedule()

    async def read(self):
        """Take over the platform's instance list, if it answers."""
        environment = self._environment
        answer = await instances.fetch_instances(
            environment.http,
            environment.settings.platform.instances,
            environment.name,
        )
        listed = answer.value_or(None)
        if listed is None:
            environment.metrics.count('instances.failed')
            return
        known = environment.fleet.instances
        self._send_changes(known, {entry.name: entry for entry in listed})
        self._apply(listed)

    def _send_changes(self, known, listed):
        """Tell zone mates what differs from the list as we knew it."""
        environment = self._environment
        changed = [e for e in listed.values() if known.get(e.name) != e]
        gone = known.keys() - listed.keys()
        if not known or not (changed or gone):
            return
        sender, incarnation = environment.identity
        message = messages.InstancesChanged(
            sender=sender,
            incarnation=incarnation,
            changed=tuple(map(instances.encode, changed)),
            gone=tuple(sorted(gone)),
        )
        for member in environment.membership.find_neighbours():
            if member.zone == environment.settings.zone:
                environment.peers.send(member.name, message)

    def apply_changes(self, message):
        """Take over what a zone mate's reading brought."""
        merged = dict(self._environment.fleet.instances)
        for raw in message.changed:
            entry = instances.decode(raw)
            if entry is not None:
                merged[entry.name] = entry
        for name in message.gone:
            merged.pop(name, None)
        self._apply(list(merged.values()))

    def _apply(self, listed):
        environment = self._environment
        environment.fleet.replace_instances(listed)
        routers = environment.fleet.find_routers()
        others = environment.membership.update_listed(routers)
        environment.membership.remove_unlisted(others, environment.timer.now())
        neighbours = environment.membership.find_neighbours()
        environment.peers.connect(
            {name: entry.peer_address for name, entry in others.items()},
            {member.name for member in neighbours},
        )
