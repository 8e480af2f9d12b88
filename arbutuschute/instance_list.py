"""Polls the platform's instance list and shares changes in the zone."""

from arbutuschute.machines import instances
from arbutuschute import messages

BYTES_PER_ENTRY = 200
MAX_READ_BYTES_PER_S = 8_000
JITTER_FACTORS = (0.75, 1.25)


class InstanceListPoller:
    """Reads the list, sends changes to zone peers and applies theirs."""

    __slots__ = ('_applied_from', '_environment', '_next_read', '_spawn')

    def __init__(self, environment, spawn):
        self._environment = environment
        self._spawn = spawn
        self._next_read = None
        # When the read began that was applied last.
        self._applied_from = float('-inf')

    def schedule(self):
        """Schedule the next read, after a time that grows with the list.

        Zone peers read it at other times and send the changes they find.
        """
        environment = self._environment
        size = BYTES_PER_ENTRY * len(environment.fleet.instances)
        period_s = max(
            environment.settings.control.instances_s,
            size / MAX_READ_BYTES_PER_S,
        )
        delay_s = period_s * environment.random.uniform(*JITTER_FACTORS)
        self._next_read = environment.timer.call_after(
            delay_s, self._read_and_reschedule
        )

    def stop(self):
        """Schedule no more reads."""
        if self._next_read is not None:
            self._next_read.dispose()

    def _read_and_reschedule(self):
        self._spawn(self.read())
        self.schedule()

    async def read(self):
        """Read the platform's instance list and apply it if that succeeds."""
        environment = self._environment
        began = environment.timer.now()
        answer = await instances.fetch_instances(
            environment.http,
            environment.settings.platform.instances,
            environment.name,
        )
        listed = answer.value_or(None)
        if listed is None:
            environment.metrics.count('instances.failed')
            return
        if began < self._applied_from:
            return  # A read that began later was faster.
        self._applied_from = began
        known = environment.fleet.instances
        self._send_changes(known, {entry.name: entry for entry in listed})
        self._apply(listed)

    def _send_changes(self, known, listed):
        """Send zone peers the difference from the list known so far."""
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
        """Apply the changes that a zone peer found."""
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
