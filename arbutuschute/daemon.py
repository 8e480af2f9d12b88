"""The router process: composition root, start and graceful stop."""

import asyncio
import contextlib
import itertools
import random
import signal
import time

from aiohttp import web
import statsd

from arbutuschute import admission_control
from arbutuschute import agreement
from arbutuschute import bodies
from arbutuschute import configuration_feed
from arbutuschute import connections
from arbutuschute.contracts import history
from arbutuschute import control
from arbutuschute import environment as environment_module
from arbutuschute import eras
from arbutuschute import learners
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import commit
from arbutuschute.ledgers import leases
from arbutuschute.ledgers import pins
from arbutuschute.ledgers import replication
from arbutuschute.links import caller
from arbutuschute.links import connection
from arbutuschute.links import intake
from arbutuschute.links import log
from arbutuschute.links import operators
from arbutuschute.links import peer
from arbutuschute.links import rating
from arbutuschute import listening
from arbutuschute import logs
from arbutuschute.machines import fleet
from arbutuschute.machines import observations
from arbutuschute import metrics
from arbutuschute import orders
from arbutuschute.policy import baseline
from arbutuschute.policy import evacuation
from arbutuschute.policy import guard
from arbutuschute.policy import migration
from arbutuschute.policy import pace
from arbutuschute.policy import retry
from arbutuschute import pools
from arbutuschute import shutdown
from arbutuschute import streams
from arbutuschute import timer
from arbutuschute.zones import membership

SETTLE_TIMEOUT_S = 5.0
# For the answers of requests that are ended at the end of a stop.
LAST_ANSWERS_S = 0.5
# Calls that still run after the time to stop are cut off after this.
SHUTDOWN_S = 0.1
CHECK_PERIOD_S = 0.02
UNLIMITED_CONNECTIONS = 0
KEEPALIVE_S = 30.0


def build(settings, loop):
    """Return a router's environment without configuration and orders."""
    environment = environment_module.Environment()
    environment.settings = settings
    environment.incarnation = time.time_ns() // 1_000_000
    environment.timer = timer.make_suspend_aware(loop)
    environment.random = random.Random(
        f'{settings.name}-{environment.incarnation}'
    )
    environment.sequence = itertools.count(1)
    environment.log = logs.make_logger(
        settings.logging, instance=settings.name
    )
    environment.metrics = metrics.Metrics(
        statsd.StatsClient(
            settings.statsd.host, settings.statsd.port, prefix='arbutuschute'
        )
    )
    environment.shutdown = shutdown.Shutdown(settings.name)
    environment.state = 'starting'
    environment.confirmed_until = float('-inf')
    _build_links(environment)
    _build_ledgers(environment)
    environment.fleet = fleet.Fleet()
    environment.evacuations = evacuation.Evacuations(environment.timer.now)
    environment.admission = admission_control.AdmissionController(
        environment.timer,
        environment.metrics,
        lambda: 1 + environment.membership.count_live(settings.region),
    )
    environment.retry_budget = retry.Budget()
    environment.paces = pace.Paces()
    environment.migration_budget = migration.Budget()
    environment.guard = guard.Guard()
    environment.baseline = baseline.Baseline(environment.timer.now)
    environment.halts = set()
    environment.learners = learners.Learners()
    environment.rating_client = rating.RatingClient(
        environment.http, settings.platform.rating, environment.timer,
        environment.metrics,
    )  # fmt: skip
    return environment


