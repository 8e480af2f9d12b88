"""The six experiments, each compared with naive baselines."""

import msgspec

from arbutuschute.load import cost
from arbutuschute.load import exposure
from arbutuschute.load import fleet
from arbutuschute.load import latency
from arbutuschute.load import peak
from arbutuschute.load import slowed
from arbutuschute.load import waiting

ROUNDING_S = 0.0005


class Row(msgspec.Struct):
    """One figure and its baseline; ``ratio`` is ours divided by naive."""

    experiment: str
    measure: str
    unit: str
    ours: float
    naive: float | None
    ratio: float | None
    target: str
    met: bool | None


def make_row(experiment, measure, unit, ours, naive, target, met, ratio=None):
    """Return a row with rounded figures."""
    if ratio is None and naive:
        ratio = ours / naive
    return Row(
        experiment,
        measure,
        unit,
        round(ours, 4),
        None if naive is None else round(naive, 4),
        None if ratio is None else round(ratio, 4),
        target,
        met,
    )


def run_exposure(seed):
    """Measure requests to bad versions, on shared and on own evidence."""
    ours = exposure.measure_exposure(seed, True)
    naive = exposure.measure_exposure(seed, False)
    false = exposure.count_false_halts(seed) / exposure.CLEAN_ROLLOUTS
    limit, max_false = exposure.EXPOSURE_TARGET, exposure.FALSE_HALT_TARGET
    return [
        make_row('exposure', 'bad-version requests', 'requests', ours, naive,
                 f'ratio <= {limit}', ours <= limit * naive),
        make_row('exposure', 'clean roll-outs halted', 'share', false, None,
                 f'<= {max_false}', false <= max_false),
    ]  # fmt: skip


def run_cost(seed):
    """Measure cost per request at the quality target."""
    tallies = cost.run_ours(seed)
    ours, quality = cost.aggregate(tallies)
    worst = min(tally.good / tally.count for tally in tallies.values())
    expensive, _ = cost.aggregate(cost.run_always_expensive(seed))
    names = [context.name for context in cost.CONTEXTS]
    fixed = dict.fromkeys(names, cost.NAIVE_CONFIDENCE)
    cheap_first, _ = cost.aggregate(cost.run_threshold(seed, fixed))
    plans = {c.name: cost.compute_static_plan(c) for c in cost.CONTEXTS}
    static, _ = cost.aggregate(cost.run_threshold(seed, plans))
    good = worst >= cost.TARGET_QUALITY
    limit, static_limit = cost.EXPENSIVE_RATIO_TARGET, cost.STATIC_RATIO_TARGET
    name = 'cost-at-quality'
    return [
        make_row(name, 'against always dear', 'cost/request', ours, expensive,
                 f'ratio <= {limit}', good and ours <= limit * expensive),
        make_row(name, 'against best static plan', 'cost/request', ours,
                 static, f'ratio <= {static_limit}',
                 good and ours <= static_limit * static),
        make_row(name, 'against cheap then dear', 'cost/request', ours,
                 cheap_first, 'reported', None),
        make_row(name, 'quality of the worst class', 'share good', worst,
                 None, f'>= {cost.TARGET_QUALITY}', good),
        make_row(name, 'quality over all', 'share good', quality, None,
                 'reported', None),
    ]  # fmt: skip


def run_waiting(seed):
    """Measure waits of short and long work under swings of demand."""
    ours, naive = waiting.run_ours(seed), waiting.run_naive(seed)
    rows = []
    for class_name, target in (
        ('short', waiting.SHORT_TARGET),
        ('long', waiting.LONG_TARGET),
    ):
        mine = waiting.measure(ours, class_name)
        theirs = waiting.measure(naive, class_name)
        rows.append(
            make_row('head-of-line', f'p99 wait of {class_name} work', 's',
                     mine, theirs, f'ratio <= {target}',
                     mine <= target * theirs)
        )  # fmt: skip
    return rows


def run_peak(seed):
    """Measure goodput and shares at the peaks of demand."""
    ours, naive = peak.run_ours(seed), peak.run_naive(seed)
    good = peak.measure_goodput(ours)
    share = peak.measure_in_time_share(ours, 'smallest')
    run_anyway = peak.count_refused_but_run(ours)
    min_good, min_share = peak.GOODPUT_TARGET, peak.SHARE_TARGET
    return [
        make_row('crest', 'goodput of capacity', 'share', good,
                 peak.measure_goodput(naive), f'>= {min_good}',
                 good >= min_good),
        make_row('crest', "smallest organisation's part", 'share', share,
                 peak.measure_in_time_share(naive, 'smallest'),
                 f'>= {min_share}', share >= min_share),
        make_row('crest', 'refused but run', 'requests', run_anyway, None,
                 '0', run_anyway == 0),
    ]  # fmt: skip


def run_slowed(seed):
    """Measure tail latency while two of nine servers are slowed."""

    def measure(choose, is_slowed=True, **options):
        times = slowed.run_policy(seed, choose, is_slowed, **options)
        return fleet.compute_percentile(times, 99)

    ours = fleet.choose_ours
    unslowed = measure(ours, is_slowed=False, **slowed.OURS)
    p99_s = measure(ours, **slowed.OURS)
    limit = slowed.TARGET
    rows = [
        make_row('slowed', 'p99 against none slowed', 's', p99_s, unslowed,
                 f'ratio <= {limit}', p99_s <= limit * unslowed),
    ]  # fmt: skip
    for name, choose in fleet.CHOICES.items():
        rows.append(
            make_row('slowed', f'p99 against {name}', 's', p99_s,
                     measure(choose), 'reported', None)
        )  # fmt: skip
    shared = measure(ours, shares_pace=True, migrates=True)
    stays = measure(ours, shares_pace=False, migrates=False)
    rows.append(
        make_row('slowed', 'p99 against pace shared by all', 's', p99_s,
                 shared, 'reported', None)
    )  # fmt: skip
    rows.append(
        make_row('slowed', 'p99 against streams that stay', 's', p99_s, stays,
                 'reported', None)
    )  # fmt: skip
    return rows


def run_latency(seed):
    """Measure the time of one choice, and waits for a slot by load."""
    choice_us = latency.measure_choice()
    limit = latency.CHOICE_TARGET_US
    rows = [
        make_row('latency', 'choice among 1,200 engines (clock)', 'us',
                 choice_us, None, f'< {limit}', choice_us < limit),
    ]  # fmt: skip
    for load in latency.LOADS:
        ours = _measure_wait(seed, fleet.choose_ours, load)
        found = {
            name: _measure_wait(seed, choose, load)
            for name, choose in fleet.CHOICES.items()
        }
        name = min(found, key=found.get)
        rows.append(
            make_row('latency', f'p95 wait at load {load} ({name})', 's',
                     ours, found[name], 'no worse',
                     ours <= found[name] + ROUNDING_S)
        )  # fmt: skip
    return rows


def _measure_wait(seed, choose, load):
    return fleet.compute_percentile(latency.run_policy(seed, choose, load), 95)


EXPERIMENTS = {
    'exposure': run_exposure,
    'cost-at-quality': run_cost,
    'head-of-line': run_waiting,
    'crest': run_peak,
    'slowed': run_slowed,
    'latency': run_latency,
}
