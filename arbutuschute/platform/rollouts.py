"""The task that advances roll-outs: evidence, steps and status."""

import msgspec
from returns import result

from arbutuschute.platform import configuration
from arbutuschute.platform import followers
from arbutuschute.platform import reader_records
from arbutuschute.platform import topics
from arbutuschute.policy import rollout_records

TOPIC = 'keyed.rollouts'
PERIOD_S = 1.2
PERIOD_SPREAD = (0.85, 1.15)
# Each write of evidence is priced; without failures of the new version it is
# rarer.
EVIDENCE_PERIOD_S = 4.0
# The writer of a final step may die before it has written the status.
STATUS_TAKEOVER_S = 1.0
# Servers that are listed for this long were there before an order that is read
# now, however late it is read.
SETTLED_S = 10.0
# Evidence of others may be appended between the read and the step, many times
# a second while a new version fails.
MAX_STEP_ATTEMPTS = 8


class RolloutTask:
    """Reads and writes the roll-out records that instances share."""

    __slots__ = ('_directory', '_identity', '_log', '_random', '_rollouts',
                 '_sent_evidence', '_store', '_timer', '_topic')  # fmt: skip

    def __init__(self, store, timer, log, random, identity, rollouts,
                 directory, zone_reader=None):  # fmt: skip
        self._store = store
        self._timer = timer
        self._log = log
        self._random = random
        self._identity = identity
        self._rollouts = rollouts
        self._directory = directory
        self._sent_evidence = {}
        read_limits = reader_records.ReadLimits(
            PERIOD_S, PERIOD_S * PERIOD_SPREAD[1] + followers.LATE_READ_SLACK_S
        )
        self._topic = topics.TopicFollower(
            store, timer, TOPIC, log, self._apply, zone_reader=zone_reader,
            read_limits=read_limits,
        )  # fmt: skip

    def apply_order(self, order, is_new=True):
        """Apply an operator's order.

        Without ``is_new`` it was read at a start and may be an old one: its
        servers may have been listed for long. Those of a new one may be listed
        before it is read, but not for long.
        """
        settled_s = SETTLED_S if is_new else float('inf')
        self._rollouts.apply_order(
            order,
            len(self._directory.find(order.service)),
            self._directory.find_versions(order.service),
            self._directory.find_versions(order.service, settled_s),
        )
        serving = self._rollouts.by_service[order.service].serving
        self._log.info(
            'rollout ordered',
            service=order.service,
            version=order.version,
            served=serving.versions,
            set_aside=serving.set_aside,
        )

    def _apply(self, record):
        found = rollout_records.decode(record.value)
        rollout = self._rollouts.apply(found, self._find_age_s(found))
        if rollout is not None and isinstance(found, rollout_records.Step):
            self._log.info(
                'rollout step',
                service=found.service,
                version=rollout.order.version,
                number=rollout.number,
                share=rollout.get_share(float('inf')),
                phase=rollout.phase.value,
                offset=record.offset,
            )

    def _find_age_s(self, found):
        """Return how long ago a step was written that a start has read.

        A step that is read later is as good as new. Clocks differ, so that an
        age that all instances computed would begin steps at different times.
        """
        written_at = getattr(found, 'written_at', 0.0)
        if self.is_loaded or not written_at:
            return 0.0
        return max(0.0, self._timer.wall() - written_at)

    @property
    def is_loaded(self):
        """Whether the steps made before this start have been read."""
        return self._topic.position is not None

    async def run(self):
        """Read the existing steps, then advance roll-outs until cancelled."""
        while not (answer := await self._topic.read()).value_or(False):
            if isinstance(answer, result.Failure):
                await self._topic.wait_after_failure()
        while True:
            await self._topic.wait(
                PERIOD_S * self._random.uniform(*PERIOD_SPREAD)
            )
            for rollout in list(self._rollouts.by_service.values()):
                if rollout.is_settled:
                    continue
                await self._advance(rollout)

    async def _advance(self, rollout):
        answer = await self._topic.read()
        if isinstance(answer, result.Failure) or not answer.unwrap():
            return
        if not rollout.is_in_log:
            return
        if (
            rollout.is_announced
            and rollout.phase is not rollout_records.Phase.RUNNING
        ):
            await self._report_status(rollout)
            return
        for _ in range(MAX_STEP_ATTEMPTS):
            step = rollout.decide(
                self._identity,
                self._timer.now(),
                self._is_old_version_idle(rollout),
                self._has_old_version(rollout),
            )
            if step is None or await self._put_step(rollout, step):
                break
        if rollout.phase is rollout_records.Phase.RUNNING:
            await self._put_evidence(rollout)

    def _is_old_version_idle(self, rollout):
        return not any(
            server.in_flight
            for server in self._directory.find(rollout.order.service)
            if server.entry.version != rollout.order.version
        )

    def _has_old_version(self, rollout):
        return any(
            server.entry.version != rollout.order.version
            and not rollout.is_set_aside(server.entry.version)
            for server in self._directory.find(rollout.order.service)
        )

    async def _put_evidence(self, rollout):
        now = self._timer.now()
        evidence = rollout.make_evidence(self._identity, now)
        last, sent_at = self._sent_evidence.get(
            rollout.order.service, (None, 0.0)
        )
        if last is not None and last.order == evidence.order:
            if (last.new, last.old) == (evidence.new, evidence.old):
                return
            has_new_failures = _count_failures(last) != _count_failures(
                evidence
            )
            if not has_new_failures and now - sent_at < EVIDENCE_PERIOD_S:
                return
        elif not evidence.new and not evidence.old:
            return
        key = f'evidence/{rollout.order.service}/{self._identity}'
        answer = await self._store.put(
            TOPIC, key, rollout_records.encode(evidence)
        )
        if isinstance(answer, result.Failure):
            self._log.warning(
                'rollout evidence not written',
                service=rollout.order.service,
                cause=answer.failure().detail,
            )
            return
        self._sent_evidence[rollout.order.service] = evidence, now

    async def _put_step(self, rollout, step):
        """Append a step unless the topic has grown since the last read.

        Return whether it was written.
        """
        if self._topic.position is None:
            return False  # Without a condition, a step could follow any other.
        key = f'step/{step.service}'
        is_first = not rollout.is_announced
        step = msgspec.structs.replace(step, written_at=self._timer.wall())
        answer = await self._store.put(
            TOPIC, key, rollout_records.encode(step), at=self._topic.position
        )
        counts = rollout.comparison
        self._log.info(
            'rollout step offered',
            service=step.service,
            number=step.number,
            phase=step.phase.value,
            new=counts.sum_counts('new', 'error', self._identity),
            old=counts.sum_counts('old', 'error', self._identity),
            new_slow=counts.sum_counts('new', 'slow', self._identity),
            old_slow=counts.sum_counts('old', 'slow', self._identity),
            new_paces=counts.sum_paces('new', self._identity),
            old_paces=counts.sum_paces('old', self._identity),
            elapsed_s=round(step.elapsed_s, 2),
            written=isinstance(answer, result.Success),
        )
        await self._topic.read(is_direct=True)
        if isinstance(answer, result.Failure):
            return False
        if is_first or step.phase is not rollout_records.Phase.RUNNING:
            await self._put_status(rollout)
        return True

    async def _report_status(self, rollout):
        """Write the final status if its first writer did not."""
        if self._timer.now() - rollout.ended_at < STATUS_TAKEOVER_S:
            return
        answer = await self._store.read_newest(configuration.STATUS_TOPIC)
        if isinstance(answer, result.Failure):
            return
        records = answer.unwrap().records
        expected = configuration.encode_status(rollout.order, rollout.phase)
        key = configuration.make_status_key(rollout.order.service)
        if any(r.key == key and r.value == expected for r in records):
            rollout.is_settled = True
            return
        await self._put_status(rollout)

    async def _put_status(self, rollout):
        """Write the status that the log of steps gives now.

        This instance may have been paused and others may have gone on, so it
        is written only if no status was written since the log was read.
        """
        written = False
        for _ in range(MAX_STEP_ATTEMPTS):
            answer = await self._store.read_newest(configuration.STATUS_TOPIC)
            if isinstance(answer, result.Failure):
                break
            if not (await self._topic.read(is_direct=True)).value_or(False):
                break
            answer = await self._store.put(
                configuration.STATUS_TOPIC,
                configuration.make_status_key(rollout.order.service),
                configuration.encode_status(rollout.order, rollout.phase),
                at=answer.unwrap().end,
            )
            if written := isinstance(answer, result.Success):
                break
        self._log.info(
            'rollout status',
            service=rollout.order.service,
            phase=rollout.phase.value,
            written=written,
        )
        if written and rollout.phase is not rollout_records.Phase.RUNNING:
            rollout.is_settled = True


def _count_failures(evidence):
    """Return the new version's failures; those of the old one can wait."""
    return sum(failures for failures, _ in evidence.new.values())