def _build_links(environment):
    settings = environment.settings
    environment.intake = intake.build(
        settings.limits, environment.timer.now, environment.metrics,
        environment.log,
    )  # fmt: skip
    environment.large_bodies = bodies.make_large_slots()
    environment.http = connections.make_session(
        connector=connections.Connector(
            limit=UNLIMITED_CONNECTIONS, keepalive_timeout=KEEPALIVE_S
        )
    )
    # A reused connection may have been closed meanwhile: a request that may
    # run only once would be lost with it.
    environment.http_once = connections.make_session(
        connector=connections.Connector(
            limit=UNLIMITED_CONNECTIONS, force_close=True
        )
    )
    environment.peers = peer.PeerLink(settings.peers, environment.metrics)
    environment.era = eras.Era(environment.timer.now, environment.log)
    environment.log_client = log.LogClient(
        environment.http,
        settings.platform.log,
        settings.name,
        settings.control.log_timeout_s,
        environment.era,
    )
    environment.config_follower = log.LogFollower(
        environment.log_client, streams.CONFIGURATION, environment.timer
    )
    environment.claims_follower = log.LogFollower(
        environment.log_client, streams.CLAIMS, environment.timer
    )
    environment.leases_follower = log.LogFollower(
        environment.log_client, streams.LEASES, environment.timer
    )


def _build_ledgers(environment):
    settings = environment.settings
    environment.membership = membership.Membership(
        settings.name,
        settings.zone,
        settings.region,
        settings.control.suspect_s,
    )
    environment.claims = claims.Claims(settings.control.claim_window_s)
    environment.claim_commit = commit.GroupCommit(
        environment.log_client, streams.CLAIMS, environment.timer
    )
    environment.bill_commit = commit.GroupCommit(
        environment.log_client,
        streams.BILLS,
        environment.timer,
        lambda: bills.compute_flush_period(
            settings.control.bills_flush_s,
            1 + len(environment.membership.members),
        ),
    )
    environment.bill_replicas = bills.BillReplicas()
    environment.bill_replicator = replication.BillReplicator(
        environment.identity,
        environment.peers.send,
        lambda: environment.membership.rank_replicas(environment.timer.now()),
        environment.bill_commit,
        environment.timer,
        environment.metrics,
        settings.control.keepers,
        settings.control.unsettled_limit,
        environment.membership.is_in_other_zone,
    )
    environment.pins = pins.Pins(
        environment.identity,
        environment.peers.send,
        lambda key: environment.membership.rank_owners(
            key, environment.timer.now()
        ),
        lambda session, version: agreement.is_pin_usable(
            environment, session, version
        ),
        environment.timer.now,
    )


