"""Short work behind long work: how long each waits for a slot."""

from arbutuschute.load import fleet
from arbutuschute.load import queueing

SECONDS = 300.0
UNTIL_S = SECONDS + 600.0
WARM_S = 20.0
ENGINES = 9
SLOTS = 16
LOAD = 0.9
SWING = 1.6
SWING_S = 10.0
LONG_SHARE = 0.06
SHORT_MEAN_S = 0.25
LONG_MEAN_S = 8.0
SHORT_PRIORITY = 0
LONG_PRIORITY = 6
SHORT_TARGET = 0.2
LONG_TARGET = 1.2


def make_jobs(seed):
    """Return arrivals in which a few jobs are many times longer."""
    mean_s = (1 - LONG_SHARE) * SHORT_MEAN_S + LONG_SHARE * LONG_MEAN_S
    rate_s = SWING * LOAD * ENGINES * SLOTS / mean_s
    jobs = fleet.make_arrivals(seed, rate_s, SECONDS, lambda rng: rng.random())
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
    """Thin out arrivals on the low half of each swing."""
    on_peak = int(time_s / SWING_S) % 2 == 0
    return on_peak or rng.random() < (2 - SWING) / SWING


def run_ours(seed):
    """Return all jobs after they went through gates and priorities."""
    made = fleet.Fleet(seed, ENGINES, SLOTS)
    gates = queueing.FleetQueues(made, lambda _: None)
    expected = {'short': SHORT_MEAN_S, 'long': LONG_MEAN_S}

    def arrive(job):
        gates.arrive(job, expected[job.class_name])

    return fleet.run_jobs(made, make_jobs(seed), arrive, UNTIL_S)


def run_naive(seed):
    """Return all jobs after least in flight, first come first served."""
    made = fleet.Fleet(seed, ENGINES, SLOTS)
    return fleet.run_naive(made, make_jobs(seed), UNTIL_S)


def measure(jobs, class_name):
    """Return the 99th percentile wait of a class, in seconds."""
    waits = [
        job.wait_s
        for job in jobs
        if job.class_name == class_name and job.arrived_at > WARM_S
    ]
    return fleet.percentile(waits, 99)
