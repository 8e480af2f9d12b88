"""When a cheaper model is good enough, learned by profile and class.

An engine reports its confidence in an answer. From answers that the rating
service has rated, a learner estimates how often answers of each confidence
are good. It picks the cheapest plan whose quality, by a lower confidence
bound, reaches the profile's target.
"""

import msgspec

from arbutuschute.policy import bounds

# Bins of equal width into which confidences 0..1 are counted.
BINS = 20
CONFIDENCE_DEVIATIONS = 1.0
# Rated cheap answers from which the monitoring share is enough.
LEARNING_TRIALS = 300
LEARNING_SHARE = 0.15
MONITORING_SHARE = 0.01
# Weight of the target as a prior of the expensive model's quality.
PRIOR_TRIALS = 2.0


class Plan(msgspec.Struct, frozen=True):
    """``threshold`` is the lowest confidence bin of cheap answers to keep.

    0 keeps every cheap answer; ``BINS`` goes straight to the expensive model.
    """

    threshold: int
    quality: float
    cost: float

    @property
    def tries_cheap(self):
        """Whether the cheap model is queried."""
        return self.threshold < BINS


def get_bin(confidence):
    """Return the bin of a confidence in 0..1."""
    return min(int(confidence * BINS), BINS - 1)


def compute_lower_rate(good, trials):
    """Return Wilson's lower confidence bound of a success rate."""
    if not trials:
        return 0.0
    return bounds.compute_bounds(good, trials, CONFIDENCE_DEVIATIONS)[0]


class Learner:
    """Counters of one profile and class; they only grow."""

    __slots__ = ('cheap_good', 'cheap_rated', 'expensive', 'seen')

    def __init__(self):
        self.seen = [0] * BINS
        self.cheap_rated = [0] * BINS
        self.cheap_good = [0] * BINS
        self.expensive = [0, 0]

    def record_cheap(self, confidence):
        """Record a cheap answer, rated or not."""
        self.seen[get_bin(confidence)] += 1

    def rate_cheap(self, confidence, good):
        """Record the rating of a cheap answer."""
        index = get_bin(confidence)
        self.cheap_rated[index] += 1
        self.cheap_good[index] += good

    def rate_expensive(self, good):
        """Record the rating of an expensive answer."""
        self.expensive[0] += good
        self.expensive[1] += 1

    @property
    def trials(self):
        """The number of cheap answers that were rated."""
        return sum(self.cheap_rated)

    def choose_plan(self, cheap_cost, expensive_cost, target):
        """Return the cheapest ``Plan`` that reaches the target."""
        expensive_quality = (self.expensive[0] + PRIOR_TRIALS * target) / (
            self.expensive[1] + PRIOR_TRIALS
        )
        best = Plan(BINS, expensive_quality, expensive_cost)
        total = sum(self.seen)
        if not total:
            return best
        kept = good = rated = 0
        for threshold in range(BINS - 1, -1, -1):
            kept += self.seen[threshold]
            good += self.cheap_good[threshold]
            rated += self.cheap_rated[threshold]
            share = kept / total
            quality = share * compute_lower_rate(good, rated)
            quality += (1 - share) * expensive_quality
            cost = cheap_cost + (1 - share) * expensive_cost
            if quality >= target and cost < best.cost:
                best = Plan(threshold, quality, cost)
        return best

    def get_learning_share(self):
        """Return the share of requests on which to try the cheap model."""
        if self.trials < LEARNING_TRIALS:
            return LEARNING_SHARE
        return MONITORING_SHARE
