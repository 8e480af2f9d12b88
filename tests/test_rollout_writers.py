"""The end of a roll-out and its status, in every interleaving.

Two instances decide at the same time, one to complete and one to roll back.
If both wrote their end, the operator could see one that the log does not
have. Each call of the store is a step. The tests run all orders of steps,
with a lost reply, and with either instance killed at any step. A third
instance runs afterwards; the last status must be the end in the log.
"""

import itertools
import random

import pytest
from returns import result

from arbutuschute import errors
from arbutuschute.machines import servers
from arbutuschute.platform import configuration
from arbutuschute.platform import rollouts as rollouts_module
from arbutuschute.platform import store
from arbutuschute.policy import canary
from arbutuschute.policy import rollout_records
from tests import test_followers

ORDER = rollout_records.Order('s', 'v2', 24.0, 7)
NOW_S = 20.0
ROUNDS = 3


class SchedulerTurn:
    """Suspends its awaiter for one step."""

    def __await__(self):
        yield


class SteppedStore:
    """Keyed topics; each call suspends its caller for one step.

    The reply to the put numbered ``lost_put`` is lost.
    """

    def __init__(self, lost_put):
        self.topics = {}
        self.puts = 0
        self.statuses = []
        self._lost_put = lost_put

    async def read(self, topic, start, wait_s=0.0):
        await SchedulerTurn()
        records = self.topics.get(topic, [])
        return result.Success(
            store.Page(len(records), 0, start, tuple(records[start:]))
        )

    async def read_newest(self, topic):
        await SchedulerTurn()
        records = self.topics.get(topic, [])
        newest = {}
        for offset, raw in enumerate(records):
            record = store.split_keyed(raw, offset)
            newest[record.key] = record
        return result.Success(
            store.Snapshot(tuple(newest.values()), len(records))
        )

    async def put(self, topic, key, value, at=None):
        await SchedulerTurn()
        records = self.topics.setdefault(topic, [])
        if at is not None and at != len(records):
            return result.Failure(errors.StoreDown('412'))
        records.append(bytes((len(key),)) + key.encode() + value)
        if topic == configuration.STATUS_TOPIC:
            self.statuses.append(value)
        self.puts += 1
        if self.puts == self._lost_put:
            return result.Failure(errors.StoreDown('reply lost'))
        return result.Success(len(records) - 1)

    def seed(self, record):
        key = f'step/{record.service}'
        raw = (
            bytes((len(key),)) + key.encode() + rollout_records.encode(record)
        )
        self.topics.setdefault(rollouts_module.TOPIC, []).append(raw)


def make_instance(shared, name, failures):
    """Return a task whose instance saw ``failures`` of the new version."""
    timer = test_followers.Timer()
    known = canary.Rollouts(timer.now)
    known.apply_order(ORDER)
    timer.time = NOW_S
    rollout = known.by_service['s']
    for number in range(40):
        rollout.record('v2', 'error', number < failures)
    for _ in range(400):
        rollout.record('v1', 'error', False)
    return rollouts_module.RolloutTask(
        shared, timer, test_followers.Log(), random.Random(1), name, known,
        servers.Directory(timer.now),
    )  # fmt: skip


async def run_rounds(task):
    """Run the task's work of several periods."""
    await task._topic.read()
    for _ in range(ROUNDS):
        for rollout in task._rollouts.by_service.values():
            if not rollout.is_settled:
                await task._advance(rollout)


