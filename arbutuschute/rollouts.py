"""Roll-outs: evidence from requests, and decisions to advance or halt.

Every instance counts outcomes and sends its counters to two evaluators,
chosen by rendezvous hash. A decision is a log entry whose id follows from
its content, so duplicates, from both evaluators or repeated, have no effect.
"""

from arbutuschute import agreement
from arbutuschute.contracts import changes
from arbutuschute.contracts import fold
from arbutuschute import errors
from arbutuschute import messages
from arbutuschute.policy import comparison
from arbutuschute import streams

MAX_EVALUATORS = 2
# Reports that one evaluator receives from all routers.
REPORTS_PER_S = 100.0
FIRST_TOKEN_TARGET_S = 0.36
TOKEN_TARGET_S = 0.07
VERSION_FAULTS = (errors.AnswerBroken, errors.AnswerCrossed)


def _find_subjects(environment, work, version):
    """Yield the subjects under which a run on ``version`` is counted.

    Each comes with its replacement rule and the progress of the roll-out.
    """
    if version is None:
        return
    rollouts = environment.configuration.rollouts
    for rule in work.profile.replacements:
        if rule.model != version.model:
            continue
        if version.version not in (rule.old, rule.new):
            continue
        key = fold.name_rollout(work.profile.name, rule.model, rule.new)
        progress = rollouts.get(key)
        if progress is not None and not progress.halted:
            side = 'new' if version.version == rule.new else 'old'
            yield format_subject(key, progress, side), rule, progress


def format_subject(key, progress, side):
    """Return the name under which one side of a roll-out is counted."""
    return f'{key}@{progress.revision}/{side}'


def record_failure(environment, work, version, failure):
    """Count an attempt that failed because of the version itself."""
    failed = isinstance(failure, VERSION_FAULTS)
    if not failed:
        return
    for subject, _, _ in _find_subjects(environment, work, version):
        environment.guard.record(subject, 'error', True)


def record_first_token(environment, work, version, took_s):
    """Count a started stream, and whether its first token was late."""
    for subject, _, _ in _find_subjects(environment, work, version):
        environment.guard.record(subject, 'error', False)
        environment.guard.record(
            subject, 'slow', took_s > FIRST_TOKEN_TARGET_S
        )


def record_answer(environment, work, version, took_s, tokens):
    """Count a whole answer, and whether it exceeded its time limit."""
    limit_s = FIRST_TOKEN_TARGET_S + tokens * TOKEN_TARGET_S
    for subject, _, _ in _find_subjects(environment, work, version):
        environment.guard.record(subject, 'error', False)
        environment.guard.record(subject, 'slow', took_s > limit_s)
    if tokens:
        record_pace(environment, work, version, 'whole', took_s / tokens)


def record_pace(environment, work, version, kind, seconds):
    """Count a response time against the usual one of the version before.

    ``seconds`` are those per token or event; ``kind`` tells them apart.
    """
    key = version.model, kind
    is_new = False
    for subject, rule, progress in _find_subjects(environment, work, version):
        is_new = is_new or version.version == rule.new
        if rule.steps[progress.step] >= 1.0:
            continue
        ratio = environment.baseline.compute_ratio(key, seconds)
        if ratio is None:
            continue
        for signal, is_slower in comparison.classify_pace(
            ratio, progress.step
        ):
            environment.guard.record(subject, signal, is_slower)
    if not is_new:
        environment.baseline.add(key, seconds)


