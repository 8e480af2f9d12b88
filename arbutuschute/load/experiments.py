"""The brief's six measures, each against its naive baselines."""

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
    """One figure; ``ratio`` is what the target speaks of, if it is one."""

    experiment: str
    measure: str
    unit: str
    ours: float
    naive: float | None
    ratio: float | None
    target: str
    met: bool | None


def make_row(experiment, measure, unit, ours, naive, target, met, ratio=None):
    """Return a row with figures rounded for people."""
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
    """Bad-version requests, on shared evidence and on each one's own."""
    ours = exposure.measure_exposure(seed, True)
    naive = exposure.measure_exposure(seed, False)
    false = exposure.count_false_halts(seed) / exposure.CLEAN_ROLLOUTS
    limit, most = exposure.EXPOSURE_TARGET, exposure.FALSE_HALT_TARGET
    return [
        make_row('exposure', 'bad-version requests', 'requests', ours, naive,
                 f'ratio <= {limit}', ours <= limit * naive),
        make_row('exposure', 'clean roll-outs halted', 'share', false, None,
                 f'<= {most}', false <= most),
    ]  # fmt: skip


def run_cost(seed):
    """Cost per request at the quality target, against three baselines."""
    tallies = cost.run_ours(seed)
    ours, quality = cost.sum_up(tallies)
    worst = min(tally.good / tally.count for tally in tallies.values())
    dear, _ = cost.sum_up(cost.run_always_dear(seed))
    names = [context.name for context in cost.CONTEXTS]
    fixed = dict.fromkeys(names, cost.NAIVE_CONFIDENCE)
    both, _ = cost.sum_up(cost.run_threshold(seed, fixed))
    plans = {c.name: cost.find_static_plan(c) for c in cost.CONTEXTS}
    static, _ = cost.sum_up(cost.run_threshold(seed, plans))
    good = worst >= cost.TARGET_QUALITY
    most, near = cost.DEAR_RATIO_TARGET, cost.STATIC_RATIO_TARGET
    name = 'cost-at-quality'
    return [
        make_row(name, 'against always dear', 'cost/request', ours, dear,
                 f'ratio <= {most}', good and ours <= most * dear),
        make_row(name, 'against best static plan', 'cost/request', ours,
                 static, f'ratio <= {near}', good and ours <= near * static),
        make_row(name, 'against cheap then dear', 'cost/request', ours, both,
                 'reported', None),
        make_row(name, 'quality of the worst class', 'share good', worst,
                 None, f'>= {cost.TARGET_QUALITY}', good),
        make_row(name, 'quality over all', 'share good', quality, None,
                 'reported', None),
    ]  # fmt: skip


def run_waiting(seed):
    """Waits of short and long work under swings of demand."""
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
    """Goodput and shares at a threefold swing."""
    ours, naive = peak.run_ours(seed), peak.run_naive(seed)
    good = peak.measure_goodput(ours)
    share = peak.measure_share(ours, 'smallest')
    untrue = peak.count_untrue(ours)
    least, fair = peak.GOODPUT_TARGET, peak.SHARE_TARGET
    return [
        make_row('crest', 'goodput of capacity', 'share', good,
                 peak.measure_goodput(naive), f'>= {least}', good >= least),
        make_row('crest', "smallest organisation's part", 'share', share,
                 peak.measure_share(naive, 'smallest'), f'>= {fair}',
                 share >= fair),
        make_row('crest', 'refused but run', 'requests', untrue, None,
                 '0', untrue == 0),
    ]  # fmt: skip


def run_slowed(seed):
    """Tail latency while two of nine servers are slowed for moments."""

    def measure(choose, is_slowed=True, **options):
        times = slowed.run_policy(seed, choose, is_slowed, **options)
        return fleet.percentile(times, 99)

    ours = fleet.choose_ours
    none = measure(ours, is_slowed=False, **slowed.OURS)
    kept = measure(ours, **slowed.OURS)
    limit = slowed.TARGET
    rows = [
        make_row('slowed', 'p99 against none slowed', 's', kept, none,
                 f'ratio <= {limit}', kept <= limit * none),
    ]  # fmt: skip
    for name, choose in fleet.CHOICES.items():
        rows.append(
            make_row('slowed', f'p99 against {name}', 's', kept,
                     measure(choose), 'reported', None)
        )  # fmt: skip
    shared = measure(ours, shares_pace=True, migrates=True)
    stays = measure(ours, shares_pace=False, migrates=False)
    rows.append(
        make_row('slowed', 'p99 against pace shared by all', 's', kept,
                 shared, 'reported', None)
    )  # fmt: skip
    rows.append(
        make_row('slowed', 'p99 against streams that stay', 's', kept, stays,
                 'reported', None)
    )  # fmt: skip
    return rows


def run_latency(seed):
    """Cost of one choice, and waits for the first token at any load."""
    spent = latency.measure_choice()
    limit = latency.CHOICE_TARGET_US
    rows = [
        make_row('latency', 'choice among 1,200 engines (clock)', 'us',
                 spent, None, f'< {limit}', spent < limit),
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
    return fleet.percentile(latency.run_policy(seed, choose, load), 95)


EXPERIMENTS = {
    'exposure': run_exposure,
    'cost-at-quality': run_cost,
    'head-of-line': run_waiting,
    'crest': run_peak,
    'slowed': run_slowed,
    'latency': run_latency,
}
