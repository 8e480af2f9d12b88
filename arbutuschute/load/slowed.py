"""Tail latency while two of nine servers at a time run five times slower."""

from arbutuschute.load import fleet

DURATION_S = 240.0
UNTIL_S = DURATION_S + 600.0
WARM_UP_S = 20.0
ENGINES = 9
SLOTS = 16
LOAD = 0.55
SLOW_FACTOR = 5.0
SLOW_PERIOD_S = 15.0
SLOWED_ENGINES = 2
TARGET = 1.5
OURS = {'shares_pace': False, 'migrates': True}


def run_policy(seed, choose, slowed, **options):
    """Return the seconds from arrival to end of each request."""
    simulation = fleet.Fleet(seed, ENGINES, SLOTS, **options)
    rate_s = LOAD * simulation.slots / fleet.compute_mean_work_s(seed)
    jobs = fleet.make_arrivals(
        seed, rate_s, DURATION_S, fleet.sample_heavy_work
    )
    times = []

    def arrive(job):
        view = simulation.next_view()
        view.budget.deposit()
        server = choose(view)
        simulation.send(view, server, job, lambda done: times.append(done))

    if slowed:
        simulation.timer.every(SLOW_PERIOD_S).subscribe(
            lambda now: _slow_next(simulation, now)
        )
    fleet.run_jobs(simulation, jobs, arrive, UNTIL_S)
    return [job.total_s for job in times if job.arrived_at > WARM_UP_S]


def _slow_next(simulation, now):
    """Slow the next two servers; reset all others."""
    engines = list(simulation.engines.values())
    turn = int(now / SLOW_PERIOD_S) * SLOWED_ENGINES
    for engine in engines:
        engine.set_slow_factor(1.0)
    if now > DURATION_S:
        return
    for step in range(SLOWED_ENGINES):
        engines[(turn + step) % len(engines)].set_slow_factor(SLOW_FACTOR)