class RolloutControl:
    """Reports evidence, and evaluates roll-outs assigned to this instance."""

    __slots__ = ('_environment', '_pending_ids', '_reported_at')

    def __init__(self, environment):
        self._environment = environment
        self._pending_ids = set()
        self._reported_at = float('-inf')

    async def tick(self, now):
        """Send the own counters and evaluate the roll-outs assigned here."""
        environment = self._environment
        evidence = self._collect_evidence(now)
        for key, progress in list(environment.configuration.rollouts.items()):
            if progress.halted:
                continue
            evaluators = environment.membership.rank_owners(key, now)[
                :MAX_EVALUATORS
            ]
            if environment.name in evaluators:
                await self._evaluate(key, progress)
            prefix = f'{key}@{progress.revision}/'
            matching = tuple(
                e for e in evidence if e.subject.startswith(prefix)
            )
            for evaluator in evaluators:
                if matching and evaluator != environment.name:
                    self._report(evaluator, matching)

    def _collect_evidence(self, now):
        """Return the own counters if a report is due, else nothing.

        Every router reports to the same evaluators, so the interval grows
        with the fleet.
        """
        routers = len(self._environment.membership.members)
        if now - self._reported_at < routers / REPORTS_PER_S:
            return ()
        self._reported_at = now
        return self._environment.guard.export()

    def _report(self, evaluator, evidence):
        sender, incarnation = self._environment.identity
        self._environment.peers.send(
            evaluator,
            messages.ReportEvidence(
                sender=sender, incarnation=incarnation, evidence=evidence
            ),
        )

    async def _evaluate(self, key, progress):
        environment = self._environment
        if not agreement.is_confirmed(environment):
            return
        new = format_subject(key, progress, 'new')
        old = format_subject(key, progress, 'old')
        signal = environment.guard.find_fault(new, old) or self._find_slower(
            progress.step, new, old
        )
        if signal is not None:
            await self._halt(key, progress, signal, new)
            return
        rule = self._find_rule(key)
        if rule is None or progress.step + 1 >= len(rule.steps):
            return
        waited_s = environment.timer.wall() - progress.since
        if waited_s >= rule.step_s and environment.guard.may_advance(new):
            await self._append(
                changes.AdvanceRollout(
                    id=f'advance-{key}-{progress.revision}-'
                    f'{progress.step + 1}',
                    author=environment.name,
                    profile=key.partition('/')[0],
                    revision=progress.revision,
                    model=rule.model,
                    new=rule.new,
                    step=progress.step + 1,
                )
            )

    def _find_slower(self, last_step, new, old):
        """Return the signal by which ``new`` is slower, or None."""

        def sum_counts(side, signal):
            return self._environment.guard.sum_counts(
                new if side == 'new' else old, signal
            )

        for pace in comparison.PACES:
            if comparison.is_slower(pace, range(last_step + 1), sum_counts):
                return comparison.name_signal(pace, last_step)
        return None

    def _find_rule(self, key):
        name = key.partition('/')[0]
        published = self._environment.configuration.profiles.get(name)
        if published is None or published.document is None:
            return None
        for rule in published.document.replacements:
            if fold.name_rollout(name, rule.model, rule.new) == key:
                return rule
        return None

    async def _halt(self, key, progress, signal, subject):
        environment = self._environment
        failures, trials = environment.guard.sum_counts(subject, signal)
        environment.metrics.count('rollouts.halted')
        environment.log.warning(
            'roll-out halted', rollout=key, signal=signal,
            failures=failures, trials=trials,
        )  # fmt: skip
        profile, _, version = key.partition('/')
        model, _, new = version.partition(':')
        halt = changes.HaltRollout(
            id=f'halt-{key}-{progress.revision}',
            author=environment.name,
            profile=profile,
            revision=progress.revision,
            model=model,
            new=new,
            evidence=f'{signal}: {failures} of {trials}',
        )
        environment.halts.add((key, progress.revision))
        sender, incarnation = environment.identity
        for name in environment.membership.members:
            environment.peers.send(
                name,
                messages.AnnounceHalt(
                    sender=sender,
                    incarnation=incarnation,
                    rollout=key,
                    revision=progress.revision,
                ),
            )
        await self._append(halt)

    async def _append(self, change):
        if change.id in self._pending_ids:
            return
        self._pending_ids.add(change.id)
        answer = await self._environment.log_client.append(
            streams.CONFIGURATION, fold.encode_entries([change])
        )
        if answer.value_or(None) is None:
            self._environment.metrics.count('rollouts.append-failed')
            self._pending_ids.discard(change.id)
