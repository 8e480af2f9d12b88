"""Who ends a roll-out and tells the operator: every interleaving.

Two instances judge at once, one for completion and one for rolling back.
Each call of the store is a step; the test plays all orders of steps, with
each reply lost or not and either instance dead from any step on. A third
instance comes afterwards and has to leave the operator with the log's end.
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
from tests import test_followers

ORDER = canary.Order('s', 'v2', 24.0, 7)
NOW_S = 20.0
ROUNDS = 3


class Turn:
    """Awaits the scheduler once."""

    def __await__(self):
        yield


class SteppedStore:
    """Keyed topics; every call is one step of its caller."""

    def __init__(self, lost_put):
        self.topics = {}
        self.puts = 0
        self.statuses = []
        self._lost_put = lost_put

    async def read(self, topic, start, wait_s=0.0):
        await Turn()
        records = self.topics.get(topic, [])
        return result.Success(
            store.Page(len(records), 0, start, tuple(records[start:]))
        )

    async def read_newest(self, topic):
        await Turn()
        records = self.topics.get(topic, [])
        newest = {}
        for offset, raw in enumerate(records):
            record = store.split_keyed(raw, offset)
            newest[record.key] = record
        return result.Success((list(newest.values()), len(records)))

    async def put(self, topic, key, value, at=None):
        await Turn()
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
        raw = bytes((len(key),)) + key.encode() + canary.encode(record)
        self.topics.setdefault(rollouts_module.TOPIC, []).append(raw)


def make_instance(shared, name, failures):
    """Make a task whose instance saw so many failures of the new version."""
    timer = test_followers.Timer()
    known = canary.Rollouts(timer.now)
    known.order(ORDER)
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


async def carry(task):
    """Do what the task does in some of its periods."""
    await task._topic.read()
    for _ in range(ROUNDS):
        for rollout in task._rollouts.by_service.values():
            if not rollout.is_settled:
                await task._advance(rollout)


def run_alone(coroutine):
    """Run to the end, step after step."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration:
        return


def play(schedule, lives, lost_put):
    """Play one schedule; return (store, third instance's roll-out).

    ``schedule`` is a string of the instances' turns, ``lives`` how many
    steps each has before it is killed.
    """
    shared = SteppedStore(lost_put)
    shared.seed(canary.Step(7, 's', 0, canary.Phase.RUNNING, 0.5))
    shared.seed(canary.Step(7, 's', 2, canary.Phase.RUNNING, 14.0))
    running = {
        'a': carry(make_instance(shared, 'a', failures=30)),
        'b': carry(make_instance(shared, 'b', failures=0)),
    }
    left = dict(lives)
    for name in schedule:
        if left[name] <= 0:
            continue
        left[name] -= 1
        try:
            running[name].send(None)
        except StopIteration:
            del running[name]
            left[name] = 0
    for name, coroutine in running.items():
        if lives[name] == FOREVER:
            run_alone(coroutine)
        else:
            coroutine.close()
    third = make_instance(shared, 'c', failures=0)
    run_alone(carry(third))
    # The writer of the end may have died; the third takes over later.
    third._timer.time += 10.0
    run_alone(carry(third))
    return shared, third._rollouts.by_service['s']


FOREVER = 99
STEPS_EACH = 5


def make_schedules():
    places = range(2 * STEPS_EACH)
    for chosen in itertools.combinations(places, STEPS_EACH):
        yield ''.join('a' if place in chosen else 'b' for place in places)


def check(shared, rollout):
    assert rollout.phase is not canary.Phase.RUNNING
    ends = [
        record.phase
        for record in map(
            canary.decode,
            (
                store.split_keyed(raw, 0).value
                for raw in shared.topics[rollouts_module.TOPIC]
            ),
        )
        if isinstance(record, canary.Step)
        and record.phase is not canary.Phase.RUNNING
    ]
    assert ends[0] is rollout.phase
    wanted = configuration.encode_status(ORDER, rollout.phase)
    assert shared.statuses[-1] == wanted
    running = configuration.encode_status(ORDER, canary.Phase.RUNNING)
    assert set(shared.statuses) <= {wanted, running}


@pytest.mark.parametrize('lost_put', [0, 1, 2, 3])
def test_operator_is_left_with_the_logs_end_in_every_order(lost_put):
    for schedule in make_schedules():
        check(*play(schedule, {'a': FOREVER, 'b': FOREVER}, lost_put))


@pytest.mark.parametrize('dying', ['a', 'b'])
def test_a_writer_that_dies_at_any_step_leaves_no_other_end(dying):
    for steps in range(STEPS_EACH + 1):
        for schedule in make_schedules():
            lives = {'a': FOREVER, 'b': FOREVER, dying: steps}
            check(*play(schedule, lives, lost_put=0))


def test_check_catches_an_end_that_the_log_does_not_have():
    shared, rollout = play('ab' * 5, {'a': FOREVER, 'b': FOREVER}, 0)
    other = (
        canary.Phase.COMPLETED
        if rollout.phase is canary.Phase.ROLLED_BACK
        else canary.Phase.ROLLED_BACK
    )
    shared.statuses.insert(0, configuration.encode_status(ORDER, other))
    with pytest.raises(AssertionError):
        check(shared, rollout)


class RefusingStore(SteppedStore):
    """A store that takes no write until it is told to."""

    def __init__(self):
        super().__init__(lost_put=None)
        self.is_refusing = True

    async def put(self, topic, key, value, at=None):
        if self.is_refusing:
            return result.Failure(errors.StoreDown('503'))
        return await super().put(topic, key, value, at)


def test_evidence_that_could_not_be_written_is_written_later():
    shared = RefusingStore()
    shared.seed(canary.Step(7, 's', 0, canary.Phase.RUNNING, 0.5))
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
