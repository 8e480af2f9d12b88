"""Requests that a bad version gets until it is halted, and false halts."""

import random

from arbutuschute.policy import guard

INSTANCES = 7
RATE_S = 70.0
SHARES = (0.05, 0.25, 1.0)
STEP_S = 300
RATED_SHARE = 0.2
RATING_DELAY_S = 5
HEARTBEAT_S = 1
HALT_SPREADS_S = 1
ROLLOUTS = 40
CLEAN_ROLLOUTS = 200
USUAL = {'error': 0.01, 'slow': 0.05, 'bad': 0.1}
FAULTS = (
    {'error': 0.1},
    {'error': 0.4},
    {'slow': 0.3},
    {'bad': 0.35},
)
EXPOSURE_TARGET = 0.25
FALSE_HALT_TARGET = 0.01


class Rollout:
    """One roll-out on several instances, second by second."""

    __slots__ = ('_late', '_random', 'exposed', 'guards', 'halted', 'rates')

    def __init__(self, seed, rates):
        self._random = random.Random(seed)
        self.rates = rates
        self.guards = [guard.Guard() for _ in range(INSTANCES)]
        self.halted = [None] * INSTANCES
        self.exposed = 0
        self._late = []

    def run(self, shared):
        """Run all steps; ``shared`` gives every instance all evidence."""
        for second in range(STEP_S * len(SHARES)):
            share = SHARES[second // STEP_S]
            self._rate_late(second)
            for index, judge in enumerate(self.guards):
                self._serve(index, judge, share, second)
            if shared:
                self._judge_together(second)
            else:
                self._judge_alone(second)
            if all(at is not None and at <= second for at in self.halted):
                break
        return self

    def _serve(self, index, judge, share, second):
        mean = RATE_S / INSTANCES
        halted_at = self.halted[index]
        is_halted = halted_at is not None and second >= halted_at
        new_share = 0.0 if is_halted else share
        for _ in range(self._draw_count(mean * new_share)):
            self.exposed += 1
            self._observe(judge, 'new', self.rates, second)
        old = max(1.0 - new_share, 0.0)
        for _ in range(self._draw_count(mean * old)):
            self._observe(judge, 'old', USUAL, second)

    def _draw_count(self, mean):
        """Return a Poisson count."""
        count = 0
        time = self._random.expovariate(1.0)
        while time < mean:
            count += 1
            time += self._random.expovariate(1.0)
        return count

    def _observe(self, judge, version, rates, second):
        rng = self._random
        judge.record(version, 'error', rng.random() < rates['error'])
        judge.record(version, 'slow', rng.random() < rates['slow'])
        if rng.random() < RATED_SHARE:
            bad = rng.random() < rates['bad']
            self._late.append((second + RATING_DELAY_S, judge, version, bad))

    def _rate_late(self, second):
        while self._late and self._late[0][0] <= second:
            _, judge, version, bad = self._late.pop(0)
            judge.record(version, 'bad', bad)

    def _judge_alone(self, second):
        for index, judge in enumerate(self.guards):
            if self.halted[index] is None and judge.find_fault('new', 'old'):
                self.halted[index] = second + 1

    def _judge_together(self, second):
        if self.halted[0] is not None or second % HEARTBEAT_S:
            return
        judge = self.guards[0]
        if judge.find_fault('new', 'old'):
            self.halted = [second + 1 + HALT_SPREADS_S] * INSTANCES
            self.halted[0] = second + 1
        for index, other in enumerate(self.guards[1:]):
            judge.merge_peer(index, other.export())


def measure_exposure(seed, shared):
    """Return bad-version requests over all faulty roll-outs."""
    return sum(
        Rollout(f'{seed}/{kind}/{number}', {**USUAL, **fault})
        .run(shared)
        .exposed
        for kind, fault in enumerate(FAULTS)
        for number in range(ROLLOUTS // len(FAULTS))
    )


def count_false_halts(seed):
    """Return how many clean roll-outs were halted on shared evidence."""
    return sum(
        any(Rollout(f'{seed}/clean/{n}', USUAL).run(True).halted)
        for n in range(CLEAN_ROLLOUTS)
    )
