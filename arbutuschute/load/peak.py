"""Goodput and shares at the peaks of a load that triples."""

import collections

from arbutuschute.load import fleet
from arbutuschute.load import queueing
from arbutuschute.load import simulated

DURATION_S = 240.0
UNTIL_S = DURATION_S + 2_000.0
ENGINES = 9
SLOTS = 16
BASE_LOAD = 0.8
SWING_FACTOR = 3.0
SWING_PERIOD_S = 60.0
PEAK_S = (20.0, 40.0)
SETTLE_S = 2.0
DEADLINE_SLACK_S = 4.0
DEMAND_SHARES = {
    'large-a': 0.36, 'large-b': 0.34, 'middle-a': 0.1, 'middle-b': 0.08,
    'small-a': 0.04, 'small-b': 0.03, 'small-c': 0.02, 'small-d': 0.015,
    'small-e': 0.01, 'smallest': 0.005,
}  # fmt: skip
GOODPUT_TARGET = 0.95
SHARE_TARGET = 0.9


def is_peak(time_s, settle_s=0.0):
    """Return whether a time is in a peak, ``settle_s`` after its start."""
    phase = time_s % SWING_PERIOD_S
    return PEAK_S[0] + settle_s <= phase < PEAK_S[1]


def make_jobs(seed):
    """Return arrivals whose rate triples in a third of each period."""
    rng = fleet.random.Random(seed)
    rate_s = BASE_LOAD * ENGINES * SLOTS / fleet.compute_mean_work_s(seed)
    names, weights = list(DEMAND_SHARES), list(DEMAND_SHARES.values())
    jobs = []
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(rate_s * SWING_FACTOR)
        if not is_peak(now) and rng.random() > 1 / SWING_FACTOR:
            continue
        work_s = fleet.sample_heavy_work(rng)
        jobs.append(
            simulated.Job(
                len(jobs), now, work_s, rng.choices(names, weights)[0],
                deadline_s=DEADLINE_SLACK_S + 2 * work_s, priority=4,
            )
        )  # fmt: skip
    return jobs


def run_ours(seed):
    """Run all jobs through the admission queues; return them."""
    simulation = fleet.Fleet(seed, ENGINES, SLOTS)
    queues = queueing.FleetQueues(simulation, lambda _: None)
    mean_s = fleet.compute_mean_work_s(seed)

    def arrive(job):
        queues.arrive(job, mean_s)

    return fleet.run_jobs(simulation, make_jobs(seed), arrive, UNTIL_S)


def run_naive(seed):
    """Run all jobs first come, first served, without shares; return them."""
    simulation = fleet.Fleet(seed, ENGINES, SLOTS)
    return fleet.run_naive(simulation, make_jobs(seed), UNTIL_S)


def measure_goodput(jobs):
    """Return work done in time at the peaks, as a share of capacity.

    A job counts if it ends in time and within a peak; the capacity is the
    work that all slots can do in that span.
    """
    peaks = int(DURATION_S / SWING_PERIOD_S)
    span_s = PEAK_S[1] - PEAK_S[0] - SETTLE_S
    capacity_s = peaks * span_s * ENGINES * SLOTS
    done_s = sum(
        job.work_s
        for job in jobs
        if job.is_in_time and is_peak(job.ended_at, SETTLE_S)
    )
    return done_s / capacity_s


def measure_in_time_share(jobs, organisation):
    """Return the share of an organisation's peak jobs that end in time."""
    counts = collections.Counter(
        job.is_in_time
        for job in jobs
        if job.organisation == organisation and is_peak(job.arrived_at)
    )
    return counts[True] / max(1, counts.total())


def count_refused_but_run(jobs):
    """Return the number of refused jobs that an engine ran nevertheless."""
    return sum(job.refused and job.started_at is not None for job in jobs)
