"""Head-of-line blocking: how long short and long work wait for a slot."""

from arbutuschute.load import fleet
from arbutuschute.load import queueing

DURATION_S = 300.0
UNTIL_S = DURATION_S + 600.0
WARM_UP_S = 20.0
ENGINES = 9
SLOTS = 16
LOAD = 0.9
SWING_FACTOR = 1.6
HALF_SWING_S = 10.0
LONG_SHARE = 0.06
SHORT_MEAN_S = 0.25
LONG_MEAN_S = 8.0
SHORT_PRIORITY = 0
LONG_PRIORITY = 6
SHORT_TARGET = 0.2
LONG_TARGET = 1.2


def make_jobs(seed):
    """Return arrivals at a swinging rate, a few of them with long work."""
    mean_s = (1 - LONG_SHARE) * SHORT_MEAN_S + LONG_SHARE * LONG_MEAN_S
    rate_s = SWING_FACTOR * LOAD * ENGINES * SLOTS / mean_s
    jobs = fleet.make_arrivals(
        seed, rate_s, DURATION_S, lambda rng: rng.random()
    )
    rng = fleet.random.Random(f'{seed}/sizes')
    jobs = [job for job in jobs if _is_kept(job.arrived_at, rng)]
    for job in jobs:
        is_long = rng.random() < LONG_SHARE
        job.class_name = 'long' if is_long else 'short'
        job.priority = LONG_PRIORITY if is_long else SHORT_PRIORITY
        mean = LONG_MEAN_S if is_long else SHORT_MEAN_S
        job.work_s = mean * (0.5 + rng.random())
    return jobs


def _is_kept(time_s, rng):
    """Return whether an arrival is kept; low halves of a swing have fewer."""
    on_peak = int(time_s / HALF_SWING_S) % 2 == 0
    return on_peak or rng.random() < (2 - SWING_FACTOR) / SWING_FACTOR


def run_ours(seed):
    """Run all jobs through admission queues with priorities; return them."""
    simulation = fleet.Fleet(seed, ENGINES, SLOTS)
    queues = queueing.FleetQueues(simulation, lambda _: None)
    expected = {'short': SHORT_MEAN_S, 'long': LONG_MEAN_S}

    def arrive(job):
        queues.arrive(job, expected[job.class_name])

    return fleet.run_jobs(simulation, make_jobs(seed), arrive, UNTIL_S)


def run_naive(seed):
    """Run all jobs first come, first served; return them."""
    simulation = fleet.Fleet(seed, ENGINES, SLOTS)
    return fleet.run_naive(simulation, make_jobs(seed), UNTIL_S)


def measure(jobs, class_name):
    """Return the 99th percentile of a class's waits, in seconds."""
    waits = [
        job.wait_s
        for job in jobs
        if job.class_name == class_name and job.arrived_at > WARM_UP_S
    ]
    return fleet.compute_percentile(waits, 99)
