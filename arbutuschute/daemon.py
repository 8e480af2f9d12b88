"""The router process: its composition root, start and graceful stop."""

import asyncio
import contextlib
import itertools
import random
import signal
import time

import aiohttp
from aiohttp import web
import statsd

from arbutuschute import admission_control
from arbutuschute import agreement
from arbutuschute.contracts import history
from arbutuschute import control
from arbutuschute import environment
from arbutuschute import learners
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import commit
from arbutuschute.ledgers import leases
from arbutuschute.ledgers import pins
from arbutuschute.ledgers import replication
from arbutuschute.links import caller
from arbutuschute.links import log
from arbutuschute.links import operators
from arbutuschute.links import peer
from arbutuschute.links import rating
from arbutuschute import logs
from arbutuschute.machines import fleet
from arbutuschute import metrics
from arbutuschute import orders
from arbutuschute.policy import guard
from arbutuschute.policy import migration
from arbutuschute.policy import pace
from arbutuschute.policy import retry
from arbutuschute import streams
from arbutuschute import timer
from arbutuschute.zones import membership

START_RETRY_S = 0.2
SETTLE_WITHIN_S = 5.0
CHECK_PERIOD_S = 0.02
ENGINE_CONNECTIONS = 0
KEEPALIVE_S = 30.0
BILL_APPENDS_PER_S = 200.0


def build(settings, loop):
    """Wire the parts of one router; the one place that knows them all."""
    made = environment.Environment()
    made.settings = settings
    made.incarnation = time.time_ns() // 1_000_000
    made.timer = timer.make_real(loop)
    made.random = random.Random(f'{settings.name}-{made.incarnation}')
    made.numbers = itertools.count(1)
    made.log = logs.make_logger(settings.logging, instance=settings.name)
    made.metrics = metrics.Metrics(
        statsd.StatsClient(
            settings.statsd.host, settings.statsd.port, prefix='arbutuschute'
        )
    )
    made.state = 'starting'
    made.confirmed_until = float('-inf')
    _build_links(made)
    _build_ledgers(made)
    made.fleet = fleet.Fleet()
    made.admission = admission_control.AdmissionController(
        made.timer, made.metrics, lambda: _count_live_routers(made)
    )
    made.budget = retry.Budget()
    made.paces = pace.Paces()
    made.moves = migration.Budget()
    made.guard = guard.Guard()
    made.halts = set()
    made.learners = learners.Learners()
    made.rating_client = rating.RatingClient(
        made.http, settings.platform.rating, made.timer, made.metrics
    )
    return made


def _find_flush_period(made):
    """Return seconds between two appends of bills.

    The log takes several hundred appends a second from all instances.
    """
    routers = 1 + len(made.membership.members)
    return max(
        made.settings.control.bills_flush_s, routers / BILL_APPENDS_PER_S
    )


def _count_live_routers(made):
    """Return how many routers share the pools of the own region."""
    return 1 + sum(
        member.region == made.settings.region and member.state == 'live'
        for member in made.membership.members.values()
    )


def _build_links(made):
    settings = made.settings
    made.http = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=ENGINE_CONNECTIONS, keepalive_timeout=KEEPALIVE_S
        )
    )
    # A reused connection may be retried by the HTTP library; work that may
    # run once only never gets one.
    made.http_once = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=ENGINE_CONNECTIONS, force_close=True
        )
    )
    made.peers = peer.PeerLink(settings.peers, made.metrics)
    made.log_client = log.LogClient(
        made.http,
        settings.platform.log,
        settings.name,
        settings.control.log_timeout_s,
    )
    made.config_follower = log.LogFollower(
        made.log_client, streams.CONFIGURATION, made.timer
    )
    made.claims_follower = log.LogFollower(
        made.log_client, streams.CLAIMS, made.timer
    )
    made.leases_follower = log.LogFollower(
        made.log_client, streams.LEASES, made.timer
    )


def _build_ledgers(made):
    settings = made.settings
    made.membership = membership.Membership(
        settings.name,
        settings.zone,
        settings.region,
        settings.control.suspect_s,
    )
    made.claims = claims.Claims(settings.control.claim_window_s)
    made.claim_commit = commit.GroupCommit(
        made.log_client, streams.CLAIMS, made.timer
    )
    made.bill_commit = commit.GroupCommit(
        made.log_client,
        streams.BILLS,
        made.timer,
        lambda: _find_flush_period(made),
    )
    made.bill_replicas = bills.BillReplicas()
    made.bill_replicator = replication.BillReplicator(
        made.identity,
        made.peers.send,
        lambda: made.membership.rank_replicas(made.timer.now()),
        made.bill_commit,
        made.timer,
        made.metrics,
        settings.control.keepers,
        settings.control.unsettled_limit,
        made.membership.is_elsewhere,
    )
    made.pins = pins.Pins(
        made.identity,
        made.peers.send,
        lambda key: made.membership.rank_owners(key, made.timer.now()),
        lambda session, version: agreement.is_pin_usable(
            made, session, version
        ),
    )


