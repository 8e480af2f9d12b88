"""Control of one router: what runs on ticks, outside of requests."""

import asyncio

from arbutuschute import agreement
from arbutuschute.contracts import fold
from arbutuschute.ledgers import bills
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from arbutuschute import messages
from arbutuschute import rollouts
from arbutuschute import streams
from arbutuschute.zones import rendezvous

LOAD_PERIOD_S = 0.5
PUMP_PERIOD_S = 0.1
PACE_PERIOD_S = 0.25
MANY_NEIGHBOURS = 32
LIST_ENTRY_BYTES = 200
LIST_BYTES_PER_S = 8_000
PIN_MESSAGES = (messages.AskPin, messages.TellPin, messages.CopyPin)
SNAPSHOT_SHARE_OF_RETENTION = 0.25


class Control:
    """The control plane of one router; subscribes to ticks and messages."""

    __slots__ = (
        '_beats',
        '_confirmed',
        '_environment',
        '_history',
        '_ordering',
        '_polling',
        '_rollouts',
        '_snapshot_at',
        '_tasks',
    )

    def __init__(self, environment, history):
        self._environment = environment
        self._history = history
        self._confirmed = None
        self._polling = set()
        self._ordering = False
        self._beats = 0
        self._rollouts = rollouts.RolloutControl(environment)
        self._snapshot_at = 0.0
        self._tasks = set()

    def subscribe(self):
        """Subscribe to ticks and to what peers send."""
        environment = self._environment
        control = environment.settings.control
        timer = environment.timer
        for period_s, act in (
            (control.heartbeat_s, self._beat),
            (LOAD_PERIOD_S, self._poll_loads),
            (control.heartbeat_s, self._flush_metrics),
            (PUMP_PERIOD_S, self._pump),
            (PACE_PERIOD_S, environment.paces.update),
        ):
            timer.every(period_s).subscribe(self._protect(act))
        environment.peers.received.subscribe(self._protect(self.accept))
        self._schedule_list()

    def _protect(self, act):
        """Return ``act`` so that a fault is logged and does not end it."""

        def run(value):
            try:
                act(value)
            except Exception as error:
                self._environment.metrics.count('control.faults')
                self._environment.log.opt(exception=error).error(
                    'control fault'
                )

        return run

    def _pump(self, now):
        self._environment.keeping.check()
        self._environment.admission.pump_all()

    def _flush_metrics(self, now):
        self._environment.metrics.flush()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _schedule_list(self):
        """Read the list again later: the longer it is, the later.

        Zone mates read it at other moments and tell what has changed.
        """
        environment = self._environment
        size = LIST_ENTRY_BYTES * len(environment.fleet.instances)
        period_s = max(
            environment.settings.control.instances_s, size / LIST_BYTES_PER_S
        )
        delay_s = period_s * environment.random.uniform(0.75, 1.25)
        environment.timer.call_after(delay_s, self._list_again)

    def _list_again(self):
        self._spawn(self.list_instances())
        self._schedule_list()

    async def list_instances(self):
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
        self._tell_changes(known, {entry.name: entry for entry in listed})
        self._take_over_list(listed)

    def _tell_changes(self, known, listed):
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

    def _accept_changes(self, message):
        merged = dict(self._environment.fleet.instances)
        for raw in message.changed:
            entry = instances.decode(raw)
            if entry is not None:
                merged[entry.name] = entry
        for name in message.gone:
            merged.pop(name, None)
        self._take_over_list(list(merged.values()))

    def _take_over_list(self, listed):
        environment = self._environment
        environment.fleet.list_instances(listed)
        routers = environment.fleet.find_routers()
        others = environment.membership.list_routers(routers)
        environment.membership.forget_gone(others, environment.timer.now())
        neighbours = environment.membership.find_neighbours()
        environment.peers.connect(
            {name: entry.peer_address for name, entry in others.items()},
            {member.name for member in neighbours},
        )

    def accept(self, message):
        """Take in one message of a peer."""
        environment = self._environment
        if isinstance(message, messages.Heartbeat):
            self._accept_heartbeat(message)
        elif isinstance(message, messages.KeepBills):
            self._keep_bills(message)
        elif isinstance(message, messages.BillsKept):
            environment.keeping.accept_ack(
                message.sender, message.incarnation, message.seq
            )
        elif isinstance(message, messages.TellEvidence):
            environment.guard.hear(
                (message.sender, message.incarnation), message.evidence
            )
        elif isinstance(message, messages.InstancesChanged):
            self._accept_changes(message)
        elif isinstance(message, messages.TellHalt):
            environment.halts.add((message.rollout, message.revision))
        elif isinstance(message, PIN_MESSAGES):
            environment.pins.accept(message)
        elif isinstance(message, messages.FetchConfiguration):
            environment.peers.send(
                message.sender,
                self._history.make_records(
                    environment.identity, message.offset
                ),
            )
        elif isinstance(message, messages.ConfigurationRecords):
            position = self._history.accept_records(message)
            tail = environment.config_tail
            tail.position = max(tail.position, position)

    def _accept_heartbeat(self, heartbeat):
        environment = self._environment
        now = environment.timer.now()
        environment.membership.hear(heartbeat, now)
        environment.keeping.note_incarnation(
            heartbeat.sender, heartbeat.incarnation
        )
        for report in heartbeat.reports:
            environment.fleet.accept_report(report, now)
        if (
            heartbeat.offset > environment.configuration.offset
            and environment.config_tail.failing_since is not None
        ):
            self._fetch_configuration(heartbeat.sender)

    def _fetch_configuration(self, peer):
        sender, incarnation = self._environment.identity
        self._environment.peers.send(
            peer,
            messages.FetchConfiguration(
                sender=sender,
                incarnation=incarnation,
                offset=self._environment.configuration.offset,
            ),
        )

    def fetch_from_anyone(self):
        """Ask every neighbour for the configuration."""
        for member in self._environment.membership.find_neighbours():
            self._fetch_configuration(member.name)

    def _keep_bills(self, message):
        environment = self._environment
        owner = message.sender, message.incarnation
        environment.kept.keep(owner, message.entries, message.settled)
        sender, incarnation = environment.identity
        environment.peers.send(
            message.sender,
            messages.BillsKept(
                sender=sender, incarnation=incarnation, seq=message.seq
            ),
        )

    def _beat(self, now):
        environment = self._environment
        confirmed = agreement.renew_confirmation(environment, now)
        age_s = None
        if confirmed:
            lease_s = environment.settings.control.lease_s
            age_s = lease_s - (environment.confirmed_until - now)
        polled = environment.fleet.make_reports(self._find_own_polls(now), now)
        self._beats += 1
        for member in self._choose_listeners():
            mate = member.zone == environment.settings.zone
            environment.peers.send(
                member.name,
                messages.Heartbeat(
                    sender=environment.name,
                    incarnation=environment.incarnation,
                    zone=environment.settings.zone,
                    region=environment.settings.region,
                    state=environment.state,
                    sent_at=now,
                    echo=member.sent_at,
                    offset=environment.configuration.offset,
                    confirmed_age_s=age_s,
                    store_down=(
                        environment.config_tail.failing_since is not None
                    ),
                    reports=polled if mate else (),
                    in_flight=environment.admission.in_flight,
                ),
            )
        self._note_confirmed(confirmed)
        environment.keeping.refresh()
        self._settle_dead(now)
        self._snapshot_if_due(now)
        environment.learners.update()
        self._spawn(self._rollouts.tick(now))
        if not self._ordering:
            self._ordering = True
            self._spawn(self._order(now))

    async def _order(self, now):
        """Give orders, one round at a time."""
        try:
            await self._environment.orders.tick(now)
        finally:
            self._ordering = False

    def _choose_listeners(self):
        """Return whom to send this heartbeat to.

        Besides the neighbours those whose bills we keep and who keep ours.
        With many neighbours, other zones get every second one only.
        """
        environment = self._environment
        members = environment.membership.members
        chosen = {
            member.name: member
            for member in environment.membership.find_neighbours()
        }
        if len(chosen) > MANY_NEIGHBOURS and self._beats % 2:
            zone = environment.settings.zone
            chosen = {n: m for n, m in chosen.items() if m.zone == zone}
        partners = (
            environment.keeping.keeper_names | environment.kept.owner_names
        )
        for name in partners & members.keys():
            chosen[name] = members[name]
        return list(chosen.values())

    def _note_confirmed(self, confirmed):
        if confirmed != self._confirmed:
            self._environment.log.info('configuration lease', held=confirmed)
            self._confirmed = confirmed

    def _settle_dead(self, now):
        """Commit the bills of owners that will not settle them."""
        environment = self._environment
        for owner in environment.membership.take_dead(now):
            taken = environment.kept.take(owner)
            if not taken:
                continue
            environment.log.info(
                'settled for a dead owner', owner=owner[0], bills=len(taken)
            )
            environment.metrics.count('bills.settled-for-others', len(taken))
            for bill in taken:
                environment.bill_commit.put(bills.encode(bill))

    def _snapshot_if_due(self, now):
        """Write a snapshot when it is our turn and the last one is old."""
        environment = self._environment
        control = environment.settings.control
        period_s = control.log_retention_s * SNAPSHOT_SHARE_OF_RETENTION
        if now - self._snapshot_at < period_s:
            return
        key = f'snapshot/{environment.configuration.offset}'
        if environment.membership.rank_owners(key, now)[0] != environment.name:
            return
        if environment.configuration.offset < 0:
            return
        self._snapshot_at = now
        self._spawn(self.write_snapshot())

    async def write_snapshot(self):
        """Append the state; two writers do no harm."""
        environment = self._environment
        snapshot = fold.make_snapshot(
            environment.configuration, environment.name
        )
        value = fold.encode_entries([snapshot])
        answer = await environment.log_client.append(
            streams.CONFIGURATION, value
        )
        if answer.value_or(None) is None:
            environment.metrics.count('snapshots.failed')
            self._snapshot_at = 0.0
        else:
            environment.metrics.count('snapshots')

    def _find_own_polls(self, now):
        """Return the engines whose load this instance asks for its zone."""
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

    def _poll_loads(self, now):
        for name in self._find_own_polls(now):
            if name not in self._polling:
                self._spawn(self._poll_load(name))

    async def _poll_load(self, name):
        environment = self._environment
        self._polling.add(name)
        try:
            server = environment.fleet.servers.get(name)
            report = server and await fleet.fetch_load(
                environment.http, server
            )
            if report is not None:
                environment.fleet.accept_report(
                    report, environment.timer.now()
                )
        finally:
            self._polling.discard(name)