class Router:
    """One router process from start to stop."""

    __slots__ = (
        '_caller_site',
        '_control',
        '_feed',
        '_history',
        '_leases',
        '_runners',
        '_stopping',
        '_tasks',
        'environment',
    )

    def __init__(self, settings, loop):
        self.environment = build(settings, loop)
        self._history = history.History()
        self.environment.configuration = self._history.configuration
        self._leases = leases.Leases(settings.control.lease_s)
        self.environment.orders = orders.OrderControl(
            self.environment, self._leases
        )
        self._control = control.Control(self.environment, self._history)
        self._feed = configuration_feed.ConfigurationFeed(
            self.environment,
            self._history,
            self._control.fetch_from_neighbours,
        )
        observations.build(
            self.environment, self.environment.timer, settings.region,
            self._control.share_observation,
            self.environment.membership.count_known,
        )  # fmt: skip
        # The listening socket for callers, once it is open.
        self._caller_site = None
        self._runners = []
        self._tasks = []
        self._stopping = asyncio.Event()

    async def run(self):
        """Serve until a signal, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self._stopping.set)
        await self.start()
        await self._stopping.wait()
        self._stopping.clear()
        await self.stop()

    async def start(self):
        """Start the tasks, load the configuration and accept requests."""
        environment = self.environment
        environment.config_follower.records.subscribe(self._history.apply)
        environment.claims_follower.records.subscribe(self._apply_claims)
        environment.leases_follower.records.subscribe(self._apply_leases)
        environment.era.changes.subscribe(self._handle_restore)
        self._start_task(environment.peers.run())
        await self._control.instance_list.read()
        self._control.subscribe()
        await self._serve(
            operators.OperatorsLink(environment).make_app(),
            environment.settings.operators,
        )
        await self._feed.load()
        # Orders that were given before the start have no shift.
        pools.follow_orders(environment, float('-inf'))
        for coroutine in (
            self._follow_configuration(),
            self._follow_claims(),
            environment.leases_follower.run(),
            environment.claim_commit.run(),
            environment.bill_commit.run(),
        ):
            self._start_task(coroutine)
        # Requests would be refused as long as there is no lease.
        await self._wait_until(
            lambda: agreement.is_confirmed(environment),
            environment.settings.control.lease_s,
        )
        self._start_task(environment.intake.run(environment.timer))
        link = caller.CallerLink(environment)
        self._caller_site = await self._serve(
            link.make_app(), environment.settings.listen, link.make_runner
        )
        connection.bound_socket_buffers(self._caller_site)
        # Peers and the load balancer may send requests from here on.
        environment.state = 'live'
        environment.log.info(
            'started', offset=environment.configuration.offset
        )

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._stop_on_fault)
        self._tasks.append(task)

    def _stop_on_fault(self, task):
        """Stop the process if one of its tasks fails."""
        if not task.cancelled() and task.exception() is not None:
            self.environment.log.error(
                'task failed', error=repr(task.exception())
            )
            self._stopping.set()

    async def _serve(self, app, address, make_runner=web.AppRunner):
        runner = make_runner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_S,
        )
        await runner.setup()
        site = web.TCPSite(runner, address.host, address.port)
        await site.start()
        self._runners.append(runner)
        return site

    async def _follow_configuration(self):
        await self._feed.follow()
        self.environment.log.error('the restored log differs; starting anew')
        self._stopping.set()

    def _handle_restore(self, era):
        """Go on with a log that was restored from an older copy."""
        environment = self.environment
        self._leases.begin_era(era)
        environment.orders.handle_restore()
        environment.claim_commit.handle_restore()
        environment.bill_commit.handle_restore()
        self._start_task(self._feed.rewrite_lost())

    async def _follow_claims(self):
        follower = self.environment.claims_follower
        while not follower.gap:
            await follower.read_next()
        self.environment.log.error('claims were missed; starting anew')
        self._stopping.set()

    def _apply_claims(self, record):
        for raw in commit.split(record):
            self.environment.claims.apply_entry(raw, record.time)

    def _apply_leases(self, record):
        for raw in commit.split(record):
            self._leases.apply_entry(raw, record.offset, record.time)

    async def stop(self):
        """Serve until the load balancer reacts, then drain and settle."""
        environment = self.environment
        limits = environment.settings.control
        environment.state = 'leaving'
        environment.log.info(
            'leaving', in_flight=environment.admission.in_flight
        )
        await self._wait_until(lambda: False, limits.leave_s)
        environment.shutdown.close_admission()
        await self._wait_until(
            lambda: environment.admission.in_flight == 0, limits.drain_s
        )
        environment.state = 'closed'
        cut = environment.admission.in_flight
        environment.shutdown.end_running()
        await self._wait_until(
            lambda: environment.admission.in_flight == 0, LAST_ANSWERS_S
        )
        if self._caller_site is not None:
            await listening.stop(
                self._caller_site, self._runners[-1], environment.timer
            )
        await self._wait_until(
            lambda: (
                environment.bill_replicator.unsettled == 0
                and not environment.claim_commit
                and not environment.bill_commit
            ),
            SETTLE_TIMEOUT_S,
        )
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.remove_done_callback(self._stop_on_fault)
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Whatever uses a session ends before the session is closed.
        await self._control.stop()
        await environment.rating_client.close()
        environment.peers.close()
        await environment.http.close()
        await environment.http_once.close()
        environment.metrics.flush()
        environment.log.info(
            'stopped', cut=cut, unsettled=environment.bill_replicator.unsettled
        )

    async def _wait_until(self, is_done, limit_s):
        """Wait until ``is_done``, a time limit or a second signal."""
        timer_now = self.environment.timer.now
        limit = timer_now() + limit_s
        while not is_done() and timer_now() < limit:
            if self._stopping.is_set():
                return
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._stopping.wait(), CHECK_PERIOD_S)


async def run(settings):
    """Run one router until a signal stops it."""
    await Router(settings, asyncio.get_running_loop()).run()
