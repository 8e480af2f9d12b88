"""Roll-out guard: when to halt a version, on all instances' evidence.

Each instance counts, for a version under roll-out and the one it
replaces, how often a request failed, was slow, or was rated bad. The
counters only grow, so messages may be lost, repeated or reordered.
The test is sequential and may be evaluated at any time: the chance that it
ever halts a version as good as the old one is bounded.
"""

import collections
import math

from arbutuschute import messages
from arbutuschute.policy import bounds

SIGNALS = ('error', 'slow', 'bad')
# Bound of the chance to halt a good version, for each signal.
FALSE_HALTS_PER_SIGNAL = 0.003
# Limits of a baseline failure rate.
RATE_FLOOR = 0.005
RATE_CEILING = 0.95
# Rises of the failure rate that the test looks for.
EFFECTS = (0.02, 0.05, 0.15, 0.4)
CONFIDENCE_DEVIATIONS = 2.0
MIN_TRIALS_TO_ADVANCE = 100
# Trials of the old version without which the new one is not halted.
MIN_REFERENCE_TRIALS = 50


class Counters:
    """Trials and failures by subject and signal, of one incarnation."""

    __slots__ = ('failures', 'trials')

    def __init__(self):
        self.trials = collections.Counter()
        self.failures = collections.Counter()

    def add(self, subject, failed, trials=1):
        """Count trials, ``failed`` of them failures."""
        self.trials[subject] += trials
        self.failures[subject] += failed

    def merge(self, subject, trials, failures):
        """Merge a copy of the same counters; the larger values hold."""
        self.trials[subject] = max(self.trials[subject], trials)
        self.failures[subject] = max(self.failures[subject], failures)


def compute_upper_rate(failures, trials):
    """Return Wilson's upper confidence bound of a failure rate."""
    if not trials:
        return 1.0
    _, bound = bounds.compute_bounds(failures, trials, CONFIDENCE_DEVIATIONS)
    return min(max(bound, RATE_FLOOR), RATE_CEILING)


def compute_evidence(failures, trials, baseline_rate, effects=EFFECTS):
    """Return the e-value against 'fails no more often than the baseline'.

    It is a mixture of likelihood ratios over rises of the rate. By Ville's
    inequality it ever exceeds 1/a with a chance of at most a, however often
    it is evaluated.
    """
    total = 0.0
    for effect in effects:
        worse = min(baseline_rate + effect, 0.99)
        ratio = failures * math.log(worse / baseline_rate)
        ratio += (trials - failures) * math.log(
            (1 - worse) / (1 - baseline_rate)
        )
        total += math.exp(min(ratio, 700.0))
    return total / len(effects)


def is_worse(new, old):
    """Return whether the evidence suffices to halt a version.

    ``new`` and ``old`` are (failures, trials) of one signal.
    """
    if not new[0] or old[1] < MIN_REFERENCE_TRIALS:
        return False
    baseline = compute_upper_rate(*old)
    return is_sufficient(compute_evidence(*new, baseline))


def is_sufficient(evidence):
    """Return whether an e-value suffices to halt a version."""
    return evidence >= 1 / FALSE_HALTS_PER_SIGNAL


class Guard:
    """Own evidence and that of peers, by incarnation."""

    __slots__ = ('_peers', 'own')

    def __init__(self):
        self.own = Counters()
        self._peers = {}

    def record(self, version, signal, failed):
        """Record one observation about a version."""
        self.own.add(f'{version}#{signal}', int(failed))

    def export(self):
        """Return the own counters as evidence for peers."""
        return tuple(
            messages.Evidence(subject, trials, self.own.failures[subject])
            for subject, trials in self.own.trials.items()
        )

    def merge_peer(self, identity, evidence):
        """Merge a peer's counters; each incarnation has its own."""
        counters = self._peers.setdefault(identity, Counters())
        for item in evidence:
            counters.merge(item.subject, item.trials, item.failures)

    def sum_counts(self, version, signal):
        """Return (failures, trials) of a version over all instances."""
        subject = f'{version}#{signal}'
        tables = (self.own, *self._peers.values())
        return (
            sum(table.failures[subject] for table in tables),
            sum(table.trials[subject] for table in tables),
        )

    def find_fault(self, new, old):
        """Return the signal by which ``new`` is worse, or None."""
        for signal in SIGNALS:
            if is_worse(
                self.sum_counts(new, signal), self.sum_counts(old, signal)
            ):
                return signal
        return None

    def may_advance(self, new):
        """Return whether there are enough trials for the next step."""
        _, trials = self.sum_counts(new, SIGNALS[0])
        return trials >= MIN_TRIALS_TO_ADVANCE
