"""A simulation of several router instances and their engines.

The instances see the engines' load in reports that arrive late.
"""

import random

from arbutuschute.load import simulated
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from arbutuschute.policy import choice
from arbutuschute.policy import migration
from arbutuschute.policy import pace
from arbutuschute import timer as timer_module

INSTANCES = 7
REPORT_PERIOD_S = 0.5
REPORT_LAG_S = 0.5
PACE_PERIOD_S = 0.25
SHARE_PERIOD_S = 1.0
SAMPLES = 20_000


class View:
    """What one instance knows of the engines."""

    __slots__ = (
        'budget',
        'in_flight_jobs',
        'name',
        'pace',
        'random',
        'servers',
    )

    def __init__(self, name, engines, seed):
        self.name = name
        self.random = random.Random(f'{seed}/{name}')
        self.pace = pace.Pace()
        self.in_flight_jobs = {engine.name: {} for engine in engines}
        self.budget = migration.Budget()
        self.servers = []
        for engine in engines:
            server = fleet.BackendServer(
                instances.Instance(engine.name, 'engine', 'z', 'g')
            )
            server.load.slots = engine.slots
            self.servers.append(server)


class Fleet:
    """Instances, engines, and the periodic reports between them."""

    __slots__ = (
        '_turn',
        'engines',
        'jobs',
        'migrates',
        'migrations',
        'shares_pace',
        'timer',
        'views',
    )

    def __init__(self, seed, engine_count, slots, count=INSTANCES,
                 shares_pace=True, migrates=False):  # fmt: skip
        self.timer = timer_module.VirtualTimer()
        self.engines = {
            f'e{n}': simulated.SimulatedEngine(f'e{n}', slots, self.timer)
            for n in range(engine_count)
        }
        self.views = [
            View(f'r{n}', self.engines.values(), seed) for n in range(count)
        ]
        self.shares_pace = shares_pace
        self.migrates = migrates
        self.migrations = 0
        self.jobs = []
        self._turn = 0
        self.timer.every(REPORT_PERIOD_S).subscribe(self._report)
        self.timer.every(PACE_PERIOD_S).subscribe(self._observe_pace)
        self.timer.every(SHARE_PERIOD_S).subscribe(self._share_pace)

    @property
    def slots(self):
        """Number of slots of all engines together."""
        return sum(engine.slots for engine in self.engines.values())

    def next_view(self):
        """Return the next instance, round robin, as a load balancer does."""
        self._turn += 1
        return self.views[self._turn % len(self.views)]

    def _report(self, now):
        for engine in self.engines.values():
            report = engine.report(REPORT_LAG_S)
            self.timer.call_after(
                REPORT_LAG_S, lambda r=report: self._deliver(r)
            )

    def _deliver(self, report):
        now = self.timer.now()
        for view in self.views:
            for server in view.servers:
                if server.name == report.server:
                    server.accept_report(report, now)

    def _observe_pace(self, now):
        for view in self.views:
            for name, in_flight_jobs in view.in_flight_jobs.items():
                if in_flight_jobs:
                    progress = self.engines[name].read_progress(in_flight_jobs)
                    if progress[1]:
                        view.pace.observe(name, *progress, now)
            view.pace.update(now)
            if self.migrates:
                self._migrate_from_slowed(view)

    def _migrate_from_slowed(self, view):
        """Migrate streams from slowed servers, within the budget."""
        for server in view.servers:
            for job, on_end in list(view.in_flight_jobs[server.name].values()):
                target = choose_ours(view)
                if not migration.should_leave(server, target, view.pace):
                    break
                if not view.budget.try_spend():
                    return
                if self.engines[server.name].withdraw(job):
                    server.finish(self.timer.now())
                    del view.in_flight_jobs[server.name][job.number]
                    self.migrations += 1
                    self.send(view, target, job, on_end)

    def _share_pace(self, now):
        if not self.shares_pace:
            return
        for view in self.views:
            exported = view.pace.export(now)
            for other in self.views:
                if other is not view:
                    other.pace.merge_peer(view.name, exported, now)

    def send(self, view, server, job, on_end, in_order=False):
        """Send a job to an engine; call ``on_end(job)`` when it has ended."""
        server.begin(self.timer.now())
        view.in_flight_jobs[server.name][job.number] = (job, on_end)

        def done(finished):
            server.finish(self.timer.now())
            view.in_flight_jobs[server.name].pop(finished.number)
            on_end(finished)

        self.engines[server.name].submit(job, done, in_order)


def run_jobs(simulation, jobs, arrive, until_s):
    """Run until ``until_s`` with each job at its time; return the jobs."""
    for job in jobs:
        simulation.timer.call_after(
            job.arrived_at, lambda job=job: arrive(job)
        )
    simulation.timer.advance(until_s)
    return jobs


def run_naive(simulation, jobs, until_s):
    """Run jobs first come, first served, on the least used servers.

    An instance counts its own requests in flight only.
    """

    def arrive(job):
        view = simulation.next_view()
        simulation.send(
            view, choose_by_own_requests(view), job, lambda _: None, True
        )

    return run_jobs(simulation, jobs, arrive, until_s)


def choose_ours(view):
    """Return the server that the router's policy chooses."""
    return choice.choose_server(view.servers, view.pace, view.random)


def choose_at_random(view):
    """Return a random server."""
    return view.random.choice(view.servers)


def choose_round_robin(view):
    """Return the next server in the instance's own round robin."""
    server = view.servers.pop(0)
    view.servers.append(server)
    return server


def choose_by_report(view):
    """Return the one of two random servers with the lower reported load."""
    pair = view.random.sample(view.servers, 2)
    return min(pair, key=lambda s: s.load.running + s.load.waiting)


def choose_by_own_requests(view):
    """Return a server with the fewest of the instance's own requests."""
    lowest = min(server.in_flight for server in view.servers)
    return view.random.choice(
        [server for server in view.servers if server.in_flight == lowest]
    )


CHOICES = {
    'random': choose_at_random,
    'round robin': choose_round_robin,
    'two on report': choose_by_report,
    'least own': choose_by_own_requests,
}


def make_arrivals(seed, rate_s, seconds, sample_work):
    """Return Poisson arrivals as (time, job), the same for each policy."""
    rng = random.Random(seed)
    now = 0.0
    jobs = []
    while True:
        now += rng.expovariate(rate_s)
        if now > seconds:
            return jobs
        jobs.append(simulated.Job(len(jobs), now, sample_work(rng)))


def sample_heavy_work(rng):
    """Return seconds of work from a heavy-tailed distribution."""
    return min(rng.lognormvariate(-0.9, 0.9), 20.0)


def compute_mean_work_s(seed):
    """Return the mean seconds of work of many samples."""
    rng = random.Random(seed)
    return sum(sample_heavy_work(rng) for _ in range(SAMPLES)) / SAMPLES


def compute_percentile(values, percent):
    """Return a percentile of values by the nearest rank."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]
