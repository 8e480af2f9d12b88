"""Comparison of a new version with the old one, from all instances' counts."""

from arbutuschute.policy import guard

# Limits of a response's time, as multiples of the old version's median. Of its
# own responses a quarter exceed the first one, and of a version three times
# slower nearly all, even if that has fewer requests. The second one soon shows
# a version of which only a part is much slower.
PACES = {'slower': 1.5, 'much-slower': 4.0}
# Rises of the rate of slower responses that the test looks for.
PACE_EFFECTS = (0.15, 0.3, 0.6)
# Both versions are compared within a step, as the load changes between steps.
# At the last step the old version gets no requests. These are the steps of an
# operator's order on the platform.
COMPARED_STEPS = range(2)
# The signals of a failure and of a missed target count over the whole time.
SIGNALS = ('error', 'slow')
# Requests to the new version without which it is not advanced, and those whose
# times were compared. If all of these are slower, they suffice to reject.
MIN_TRIALS = 12
MIN_COMPARED = 8
# A version of which this much speaks for being worse is not advanced. A good
# one ever comes that far by a signal in one roll-out of ten at most.
MAX_EVIDENCE_TO_ADVANCE = 10.0
# Responses of the old version in a step without which the step says nothing.
MIN_PACE_REFERENCE = 20


def name_signal(pace, step):
    """Return the signal under which responses of a step are counted."""
    return f'{pace}-{step}'


def classify_pace(ratio, step):
    """Yield (signal, whether it counts) for a time over the median."""
    for pace, limit in PACES.items():
        yield name_signal(pace, step), ratio > limit


def list_pace_signals():
    """Return the signals of all paces and steps."""
    return [name_signal(p, step) for p in PACES for step in COMPARED_STEPS]


def compute_evidence(pace, steps, sum_counts):
    """Return the e-value against 'the new version is as fast as the old'.

    The evidence of separate steps multiplies. ``sum_counts(side, signal)``
    returns (slower responses, compared ones).
    """
    evidence = 1.0
    for step in steps:
        signal = name_signal(pace, step)
        old = sum_counts('old', signal)
        if old[1] >= MIN_PACE_REFERENCE:
            evidence *= guard.compute_evidence(
                *sum_counts('new', signal),
                guard.compute_upper_rate(*old),
                PACE_EFFECTS,
            )
    return evidence


def is_slower(pace, steps, sum_counts):
    """Return whether the evidence suffices to halt a slower version."""
    return guard.is_sufficient(compute_evidence(pace, steps, sum_counts))


def _compute_failure_evidence(new, old):
    """Return the e-value against 'the new version fails no more often'.

    ``new`` and ``old`` are (failures, trials); the old version needs some.
    """
    if old[1] < MIN_PACE_REFERENCE:
        return 1.0
    return guard.compute_evidence(*new, guard.compute_upper_rate(*old))


class Comparison:
    """Counts of one roll-out, as (failures, trials) by side and signal.

    A side is ``new`` or ``old``. The counts of other instances are their
    newest evidence; the own ones are those of now.
    """

    __slots__ = ('_others', '_own')

    def __init__(self):
        self._own = {'new': guard.Counters(), 'old': guard.Counters()}
        self._others = {}

    def record(self, side, signal, failed):
        """Record one outcome that this instance observed."""
        self._own[side].add(signal, int(failed))

    def record_pace(self, side, step, ratio):
        """Record a time as a multiple of the old version's median."""
        for signal, exceeds in classify_pace(ratio, step):
            self.record(side, signal, exceeds)

    def merge(self, evidence):
        """Replace what is known of the instance that wrote ``evidence``.

        The log may write older evidence after newer one.
        """
        known = self._others.get(evidence.instance)
        if known is None or known.elapsed_s <= evidence.elapsed_s:
            self._others[evidence.instance] = evidence

    def get_own(self, side):
        """Return this instance's counts of a side."""
        counters = self._own[side]
        return {
            signal: (counters.failures[signal], trials)
            for signal, trials in counters.trials.items()
        }

    def sum_counts(self, side, signal, instance):
        """Return (failures, trials) of all instances.

        ``instance`` is this one, whose own evidence is not counted twice.
        """
        own = self.get_own(side).get(signal, (0, 0))
        others = [
            getattr(evidence, side).get(signal, (0, 0))
            for name, evidence in self._others.items()
            if name != instance
        ]
        rows = (own, *others)
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    def sum_paces(self, side, instance):
        """Return (slower responses, compared ones) by signal."""
        return {
            signal: self.sum_counts(side, signal, instance)
            for signal in list_pace_signals()
        }

    def is_bad(self, instance):
        """Return whether the new version is worse by any signal."""

        def sum_counts(side, signal):
            return self.sum_counts(side, signal, instance)

        if any(is_slower(pace, COMPARED_STEPS, sum_counts) for pace in PACES):
            return True
        return any(
            guard.is_worse(
                sum_counts('new', signal), sum_counts('old', signal)
            )
            for signal in SIGNALS
        )

    def may_advance(self, instance, is_last_step=False):
        """Return whether the new version was tried enough, not a suspect.

        At the last step the old version gets no requests: its failures are
        of another time, so that they prove less.
        """

        def sum_counts(side, signal):
            return self.sum_counts(side, signal, instance)

        evidence = [
            compute_evidence(pace, COMPARED_STEPS, sum_counts)
            for pace in PACES
        ]
        if not is_last_step:
            evidence += [
                _compute_failure_evidence(
                    sum_counts('new', signal), sum_counts('old', signal)
                )
                for signal in SIGNALS
            ]
        return (
            self._has_enough_trials(instance)
            and max(evidence) < MAX_EVIDENCE_TO_ADVANCE
        )

    def _has_enough_trials(self, instance):
        _, trials = self.sum_counts('new', 'error', instance)
        if trials < MIN_TRIALS:
            return False
        signal = name_signal('slower', 0)
        _, compared = self.sum_counts('new', signal, instance)
        _, old = self.sum_counts('old', signal, instance)
        return compared >= MIN_COMPARED or old < MIN_PACE_REFERENCE
