"""One instance on the platform: its composition root and lifecycle."""

import asyncio
import random
import signal
import time

from aiohttp import web
import msgspec

from arbutuschute import eras
from arbutuschute.ledgers import freshness
from arbutuschute.links import connection
from arbutuschute.links import intake
from arbutuschute import listening
from arbutuschute import logs
from arbutuschute.machines import observations
from arbutuschute.machines import servers
from arbutuschute import metrics
from arbutuschute.platform import engine
from arbutuschute.platform import evacuations
from arbutuschute.platform import followers
from arbutuschute.platform import ingress
from arbutuschute.platform import observations as observation_topic
from arbutuschute.platform import readers
from arbutuschute.platform import rollouts
from arbutuschute.platform import session_lists
from arbutuschute.platform import settings as settings_module
from arbutuschute.platform import store
from arbutuschute.policy import canary
from arbutuschute.policy import cold_limits
from arbutuschute.policy import costs
from arbutuschute.policy import evacuation
from arbutuschute.policy import model_choice
from arbutuschute.policy import prefill
from arbutuschute.policy import retry_budget
from arbutuschute.policy import urgency
from arbutuschute import timer as timer_module
from arbutuschute.traffic import environment as environment_module
from arbutuschute.zones import fleet_size
from arbutuschute.zones import log_cache

# The platform stops sending new connections after two failed checks of
# readiness, one a second.
LEAVE_S = 3.0
# Reserved for the exit within the time that a stop may take, on a machine
# with half a core.
EXIT_MARGIN_S = 0.8
# Reserved before that for the answers of requests that are ended.
LAST_ANSWERS_S = 0.3
# For the store's response, after the last requests have ended.
LAST_LISTING_S = 0.5
CHECK_PERIOD_S = 0.05
# A start ends when its topics are read, a few milliseconds after its imports.
# A period of 50 ms was a sixth of the start.
LOAD_CHECK_PERIOD_S = 0.01
# A start waits at most this long for the steps of roll-outs; a healthy store
# responds in milliseconds.
MAX_STEPS_WAIT_S = 1.0
LISTEN_BACKLOG = 512
# Requests that still run after the time to stop are cut off after this.
SHUTDOWN_S = 0.1


