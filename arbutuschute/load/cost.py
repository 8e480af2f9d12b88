"""Cost at the quality target: learned cascade plans against static ones."""

import collections
import random

import msgspec

from arbutuschute.policy import cascade

REQUESTS = 120_000
CHEAP_COST = 0.1
EXPENSIVE_COST = 1.0
TARGET_QUALITY = 0.9
RATED_SHARE = 0.2
RATING_DELAY_REQUESTS = 2_000
PLAN_PERIOD_REQUESTS = 200
NAIVE_CONFIDENCE = 0.5
THRESHOLD_STEPS = 400
EXPENSIVE_RATIO_TARGET = 0.6
STATIC_RATIO_TARGET = 1.15


class Context(msgspec.Struct, frozen=True):
    """The true rates of one kind of requests, which the policy must learn."""

    name: str
    share: float
    cheap: float
    expensive: float
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
    """Cost and quality of the responses that callers got."""

    __slots__ = ('cost', 'count', 'good')

    def __init__(self):
        self.cost = 0.0
        self.count = 0
        self.good = 0

    def add(self, cost, good):
        """Count one response."""
        self.cost += cost
        self.count += 1
        self.good += good


def sample_quality(rng, context):
    """Return (cheap is good, confidence of cheap, expensive is good)."""
    cheap_good = rng.random() < context.cheap
    sharpness = context.sharpness
    if cheap_good:
        confidence = rng.betavariate(2 * sharpness, 2.0)
    else:
        confidence = rng.betavariate(2.0, sharpness)
    return cheap_good, confidence, rng.random() < context.expensive


def make_requests(seed, count=REQUESTS):
    """Yield (context, sample) pairs, the same for every policy."""
    rng = random.Random(seed)
    weights = [context.share for context in CONTEXTS]
    for _ in range(count):
        context = rng.choices(CONTEXTS, weights)[0]
        yield context, sample_quality(rng, context)


def run_ours(seed):
    """Return the tallies of the learned plans, by context."""
    rng = random.Random(f'{seed}/ours')
    learners = {c.name: cascade.Learner() for c in CONTEXTS}
    plans = {c.name: None for c in CONTEXTS}
    tallies = collections.defaultdict(Tally)
    pending_ratings = collections.deque()
    for number, (context, sampled) in enumerate(make_requests(seed)):
        while pending_ratings and pending_ratings[0][0] <= number:
            _, rate, arguments = pending_ratings.popleft()
            rate(*arguments)
        learner = learners[context.name]
        if number % PLAN_PERIOD_REQUESTS == 0 or plans[context.name] is None:
            for name, context_learner in learners.items():
                plans[name] = context_learner.choose_plan(
                    CHEAP_COST, EXPENSIVE_COST, TARGET_QUALITY
                )
        cost, good, rates = _serve(plans[context.name], learner, sampled, rng)
        tallies[context.name].add(cost, good)
        for rate, arguments in rates:
            pending_ratings.append(
                (number + RATING_DELAY_REQUESTS, rate, arguments)
            )
    return tallies


def _serve(plan, learner, sampled, rng):
    """Serve one request; return (cost, good, ratings to record later)."""
    cheap_good, confidence, expensive_good = sampled
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
    cost += EXPENSIVE_COST
    if rng.random() < RATED_SHARE:
        rates.append((learner.rate_expensive, (expensive_good,)))
    return cost, expensive_good, rates


def run_always_expensive(seed):
    """Return the tallies of the expensive model alone, by context."""
    tallies = collections.defaultdict(Tally)
    for context, (_, _, expensive_good) in make_requests(seed):
        tallies[context.name].add(EXPENSIVE_COST, expensive_good)
    return tallies


def run_threshold(seed, thresholds):
    """Return the tallies of fixed confidence thresholds, by context.

    A threshold of None sends requests to the expensive model directly.
    """
    tallies = collections.defaultdict(Tally)
    for context, (cheap_good, confidence, expensive_good) in make_requests(
        seed
    ):
        threshold = thresholds[context.name]
        if threshold is None:
            tallies[context.name].add(EXPENSIVE_COST, expensive_good)
        elif confidence >= threshold:
            tallies[context.name].add(CHEAP_COST, cheap_good)
        else:
            tallies[context.name].add(
                CHEAP_COST + EXPENSIVE_COST, expensive_good
            )
    return tallies


def compute_static_plan(context):
    """Return the cheapest fixed threshold that reaches the target.

    It is computed from samples of the context's true rates. None means
    that the expensive model alone is cheapest.
    """
    rng = random.Random(f'static/{context.name}')
    sampled = [sample_quality(rng, context) for _ in range(40_000)]
    best_cost, best_threshold = EXPENSIVE_COST, None
    for step in range(THRESHOLD_STEPS + 1):
        threshold = step / THRESHOLD_STEPS
        good = cost = 0.0
        for cheap_good, confidence, _ in sampled:
            if confidence >= threshold:
                good += cheap_good
                cost += CHEAP_COST
            else:
                good += context.expensive
                cost += CHEAP_COST + EXPENSIVE_COST
        cost /= len(sampled)
        if good / len(sampled) >= TARGET_QUALITY and cost < best_cost:
            best_cost, best_threshold = cost, threshold
    return best_threshold


def aggregate(tallies):
    """Return (cost per request, quality) over all contexts."""
    count = sum(tally.count for tally in tallies.values())
    cost = sum(tally.cost for tally in tallies.values())
    good = sum(tally.good for tally in tallies.values())
    return cost / count, good / count
