"""Several instances with lagged views before fake engines."""

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
    """What one instance knows of the engines, from late reports."""

    __slots__ = ('budget', 'flying', 'name', 'pace', 'random', 'servers')

    def __init__(self, name, engines, seed):
        self.name = name
        self.random = random.Random(f'{seed}/{name}')
        self.pace = pace.Pace()
        self.flying = {engine.name: {} for engine in engines}
        self.budget = migration.Budget()
        self.servers = []
        for engine in engines:
            server = fleet.BackendServer(
                instances.Instance(engine.name, 'engine', 'z', 'g')
            )
            server.load.slots = engine.slots
            self.servers.append(server)


class Fleet:
    """The instances, the engines and the ticks between them."""

    __slots__ = (
        '_turn',
        'engines',
        'jobs',
        'migrates',
        'moves',
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
        self.moves = 0
        self.jobs = []
        self._turn = 0
        self.timer.every(REPORT_PERIOD_S).subscribe(self._report)
        self.timer.every(PACE_PERIOD_S).subscribe(self._note_pace)
        self.timer.every(SHARE_PERIOD_S).subscribe(self._share_pace)

    @property
    def slots(self):
        """All slots of all engines."""
        return sum(engine.slots for engine in self.engines.values())

    def next_view(self):
        """Return the instance that the balancer picks, one after another."""
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

    def _note_pace(self, now):
        for view in self.views:
            for name, flying in view.flying.items():
                if flying:
                    seen = self.engines[name].read_progress(flying)
                    if seen[1]:
                        view.pace.observe(name, *seen, now)
            view.pace.update(now)
            if self.migrates:
                self._move_slowed(view)

    def _move_slowed(self, view):
        """Let streams leave slowed servers, within the budget."""
        for server in view.servers:
            for job, ended in list(view.flying[server.name].values()):
                target = choose_ours(view)
                if not migration.should_leave(server, target, view.pace):
                    break
                if not view.budget.try_spend():
                    return
                if self.engines[server.name].withdraw(job):
                    server.finish(self.timer.now())
                    del view.flying[server.name][job.number]
                    self.moves += 1
                    self.send(view, target, job, ended)

    def _share_pace(self, now):
        if not self.shares_pace:
            return
        for view in self.views:
            told = view.pace.export(now)
            for other in self.views:
                if other is not view:
                    other.pace.merge_peer(view.name, told, now)

    def send(self, view, server, job, ended, in_order=False):
        """Send a job from an instance to an engine; then ``ended(job)``."""
        server.begin(self.timer.now())
        view.flying[server.name][job.number] = (job, ended)

        def done(finished):
            server.finish(self.timer.now())
            view.flying[server.name].pop(finished.number)
            ended(finished)

        self.engines[server.name].submit(job, done, in_order)


def run_jobs(made, jobs, arrive, until_s):
    """Let each job arrive in its time and run on until ``until_s``."""
    for job in jobs:
        made.timer.call_after(job.arrived_at, lambda job=job: arrive(job))
    made.timer.advance(until_s)
    return jobs


def run_naive(made, jobs, until_s):
    """Run jobs by least in flight, first come, first served, no shares."""

    def arrive(job):
        view = made.next_view()
        made.send(view, choose_by_own(view), job, lambda _: None, True)

    return run_jobs(made, jobs, arrive, until_s)


def choose_ours(view):
    """Choose as the router does."""
    return choice.choose_server(view.servers, view.pace, view.random)


def choose_at_random(view):
    """The first naive choice."""
    return view.random.choice(view.servers)


def choose_in_turn(view):
    """Round robin, each instance on its own."""
    server = view.servers.pop(0)
    view.servers.append(server)
    return server


def choose_by_report(view):
    """Power of two choices on the reported load alone."""
    pair = view.random.sample(view.servers, 2)
    return min(pair, key=lambda s: s.load.running + s.load.waiting)


def choose_by_own(view):
    """The least in flight of one's own."""
    lowest = min(server.in_flight for server in view.servers)
    return view.random.choice(
        [server for server in view.servers if server.in_flight == lowest]
    )


CHOICES = {
    'random': choose_at_random,
    'round robin': choose_in_turn,
    'two on report': choose_by_report,
    'least own': choose_by_own,
}


def make_arrivals(seed, rate_s, seconds, draw_work):
    """Return Poisson arrivals as (time, job), the same for each policy."""
    rng = random.Random(seed)
    now = 0.0
    jobs = []
    while True:
        now += rng.expovariate(rate_s)
        if now > seconds:
            return jobs
        jobs.append(simulated.Job(len(jobs), now, draw_work(rng)))


def draw_heavy_work(rng):
    """Return seconds of work: mostly short, a few many times longer."""
    return min(rng.lognormvariate(-0.9, 0.9), 20.0)


def find_mean_work(seed):
    """Return the mean seconds of work of many draws."""
    rng = random.Random(seed)
    return sum(draw_heavy_work(rng) for _ in range(SAMPLES)) / SAMPLES


def percentile(values, percent):
    """Return a percentile of values by the nearest rank."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]
