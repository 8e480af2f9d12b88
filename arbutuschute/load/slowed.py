"""Tail latency while two of nine servers are slowed fivefold for moments."""

from arbutuschute.load import fleet

SECONDS = 240.0
UNTIL_S = SECONDS + 600.0
WARM_S = 20.0
ENGINES = 9
SLOTS = 16
LOAD = 0.55
SLOW_FACTOR = 5.0
MOMENT_S = 15.0
SLOWED = 2
TARGET = 1.5
OURS = {'shares_pace': False, 'migrates': True}


def run_policy(seed, choose, slowed, **options):
    """Return the seconds that each request took."""
    made = fleet.Fleet(seed, ENGINES, SLOTS, **options)
    rate_s = LOAD * made.slots / fleet.find_mean_work(seed)
    jobs = fleet.make_arrivals(seed, rate_s, SECONDS, fleet.draw_heavy_work)
    times = []

    def arrive(job):
        view = made.next_view()
        view.budget.deposit()
        server = choose(view)
        made.send(view, server, job, lambda done: times.append(done))

    if slowed:
        made.timer.every(MOMENT_S).subscribe(lambda now: _slow_next(made, now))
    fleet.run_jobs(made, jobs, arrive, UNTIL_S)
    return [job.total_s for job in times if job.arrived_at > WARM_S]


def _slow_next(made, now):
    """Move the slow moments on to the next two servers."""
    engines = list(made.engines.values())
    turn = int(now / MOMENT_S) * SLOWED
    for engine in engines:
        engine.set_factor(1.0)
    if now > SECONDS:
        return
    for step in range(SLOWED):
        engines[(turn + step) % len(engines)].set_factor(SLOW_FACTOR)
