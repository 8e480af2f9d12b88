"""The control loops of one router: periodic work and peer messages."""

import asyncio

from arbutuschute import agreement
from arbutuschute.contracts import fold
from arbutuschute import instance_list
from arbutuschute.ledgers import bills
from arbutuschute import load_polling
from arbutuschute.machines import observations
from arbutuschute import messages
from arbutuschute import pools
from arbutuschute import rollouts
from arbutuschute import streams

PUMP_PERIOD_S = 0.1
PACE_PERIOD_S = 0.25
MAX_NEIGHBOURS_AT_FULL_RATE = 32
PIN_MESSAGES = (messages.PinRequest, messages.PinResponse, messages.PinCopy)
SNAPSHOT_SHARE_OF_RETENTION = 0.25
SNAPSHOT_RETRY_S = 30.0


class Control:
    """Runs the control loops of one router and handles peer messages."""

    __slots__ = (
        '_confirmed',
        '_environment',
        '_heartbeat_rounds',
        '_history',
        '_is_sending_orders',
        '_load_poller',
        '_rollouts',
        '_snapshot_tried_at',
        '_subscriptions',
        '_tasks',
        'instance_list',
    )

    def __init__(self, environment, history):
        self._environment = environment
        self._history = history
        self._confirmed = None
        self._load_poller = load_polling.LoadPoller(environment, self._spawn)
        self.instance_list = instance_list.InstanceListPoller(
            environment, self._spawn
        )
        self._is_sending_orders = False
        self._heartbeat_rounds = 0
        self._rollouts = rollouts.RolloutControl(environment)
        self._snapshot_tried_at = float('-inf')
        self._subscriptions = []
        self._tasks = set()

    def subscribe(self):
        """Subscribe to ticks and to the messages of peers."""
        environment = self._environment
        control = environment.settings.control
        timer = environment.timer
        for period_s, handler in (
            (control.heartbeat_s, self._send_heartbeats),
            (load_polling.PERIOD_S, self._load_poller.tick),
            (control.heartbeat_s, self._flush_metrics),
            (PUMP_PERIOD_S, self._pump),
            (PACE_PERIOD_S, environment.paces.update),
        ):
            self._subscriptions.append(
                timer.every(period_s).subscribe(self._protect(handler))
            )
        self._subscriptions.append(
            environment.peers.received.subscribe(
                self._protect(self.handle_message)
            )
        )
        self.instance_list.schedule()

    async def stop(self):
        """End the loops and their tasks, which use the HTTP sessions."""
        for subscription in self._subscriptions:
            subscription.dispose()
        self.instance_list.stop()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _protect(self, handler):
        """Wrap ``handler`` so that a fault is logged and not raised."""

        def run(value):
            try:
                handler(value)
            except Exception as error:
                self._record_fault(error)

        return run

    def _pump(self, now):
        self._environment.bill_replicator.check_timeouts()
        self._environment.admission.pump_all()
        pools.follow_orders(self._environment, now)

    def _flush_metrics(self, now):
        self._environment.metrics.flush()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._record_fault(task.exception())

    def _record_fault(self, error):
        self._environment.metrics.count('control.faults')
        self._environment.log.opt(exception=error).error('control fault')

    def handle_message(self, message):
        """Handle one message of a peer."""
        environment = self._environment
        if isinstance(message, messages.Heartbeat):
            self._handle_heartbeat(message)
        elif isinstance(message, messages.ReplicateBills):
            self._store_bills(message)
        elif isinstance(message, messages.BillsReplicated):
            environment.bill_replicator.handle_ack(
                message.sender, message.incarnation, message.seq
            )
        elif isinstance(message, messages.ReportEvidence):
            environment.guard.merge_peer(
                (message.sender, message.incarnation), message.evidence
            )
        elif isinstance(message, messages.InstancesChanged):
            self.instance_list.apply_changes(message)
        elif isinstance(message, messages.AnnounceHalt):
            environment.halts.add((message.rollout, message.revision))
        elif isinstance(message, messages.ShareObservation):
            observations.apply(environment, message.observation)
        elif isinstance(message, PIN_MESSAGES):
            environment.pins.handle_message(message)
        else:
            self._handle_configuration_message(message)

    def _handle_configuration_message(self, message):
        environment = self._environment
        if isinstance(message, messages.FetchConfiguration):
            environment.peers.send(
                message.sender,
                self._history.make_records(
                    environment.identity, message.offset
                ),
            )
        elif isinstance(message, messages.ConfigurationRecords):
            position = self._history.apply_peer_records(message)
            follower = environment.config_follower
            follower.position = max(follower.position, position)

    def _handle_heartbeat(self, heartbeat):
        environment = self._environment
        now = environment.timer.now()
        is_new = environment.membership.is_restarted(
            heartbeat
        ) or environment.membership.is_unheard(heartbeat.sender)
        self._reconnect_if_due(heartbeat)
        environment.membership.handle_heartbeat(heartbeat, now)
        if is_new:
            self._repeat_observations(heartbeat.sender)
        environment.bill_replicas.record_heartbeat(
            (heartbeat.sender, heartbeat.incarnation), now
        )
        if environment.bill_replicator.handle_incarnation(
            heartbeat.sender, heartbeat.incarnation
        ):
            # A new incarnation may listen at another address. Until the
            # list is read, bills for it would go to the old one.
            self._spawn(self.instance_list.read())
        for report in heartbeat.reports:
            environment.fleet.accept_report(report, now)
        if (
            heartbeat.offset > environment.configuration.offset
            and environment.config_follower.failing_since is not None
        ):
            self._fetch_configuration(heartbeat.sender)

    def _reconnect_if_due(self, heartbeat):
        """Reconnect to a peer that has restarted or become reachable.

        A peer heard for the first time, or after silence, may have been
        running all the time. A connection to it that works is kept, since
        reconnecting drops the messages queued on it.
        """
        membership = self._environment.membership
        peers = self._environment.peers
        sender = heartbeat.sender
        if membership.is_restarted(heartbeat) or (
            membership.is_unheard(sender) and not peers.is_connected(sender)
        ):
            peers.reconnect(sender)

    def _repeat_observations(self, peer):
        """Send a peer what it has missed of backend servers."""
        environment = self._environment
        for observation in environment.crash_reports.list_published():
            self._send_observation(peer, observation)
        if environment.limit_reports.last_report is not None:
            self._send_observation(peer, environment.limit_reports.last_report)

    def _send_observation(self, peer, observation):
        sender, incarnation = self._environment.identity
        self._environment.peers.send(
            peer,
            messages.ShareObservation(
                sender=sender, incarnation=incarnation, observation=observation
            ),
        )

    def share_observation(self, observation):
        """Send every peer an observation of a backend server; apply it here.

        Observations may be applied twice. This instance's own limit report
        counts for its share once the others are told.
        """
        for name in self._environment.membership.members:
            self._send_observation(name, observation)
        observations.apply(self._environment, observation)

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

    def fetch_from_neighbours(self):
        """Request the configuration from every neighbour."""
        for member in self._environment.membership.find_neighbours():
            self._fetch_configuration(member.name)

    def _store_bills(self, message):
        environment = self._environment
        owner = message.sender, message.incarnation
        environment.bill_replicas.store(
            owner, message.entries, message.settled, environment.timer.now()
        )
        sender, incarnation = environment.identity
        environment.peers.send(
            message.sender,
            messages.BillsReplicated(
                sender=sender, incarnation=incarnation, seq=message.seq
            ),
        )

    def _send_heartbeats(self, now):
        environment = self._environment
        confirmed = agreement.renew_confirmation(environment, now)
        age_s = None
        if confirmed:
            lease_s = environment.settings.control.lease_s
            age_s = lease_s - (environment.confirmed_until - now)
        reports = self._load_poller.make_reports(now)
        self._heartbeat_rounds += 1
        for member in self._select_receivers():
            is_zone_peer = member.zone == environment.settings.zone
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
                        environment.config_follower.failing_since is not None
                    ),
                    reports=reports if is_zone_peer else (),
                    in_flight=environment.admission.in_flight,
                ),
            )
        self._log_confirmed_change(confirmed)
        environment.bill_replicator.refresh_replicas()
        self._settle_for_dead(now)
        self._snapshot_if_due(now)
        environment.learners.update()
        self._spawn(self._rollouts.tick(now))
        if not self._is_sending_orders:
            self._is_sending_orders = True
            self._spawn(self._send_orders(now))

    async def _send_orders(self, now):
        """Send orders to engines, one round at a time."""
        try:
            await self._environment.orders.tick(now)
        finally:
            self._is_sending_orders = False

    def _select_receivers(self):
        """Return the members that get this heartbeat.

        These are the neighbours, the owners of bills replicated here and
        the replica holders of our own bills. With many neighbours, those in
        other zones get only every second heartbeat.
        """
        environment = self._environment
        members = environment.membership.members
        chosen = {
            member.name: member
            for member in environment.membership.find_neighbours()
        }
        if (
            len(chosen) > MAX_NEIGHBOURS_AT_FULL_RATE
            and self._heartbeat_rounds % 2
        ):
            zone = environment.settings.zone
            chosen = {n: m for n, m in chosen.items() if m.zone == zone}
        partners = (
            environment.bill_replicator.replica_names
            | environment.bill_replicas.owner_names
        )
        for name in partners & members.keys():
            chosen[name] = members[name]
        return list(chosen.values())

    def _log_confirmed_change(self, confirmed):
        if confirmed != self._confirmed:
            self._environment.log.info('configuration lease', held=confirmed)
            self._confirmed = confirmed

    def _settle_for_dead(self, now):
        """Commit the bills of dead owners, which cannot settle them."""
        environment = self._environment
        silent = environment.bill_replicas.find_silent(
            now, environment.membership.dead_s
        )
        for owner in {*environment.membership.pop_dead(now), *silent}:
            replicas = environment.bill_replicas.pop_owner(owner)
            if not replicas:
                continue
            environment.log.info(
                'settled for a dead owner', owner=owner[0], bills=len(replicas)
            )
            environment.metrics.count(
                'bills.settled-for-others', len(replicas)
            )
            for bill in replicas:
                environment.bill_commit.append(bills.encode(bill))

    def _snapshot_if_due(self, now):
        """Write a snapshot if one is due and it is this instance's turn."""
        environment = self._environment
        configuration = environment.configuration
        period_s = (
            environment.settings.control.log_retention_s
            * SNAPSHOT_SHARE_OF_RETENTION
        )
        age_s = environment.timer.wall() - configuration.snapshot_time
        if configuration.offset < 0 or age_s < period_s:
            return
        if now - self._snapshot_tried_at < SNAPSHOT_RETRY_S:
            return
        first = environment.membership.rank_owners('snapshot', now)[0]
        if first == environment.name:
            self._snapshot_tried_at = now
            self._spawn(self.write_snapshot())

    async def write_snapshot(self):
        """Append a snapshot; duplicates of other instances are harmless."""
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
        else:
            environment.metrics.count('snapshots')
