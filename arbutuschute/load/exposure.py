"""Requests to a bad version until its roll-out is halted; false halts."""

import random

from arbutuschute.policy import guard

INSTANCES = 7
RATE_S = 70.0
SHARES = (0.05, 0.25, 1.0)
STEP_S = 300
RATED_SHARE = 0.2
RATING_DELAY_S = 5
HEARTBEAT_S = 1
HALT_DELAY_S = 1
ROLLOUTS = 40
CLEAN_ROLLOUTS = 200
BASELINE_RATES = {'error': 0.01, 'slow': 0.05, 'bad': 0.1}
FAULTS = (
    {'error': 0.1},
    {'error': 0.4},
    {'slow': 0.3},
    {'bad': 0.35},
)
EXPOSURE_TARGET = 0.25
FALSE_HALT_TARGET = 0.01


class Rollout:
    """One roll-out on several instances, simulated second by second."""

    __slots__ = (
        '_pending_ratings',
        '_random',
        'exposed',
        'guards',
        'halted',
        'rates',
    )

    def __init__(self, seed, rates):
        self._random = random.Random(seed)
        self.rates = rates
        self.guards = [guard.Guard() for _ in range(INSTANCES)]
        self.halted = [None] * INSTANCES
        self.exposed = 0
        self._pending_ratings = []

    def run(self, shares_evidence):
        """Run all steps, on shared evidence or on each instance's own."""
        for second in range(STEP_S * len(SHARES)):
            share = SHARES[second // STEP_S]
            self._record_due_ratings(second)
            for index, checker in enumerate(self.guards):
                self._serve(index, checker, share, second)
            if shares_evidence:
                self._evaluate_shared(second)
            else:
                self._evaluate_own(second)
            if all(at is not None and at <= second for at in self.halted):
                break
        return self

    def _serve(self, index, checker, share, second):
        mean = RATE_S / INSTANCES
        halted_at = self.halted[index]
        is_halted = halted_at is not None and second >= halted_at
        new_share = 0.0 if is_halted else share
        for _ in range(self._sample_count(mean * new_share)):
            self.exposed += 1
            self._observe(checker, 'new', self.rates, second)
        old = max(1.0 - new_share, 0.0)
        for _ in range(self._sample_count(mean * old)):
            self._observe(checker, 'old', BASELINE_RATES, second)

    def _sample_count(self, mean):
        """Return a Poisson-distributed count."""
        count = 0
        time = self._random.expovariate(1.0)
        while time < mean:
            count += 1
            time += self._random.expovariate(1.0)
        return count

    def _observe(self, checker, version, rates, second):
        rng = self._random
        checker.record(version, 'error', rng.random() < rates['error'])
        checker.record(version, 'slow', rng.random() < rates['slow'])
        if rng.random() < RATED_SHARE:
            bad = rng.random() < rates['bad']
            self._pending_ratings.append(
                (second + RATING_DELAY_S, checker, version, bad)
            )

    def _record_due_ratings(self, second):
        while self._pending_ratings and self._pending_ratings[0][0] <= second:
            _, checker, version, bad = self._pending_ratings.pop(0)
            checker.record(version, 'bad', bad)

    def _evaluate_own(self, second):
        for index, checker in enumerate(self.guards):
            if self.halted[index] is None and checker.find_fault('new', 'old'):
                self.halted[index] = second + 1

    def _evaluate_shared(self, second):
        if self.halted[0] is not None or second % HEARTBEAT_S:
            return
        checker = self.guards[0]
        if checker.find_fault('new', 'old'):
            self.halted = [second + 1 + HALT_DELAY_S] * INSTANCES
            self.halted[0] = second + 1
        for index, other in enumerate(self.guards[1:]):
            checker.merge_peer(index, other.export())


def measure_exposure(seed, shares_evidence):
    """Return the requests to bad versions in all faulty roll-outs."""
    return sum(
        Rollout(f'{seed}/{kind}/{number}', {**BASELINE_RATES, **fault})
        .run(shares_evidence)
        .exposed
        for kind, fault in enumerate(FAULTS)
        for number in range(ROLLOUTS // len(FAULTS))
    )


def count_false_halts(seed):
    """Return how many good roll-outs were halted, on shared evidence."""
    return sum(
        any(Rollout(f'{seed}/clean/{n}', BASELINE_RATES).run(True).halted)
        for n in range(CLEAN_ROLLOUTS)
    )
