"""When a cheaper model is good enough: learned per profile and class.

An engine tells how confident it is in an answer. From answers that the
rating service has judged, a learner knows how often answers of each
confidence are good, and picks the cheapest plan whose quality, by a lower
confidence bound, reaches the profile's target.
"""

import msgspec

from arbutuschute.policy import bounds

BINS = 20
CONFIDENCE_DEVIATIONS = 1.0
LEARNING_TRIALS = 300
LEARNING_SHARE = 0.15
MONITORING_SHARE = 0.01
PRIOR_TRIALS = 2.0


class Plan(msgspec.Struct, frozen=True):
    """``threshold`` is the least confidence bin of a cheap answer to keep.

    0 keeps every cheap answer; ``BINS`` goes straight to the dear model.
    """

    threshold: int
    quality: float
    cost: float

    @property
    def tries_cheap(self):
        """Whether the cheap model is asked at all."""
        return self.threshold < BINS


def get_bin(confidence):
    """Return the bin of a confidence in 0..1."""
    return min(int(confidence * BINS), BINS - 1)


def compute_lower_rate(good, trials):
    """Return a lower confidence bound of a success rate (Wilson)."""
    if not trials:
        return 0.0
    return bounds.compute_bounds(good, trials, CONFIDENCE_DEVIATIONS)[0]


class Learner:
    """What is known of one profile and class; counters only grow."""

    __slots__ = ('cheap_good', 'cheap_rated', 'expensive', 'seen')

    def __init__(self):
        self.seen = [0] * BINS
        self.cheap_rated = [0] * BINS
        self.cheap_good = [0] * BINS
        self.expensive = [0, 0]

    def record_cheap(self, confidence):
        """Count a cheap answer, rated or not."""
        self.seen[get_bin(confidence)] += 1

    def rate_cheap(self, confidence, good):
        """Count the rating of a cheap answer."""
        index = get_bin(confidence)
        self.cheap_rated[index] += 1
        self.cheap_good[index] += good

    def rate_expensive(self, good):
        """Count the rating of a dear answer."""
        self.expensive[0] += good
        self.expensive[1] += 1

    @property
    def trials(self):
        """How many cheap answers were rated."""
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