class Router:
    """One router process from start to stop."""

    __slots__ = (
        '_control',
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
        self._runners = []
        self._tasks = []
        self._stopping = asyncio.Event()

    async def run(self):
        """Serve until told to stop, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self._stopping.set)
        await self.start()
        await self._stopping.wait()
        self._stopping.clear()
        await self.stop()

    async def start(self):
        """Start the tasks, load the configuration, open the doors."""
        made = self.environment
        made.config_follower.records.subscribe(self._history.apply)
        made.claims_follower.records.subscribe(self._apply_claims)
        made.leases_follower.records.subscribe(self._apply_leases)
        self._start_task(made.peers.run())
        await self._control.instance_list.read()
        self._control.subscribe()
        await self._serve(
            operators.OperatorsLink(made).make_app(),
            made.settings.operators,
        )
        await self._load_configuration()
        for coroutine in (
            self._follow_configuration(),
            self._follow_claims(),
            made.leases_follower.run(),
            made.claim_commit.run(),
            made.bill_commit.run(),
        ):
            self._start_task(coroutine)
        # A door that opens before the lease runs would only refuse.
        await self._wait_until(
            lambda: agreement.is_confirmed(made),
            made.settings.control.lease_s,
        )
        made.state = 'live'
        await self._serve(
            caller.CallerLink(made).make_app(), made.settings.listen
        )
        made.log.info('started', offset=made.configuration.offset)

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._notice_end)
        self._tasks.append(task)

    def _notice_end(self, task):
        """Stop the process if a task of its own ends by a fault."""
        if not task.cancelled() and task.exception() is not None:
            self.environment.log.error(
                'task failed', error=repr(task.exception())
            )
            self._stopping.set()

    async def _serve(self, app, address):
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self._runners.append(runner)

    async def _load_configuration(self):
        """Start from the log, or from a peer while the store is down."""
        made = self.environment
        while True:
            state, records, answered = await history.read_start(
                made.log_client, streams.CONFIGURATION
            )
            if state is not None:
                self._history.start_from(state)
                for record in records:
                    self._history.apply(record)
                break
            self._control.fetch_from_neighbours()
            await made.timer.sleep(START_RETRY_S)
            if made.configuration.offset >= 0:
                break
            reason = 'no snapshot' if answered else 'store down'
            made.metrics.count(f'start.waiting.{reason}')
        made.config_follower.position = made.configuration.offset + 1

    async def _follow_configuration(self):
        follower = self.environment.config_follower
        wait_s = log.compute_read_wait(
            self.environment.settings.control.lease_s
        )
        while True:
            await follower.read_next(wait_s)
            if follower.gap:
                follower.gap = False
                await self._load_configuration()

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
        """Leave: serve on until the balancer has noticed, finish, settle."""
        made = self.environment
        limits = made.settings.control
        made.state = 'leaving'
        made.log.info('leaving', in_flight=made.admission.in_flight)
        await self._wait_until(lambda: False, limits.leave_s)
        await self._wait_until(
            lambda: made.admission.in_flight == 0, limits.drain_s
        )
        made.state = 'closed'
        cut = made.admission.in_flight
        await self._wait_until(
            lambda: (
                made.bill_replicator.unsettled == 0
                and not made.claim_commit
                and not made.bill_commit
            ),
            SETTLE_WITHIN_S,
        )
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.remove_done_callback(self._notice_end)
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        made.rating_client.close()
        made.peers.close()
        await made.http.close()
        await made.http_once.close()
        made.metrics.flush()
        made.log.info(
            'stopped', cut=cut, unsettled=made.bill_replicator.unsettled
        )

    async def _wait_until(self, is_done, limit_s):
        """Wait for a state, a time limit or a second signal."""
        timer_now = self.environment.timer.now
        limit = timer_now() + limit_s
        while not is_done() and timer_now() < limit:
            if self._stopping.is_set():
                return
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._stopping.wait(), CHECK_PERIOD_S)


async def run(settings):
    """Run one router until it is told to stop."""
    await Router(settings, asyncio.get_running_loop()).run()
