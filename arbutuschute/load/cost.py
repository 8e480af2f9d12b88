"""Cost at the quality target: learned plans against static ones."""

import collections
import random

import msgspec

from arbutuschute.policy import cascade

REQUESTS = 120_000
CHEAP_COST = 0.1
DEAR_COST = 1.0
TARGET_QUALITY = 0.9
RATED_SHARE = 0.2
RATING_DELAY = 2_000
PLAN_EVERY = 200
NAIVE_CONFIDENCE = 0.5
GRID = 400
DEAR_RATIO_TARGET = 0.6
STATIC_RATIO_TARGET = 1.15


class Context(msgspec.Struct, frozen=True):
    """True rates of one profile and class, unknown to the policy."""

    name: str
    share: float
    cheap: float
    dear: float
    sharpness: float


CONTEXTS = (
    Context('pallet tag', 0.3, 0.97, 0.98, 3.0),
    Context('photo class', 0.2, 0.9, 0.95, 3.0),
    Context('note summary', 0.2, 0.84, 0.95, 4.0),
    Context('service history', 0.15, 0.72, 0.95, 4.0),
    Context('inspection report', 0.1, 0.45, 0.95, 3.0),
    Context('rejected lot', 0.05, 0.6, 0.93, 1.2),
)


class Tally:
    """Cost and quality of the answers that callers got."""

    __slots__ = ('cost', 'count', 'good')

    def __init__(self):
        self.cost = 0.0
        self.count = 0
        self.good = 0

    def add(self, cost, good):
        """Count one answer."""
        self.cost += cost
        self.count += 1
        self.good += good


def draw(rng, context):
    """Return (cheap answer good, its confidence, dear answer good)."""
    cheap_good = rng.random() < context.cheap
    sharpness = context.sharpness
    if cheap_good:
        confidence = rng.betavariate(2 * sharpness, 2.0)
    else:
        confidence = rng.betavariate(2.0, sharpness)
    return cheap_good, confidence, rng.random() < context.dear


def make_requests(seed, count=REQUESTS):
    """Yield (context, draw) pairs, the same for every policy."""
    rng = random.Random(seed)
    weights = [context.share for context in CONTEXTS]
    for _ in range(count):
        context = rng.choices(CONTEXTS, weights)[0]
        yield context, draw(rng, context)


def run_ours(seed):
    """Return a tally per context of the learned plans."""
    rng = random.Random(f'{seed}/ours')
    learners = {c.name: cascade.Learner() for c in CONTEXTS}
    plans = {c.name: None for c in CONTEXTS}
    tallies = collections.defaultdict(Tally)
    late = collections.deque()
    for number, (context, drawn) in enumerate(make_requests(seed)):
        while late and late[0][0] <= number:
            _, rate, arguments = late.popleft()
            rate(*arguments)
        learner = learners[context.name]
        if number % PLAN_EVERY == 0 or plans[context.name] is None:
            for name, known in learners.items():
                plans[name] = known.choose_plan(
                    CHEAP_COST, DEAR_COST, TARGET_QUALITY
                )
        cost, good, rates = _serve(plans[context.name], learner, drawn, rng)
        tallies[context.name].add(cost, good)
        for rate, arguments in rates:
            late.append((number + RATING_DELAY, rate, arguments))
    return tallies


def _serve(plan, learner, drawn, rng):
    """Serve one request; return (cost, good, ratings that will come)."""
    cheap_good, confidence, dear_good = drawn
    learning = rng.random() < learner.get_learning_share()
    cost = 0.0
    rates = []
    if plan.tries_cheap or learning:
        cost += CHEAP_COST
        learner.record_cheap(confidence)
        if learning or rng.random() < RATED_SHARE:
            rates.append((learner.rate_cheap, (confidence, cheap_good)))
        if cascade.get_bin(confidence) >= plan.threshold:
            return cost, cheap_good, rates
    cost += DEAR_COST
    if rng.random() < RATED_SHARE:
        rates.append((learner.rate_expensive, (dear_good,)))
    return cost, dear_good, rates


def run_always_dear(seed):
    """Return a tally per context of the dear model alone."""
    tallies = collections.defaultdict(Tally)
    for context, (_, _, dear_good) in make_requests(seed):
        tallies[context.name].add(DEAR_COST, dear_good)
    return tallies


def run_threshold(seed, thresholds):
    """Return a tally per context of fixed confidence thresholds.

    A threshold of None goes straight to the dear model.
    """
    tallies = collections.defaultdict(Tally)
    for context, (cheap_good, confidence, dear_good) in make_requests(seed):
        threshold = thresholds[context.name]
        if threshold is None:
            tallies[context.name].add(DEAR_COST, dear_good)
        elif confidence >= threshold:
            tallies[context.name].add(CHEAP_COST, cheap_good)
        else:
            tallies[context.name].add(CHEAP_COST + DEAR_COST, dear_good)
    return tallies


def find_static_plan(context):
    """Return the cheapest fixed threshold that reaches the target.

    It is found by drawing from the context's true rates beforehand.
    """
    rng = random.Random(f'static/{context.name}')
    drawn = [draw(rng, context) for _ in range(40_000)]
    best_cost, best = DEAR_COST, None
    for step in range(GRID + 1):
        threshold = step / GRID
        good = cost = 0.0
        for cheap_good, confidence, _ in drawn:
            if confidence >= threshold:
                good += cheap_good
                cost += CHEAP_COST
            else:
                good += context.dear
                cost += CHEAP_COST + DEAR_COST
        cost /= len(drawn)
        if good / len(drawn) >= TARGET_QUALITY and cost < best_cost:
            best_cost, best = cost, threshold
    return best


def sum_up(tallies):
    """Return (cost per request, quality) over all contexts."""
    count = sum(tally.count for tally in tallies.values())
    cost = sum(tally.cost for tally in tallies.values())
    good = sum(tally.good for tally in tallies.values())
    return cost / count, good / count
