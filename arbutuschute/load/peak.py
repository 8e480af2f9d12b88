"""Service at the crest of a threefold swing, and who gets it."""

import collections

from arbutuschute.load import fleet
from arbutuschute.load import queueing
from arbutuschute.load import simulated

SECONDS = 240.0
UNTIL_S = SECONDS + 2_000.0
ENGINES = 9
SLOTS = 16
BASE_LOAD = 0.8
SWING = 3.0
PERIOD_S = 60.0
PEAK_S = (20.0, 40.0)
SETTLE_S = 2.0
SLACK_S = 4.0
DEMANDS = {
    'large-a': 0.36, 'large-b': 0.34, 'middle-a': 0.1, 'middle-b': 0.08,
    'small-a': 0.04, 'small-b': 0.03, 'small-c': 0.02, 'small-d': 0.015,
    'small-e': 0.01, 'smallest': 0.005,
}  # fmt: skip
GOODPUT_TARGET = 0.95
SHARE_TARGET = 0.9


def is_peak(time_s, settle_s=0.0):
    """Tell whether a time lies on a crest of the swing."""
    phase = time_s % PERIOD_S
    return PEAK_S[0] + settle_s <= phase < PEAK_S[1]


def make_jobs(seed):
    """Return arrivals whose rate triples for a third of each minute."""
    rng = fleet.random.Random(seed)
    rate_s = BASE_LOAD * ENGINES * SLOTS / fleet.find_mean_work(seed)
    names, weights = list(DEMANDS), list(DEMANDS.values())
    jobs = []
    now = 0.0
    while now < SECONDS:
        now += rng.expovariate(rate_s * SWING)
        if not is_peak(now) and rng.random() > 1 / SWING:
            continue
        work_s = fleet.draw_heavy_work(rng)
        jobs.append(
            simulated.Job(
                len(jobs), now, work_s, rng.choices(names, weights)[0],
                deadline_s=SLACK_S + 2 * work_s, priority=4,
            )
        )  # fmt: skip
    return jobs


def run_ours(seed):
    """Return all jobs after they went through the gates."""
    made = fleet.Fleet(seed, ENGINES, SLOTS)
    gates = queueing.FleetQueues(made, lambda _: None)
    mean_s = fleet.find_mean_work(seed)

    def arrive(job):
        gates.arrive(job, mean_s)

    return fleet.run_jobs(made, make_jobs(seed), arrive, UNTIL_S)


def run_naive(seed):
    """Return all jobs, first come first served without shares."""
    made = fleet.Fleet(seed, ENGINES, SLOTS)
    return fleet.run_naive(made, make_jobs(seed), UNTIL_S)


def measure_goodput(jobs):
    """Return work done in time on the crests, as a share of capacity.

    Work counts when it ends in time; it may end after the crest if it
    arrived on it, so the share is of what the slots can do in that time.
    """
    peaks = int(SECONDS / PERIOD_S)
    span_s = PEAK_S[1] - PEAK_S[0] - SETTLE_S
    capacity_s = peaks * span_s * ENGINES * SLOTS
    done_s = sum(
        job.work_s
        for job in jobs
        if job.is_in_time and is_peak(job.ended_at, SETTLE_S)
    )
    return done_s / capacity_s


def measure_share(jobs, organisation):
    """Return the part of an organisation's crest work done in time."""
    counts = collections.Counter(
        job.is_in_time
        for job in jobs
        if job.organisation == organisation and is_peak(job.arrived_at)
    )
    return counts[True] / max(1, counts.total())


def count_untrue(jobs):
    """Return refused jobs that an engine ran all the same."""
    return sum(job.refused and job.started_at is not None for job in jobs)