def run_alone(coroutine):
    """Run a coroutine to its end."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration:
        return


def play(schedule, steps_alive, lost_put):
    """Play one schedule; return (store, third instance's roll-out).

    ``schedule`` is a string of the instances' turns; ``steps_alive`` is the
    number of steps after which each is killed.
    """
    shared = SteppedStore(lost_put)
    shared.seed(
        rollout_records.Step(7, 's', 0, rollout_records.Phase.RUNNING, 0.5)
    )
    shared.seed(
        rollout_records.Step(7, 's', 2, rollout_records.Phase.RUNNING, 14.0)
    )
    running = {
        'a': run_rounds(make_instance(shared, 'a', failures=30)),
        'b': run_rounds(make_instance(shared, 'b', failures=0)),
    }
    remaining = dict(steps_alive)
    for name in schedule:
        if remaining[name] <= 0:
            continue
        remaining[name] -= 1
        try:
            running[name].send(None)
        except StopIteration:
            del running[name]
            remaining[name] = 0
    for name, coroutine in running.items():
        if steps_alive[name] == UNLIMITED:
            run_alone(coroutine)
        else:
            coroutine.close()
    third = make_instance(shared, 'c', failures=0)
    run_alone(run_rounds(third))
    # The writer of the end may have died; the third takes over later.
    third._timer.time += 10.0
    run_alone(run_rounds(third))
    return shared, third._rollouts.by_service['s']


UNLIMITED = 99
STEPS_EACH = 5


def make_schedules():
    positions = range(2 * STEPS_EACH)
    for chosen in itertools.combinations(positions, STEPS_EACH):
        yield ''.join(
            'a' if position in chosen else 'b' for position in positions
        )


def assert_one_end(shared, rollout):
    assert rollout.phase is not rollout_records.Phase.RUNNING
    ends = [
        record.phase
        for record in map(
            rollout_records.decode,
            (
                store.split_keyed(raw, 0).value
                for raw in shared.topics[rollouts_module.TOPIC]
            ),
        )
        if isinstance(record, rollout_records.Step)
        and record.phase is not rollout_records.Phase.RUNNING
    ]
    assert ends[0] is rollout.phase
    wanted = configuration.encode_status(ORDER, rollout.phase)
    assert shared.statuses[-1] == wanted
    running = configuration.encode_status(ORDER, rollout_records.Phase.RUNNING)
    assert set(shared.statuses) <= {wanted, running}


@pytest.mark.parametrize('lost_put', [0, 1, 2, 3])
def test_last_status_is_the_end_in_the_log_in_every_order(lost_put):
    for schedule in make_schedules():
        assert_one_end(
            *play(schedule, {'a': UNLIMITED, 'b': UNLIMITED}, lost_put)
        )


@pytest.mark.parametrize('dying', ['a', 'b'])
def test_writer_killed_at_any_step_leaves_no_other_end(dying):
    for steps in range(STEPS_EACH + 1):
        for schedule in make_schedules():
            steps_alive = {'a': UNLIMITED, 'b': UNLIMITED, dying: steps}
            assert_one_end(*play(schedule, steps_alive, lost_put=0))


def test_check_catches_a_status_that_is_not_in_the_log():
    shared, rollout = play('ab' * 5, {'a': UNLIMITED, 'b': UNLIMITED}, 0)
    other = (
        rollout_records.Phase.COMPLETED
        if rollout.phase is rollout_records.Phase.ROLLED_BACK
        else rollout_records.Phase.ROLLED_BACK
    )
    shared.statuses.insert(0, configuration.encode_status(ORDER, other))
    with pytest.raises(AssertionError):
        assert_one_end(shared, rollout)


class RefusingStore(SteppedStore):
    """A store that refuses writes while ``is_refusing``."""

    def __init__(self):
        super().__init__(lost_put=None)
        self.is_refusing = True

    async def put(self, topic, key, value, at=None):
        if self.is_refusing:
            return result.Failure(errors.StoreDown('503'))
        return await super().put(topic, key, value, at)


def test_evidence_that_was_not_written_is_written_later():
    shared = RefusingStore()
    shared.seed(
        rollout_records.Step(7, 's', 0, rollout_records.Phase.RUNNING, 0.5)
    )
    task = make_instance(shared, 'a', 0)
    run_alone(task._topic.read())
    (rollout,) = task._rollouts.by_service.values()
    run_alone(task._put_evidence(rollout))
    assert shared.puts == 0
    shared.is_refusing = False
    run_alone(task._put_evidence(rollout))
    assert shared.puts == 1
    run_alone(task._put_evidence(rollout))
    assert shared.puts == 1