class Instance:
    """One process from start to stop."""

    __slots__ = ('_caller_site', '_ingress', '_inner_intake', '_log',
                 '_log_cache', '_peers', '_runners', '_sessions',
                 '_settings', '_settings_file', '_stopping', '_tasks',
                 '_timer', '_was_ready', 'environment',
                 'observations', 'operator', 'reader', 'rollout_task',
                 'servers', 'session_lists')  # fmt: skip

    def __init__(self, settings, path, loop):
        self._settings = settings
        self._timer = timer_module.make_suspend_aware(loop)
        identity = f'{settings.name}/{time.time_ns() // 1_000_000}'
        self._log = logs.make_line_logger(instance=settings.name)
        self._settings_file = settings_module.SettingsFile(
            path, settings.bounds, self._timer, self._log, self._apply_bounds
        )
        self._sessions = [engine.make_session(), store.make_session()]
        self.environment = self._build_environment()
        self._inner_intake = intake.make_inner(
            self._timer.now, self.environment.metrics, self._log
        )
        self._peers = fleet_size.PeerCounter(self._timer.now)
        self._log_cache = log_cache.LogCache(self._timer.now, self._peers)
        self._build_followers(identity)
        self._ingress = ingress.Ingress(self.environment)
        # The listening socket for callers, once it is open.
        self._caller_site = None
        self._runners = []
        self._tasks = []
        self._stopping = asyncio.Event()
        # The answer to the last readiness check.
        self._was_ready = False

    def _build_environment(self):
        settings = self._settings
        now = self._timer.now
        environment = environment_module.Environment(settings.name)
        environment.now = now
        environment.log = self._log
        environment.metrics = metrics.Metrics(None)
        environment.random = random.Random()
        environment.location = (
            settings.zone, settings.region, settings.regions_by_zone
        )  # fmt: skip
        environment.fleet_size = fleet_size.FleetSize(
            {settings.zone: settings.region, **settings.regions_by_zone},
            lambda: self.observations.is_current,
        )
        environment.directory = servers.Directory(now)
        servers.ColdServers(
            environment.directory, self._timer, self._log, environment.metrics
        )
        environment.freshness = freshness.Freshness(
            now, settings.bounds.lease_s
        )
        environment.retry_budget = retry_budget.RetryBudget(
            now, settings.bounds, environment.fleet_size.count
        )
        environment.rollouts = canary.Rollouts(
            now, settings.bounds.session_s, settings.name, self._timer.wall
        )
        environment.cold_limits = cold_limits.ColdLimits(
            now, settings.name, settings.region,
            environment.fleet_size.count_cautiously,
            environment.find_cold_per_s, settings.bounds,
        )  # fmt: skip
        environment.evacuations = evacuation.Evacuations(
            now, settings.bounds.evacuate_s
        )
        environment.model_selector = model_choice.ModelSelector()
        environment.prefill_rates = prefill.PrefillRates()
        environment.costs = costs.Costs()
        environment.pool_delays = prefill.PoolDelays()
        environment.intake = intake.build(
            settings, now, environment.metrics, self._log
        )
        environment.open_attempt = engine.make_opener(self._sessions[0])
        return environment

    def _build_followers(self, identity):
        environment = self.environment
        era = eras.Era(self._timer.now, self._log)
        client = store.Store(
            self._sessions[1], self._settings.store, environment.metrics, era
        )
        settings = self._settings
        self.reader = readers.ZoneReader(
            client, self._sessions[1], self._timer, self._log,
            environment.random, self._log_cache, settings.zone,
            str(settings.zone_peers), identity, settings.link_mbps, era,
            self._peers,
        )  # fmt: skip
        self.operator = followers.OperatorFollower(
            client, self._timer, self._log, environment.freshness,
            self._apply_table, self._apply_order, self.reader,
            evacuations.Orders(
                environment.evacuations, self._log, environment.metrics
            ),
        )  # fmt: skip
        self.servers = followers.ServerFollower(
            client,
            self._timer,
            self._log,
            environment.directory,
            settings.bounds.drain_s,
            self.reader,
        )
        self.observations = observation_topic.ObservationTask(
            client, self._timer, self._log, settings.name,
            lambda found: observations.apply(environment, found), self.reader,
            lambda: environment.crash_reports.list_verdicts(),
            environment.random,
        )  # fmt: skip
        observations.build(
            environment, self._timer, settings.region,
            self.observations.publish, environment.fleet_size.count,
        )  # fmt: skip
        fleet_size.SizeReports(
            environment.fleet_size, self._peers, self._timer,
            (settings.zone, settings.region), lambda: self.reader.is_reader,
            self.observations.publish,
        )  # fmt: skip
        self.rollout_task = rollouts.RolloutTask(
            client, self._timer, self._log, environment.random, identity,
            environment.rollouts, environment.directory, self.reader,
        )  # fmt: skip
        self.session_lists = session_lists.SessionListTask(
            client, self._timer, self._log, environment.random, settings.name,
            environment.rollouts,
        )  # fmt: skip
        for handle_restore in (
            environment.rollouts.begin_era, self.reader.handle_restore,
            self.observations.handle_restore,
        ):  # fmt: skip
            era.changes.subscribe(lambda _, handle=handle_restore: handle())

    def _apply_table(self, table):
        self.environment.urgency_levels = urgency.UrgencyLevels(
            table.routes, table.organisations
        )
        self.environment.table = table
        self._log.info('configuration', version=table.version)

    def _apply_order(self, order, is_new):
        self.rollout_task.apply_order(order, is_new)
        self.session_lists.handle_order()

    async def run(self):
        """Serve until a stop is requested, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings_file.reload)
        await self._start()
        await self._stopping.wait()
        await self._stop()

    @property
    def is_listening(self):
        """Whether the platform can query readiness."""
        return bool(self._runners)

    def request_stop(self):
        """Request a graceful stop, as SIGTERM does."""
        self._stopping.set()

    async def _start(self):
        self._log.info('starting', zone=self._settings.zone)
        metrics_address = settings_module.Address(
            self._settings.readiness.host, self._settings.metrics_port
        )
        for handler, address in (
            (self._handle_readiness, self._settings.readiness),
            (self._handle_inspection, metrics_address),
            (self._log_cache.answer, self._settings.zone_peers),
        ):
            server = connection.make_inner_server(handler, self._inner_intake)
            await self._listen(server, address)
        for follower in (
            self.operator, self.servers, self.rollout_task, self.reader,
            self.observations, self.session_lists,
        ):  # fmt: skip
            self._start_task(follower.run())
        self._start_task(self._settings_file.run())
        for found in (self.environment.intake, self._inner_intake):
            self._start_task(found.run(self._timer))
        await self._wait_until_loaded()
        if self._stopping.is_set():
            return
        self._caller_site = await self._listen(
            self._ingress.make_server(), self._settings.callers
        )
        connection.bound_socket_buffers(self._caller_site)
        self.environment.state = 'live'
        self._log.info('started', version=self.environment.table.version)

    async def _wait_until_loaded(self):
        """Wait for the state that requests need, or for a stop.

        Without the steps of a roll-out, sessions would go to versions that
        are gone; without the observations, prompts that crash servers would
        be sent. If these can't be read in time, the instance starts without
        them, so that all other requests are served.
        """
        while self.environment.table is None or not self.servers.is_loaded:
            await self._timer.sleep(LOAD_CHECK_PERIOD_S)
            if self._stopping.is_set():
                return
        limit = self._timer.now() + MAX_STEPS_WAIT_S
        await self._wait_until(
            lambda: (
                self.rollout_task.is_loaded and self.observations.is_loaded
            ),
            limit,
            LOAD_CHECK_PERIOD_S,
        )

    async def _listen(self, server, address):
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_S)
        await runner.setup()
        site = web.TCPSite(
            runner, address.host, address.port, backlog=LISTEN_BACKLOG
        )
        await site.start()
        self._runners.append(runner)
        return site

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._handle_task_end)
        self._tasks.append(task)

    def _handle_task_end(self, task):
        """Stop the process if one of its tasks fails."""
        if not task.cancelled() and task.exception() is not None:
            self._log.opt(exception=task.exception()).error('task failed')
            self._stopping.set()

    async def _handle_readiness(self, _):
        """Respond with 200 if ready for new connections, else with 503."""
        freshness = self.environment.freshness
        state = self.environment.state
        ready = state == 'live' and freshness.is_valid
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.info(
                'readiness',
                ready=ready,
                state=state,
                configuration_age_ms=logs.round_to_ms(freshness.age_s),
            )
        return web.Response(status=200 if ready else 503)

    async def _handle_inspection(self, request):
        """Respond to an operator's query."""
        # Imported at the first request, so that no start waits for it.
        from arbutuschute.platform import inspection

        return await inspection.answer(self.environment, request)

    def _apply_bounds(self, bounds):
        environment = self.environment
        self._settings = msgspec.structs.replace(self._settings, bounds=bounds)
        environment.freshness.lease_s = bounds.lease_s
        environment.retry_budget.set_bounds(bounds)
        environment.cold_limits.bounds = bounds
        environment.evacuations.evacuate_s = bounds.evacuate_s

    async def _stop(self):
        """Leave the rotation, finish running requests and close."""
        environment = self.environment
        began = self._timer.now()
        end = began + self._settings.bounds.stop_s - EXIT_MARGIN_S
        environment.stopping_at = began
        environment.stop_ends_at = end - LAST_ANSWERS_S
        environment.state = 'leaving'
        self._log.info('stopping', in_flight=environment.in_flight)
        # Sessions go on elsewhere from now on.
        self._start_task(self.session_lists.write_at_stop())
        await self._wait_until(lambda: False, began + LEAVE_S)
        await self._wait_until(
            lambda: environment.in_flight == 0, environment.stop_ends_at
        )
        self._log.info('stopped', cut=environment.in_flight)
        environment.shutdown.end_running()
        listing = asyncio.ensure_future(self.session_lists.write_at_stop())
        await self._wait_until(lambda: environment.in_flight == 0, end)
        await self._wait_until(
            listing.done, min(end, self._timer.now() + LAST_LISTING_S)
        )
        listing.cancel()
        if self._caller_site is not None:
            await listening.stop(
                self._caller_site, self._runners[-1], self._timer
            )
        await self.close()

    async def close(self):
        """End the tasks and close every connection."""
        for task in self._tasks:
            task.remove_done_callback(self._handle_task_end)
            task.cancel()
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))
        # Whatever uses a session ends before the session is closed.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in self._sessions:
            await session.close()

    async def _wait_until(self, is_done, limit, period_s=CHECK_PERIOD_S):
        while not is_done() and self._timer.now() < limit:
            await self._timer.sleep(period_s)


async def run(settings, path):
    """Run one instance until a stop is requested."""
    await Instance(settings, path, asyncio.get_running_loop()).run()
