"""A roll-out while the store comes back from an older copy; no network.

Guards against instances at different steps: those that ran through the return
kept their step, others that started after it began the roll-out anew from
what the copy held.
"""

import random

import pytest
from returns import result

from arbutuschute import eras
from arbutuschute.machines import servers
from arbutuschute.platform import configuration
from arbutuschute.platform import rollouts as rollouts_module
from arbutuschute.platform import store
from arbutuschute.policy import canary
from arbutuschute.policy import rollout_records
from tests import stepping
from tests import test_followers

DURATION_S = 20.0
PEERS = 4
CALL_S = 0.01
# Good responses of each version that an instance sees, enough to advance.
TRIALS = 200
# Steps are read every 1.2 s at most; a lost one is written again and read.
AGREED_WITHIN_S = 4.0


class RestorableStore:
    """Keyed topics with an era; ``restore`` brings back an older copy."""

    def __init__(self, timer):
        self._timer = timer
        self.topics = {}
        self.era = 1
        self.puts = 0

    def copy(self):
        return {topic: list(raw) for topic, raw in self.topics.items()}

    def restore(self, copy):
        self.topics = {topic: list(raw) for topic, raw in copy.items()}
        self.era += 1

    def find_status(self):
        records = self.topics.get(configuration.STATUS_TOPIC, [])
        return store.split_keyed(records[-1], 0).value if records else None

    async def read(self, topic, start, wait_s=0.0):
        await self._timer.sleep(CALL_S)
        records = self.topics.get(topic, [])
        return result.Success(
            store.Page(
                len(records), 0, start, tuple(records[start:]), era=self.era
            )
        )

    async def read_newest(self, topic):
        await self._timer.sleep(CALL_S)
        newest = {}
        records = self.topics.get(topic, [])
        for offset, raw in enumerate(records):
            record = store.split_keyed(raw, offset)
            newest[record.key] = record
        return result.Success(
            store.Snapshot(tuple(newest.values()), len(records), era=self.era)
        )

    async def put(self, topic, key, value, at=None):
        await self._timer.sleep(CALL_S)
        records = self.topics.setdefault(topic, [])
        if at is not None and at != len(records):
            return result.Failure(test_followers.errors.StoreDown('412'))
        self.puts += 1
        records.append(bytes((len(key),)) + key.encode() + value)
        return result.Success(len(records) - 1)


class Fleet:
    """Instances that share a store; the test plays the operator."""

    def __init__(self):
        self.timer = stepping.SteppedTimer()
        self.store = RestorableStore(self.timer)
        self.known = []
        self.eras = []

    def add(self, name):
        """Return the task of an instance that starts now."""
        known = canary.Rollouts(self.timer.now)
        era = eras.Era(self.timer.now, test_followers.Log())
        era.observe(self.store.era)
        era.changes.subscribe(lambda _: known.begin_era())
        self.known.append(known)
        self.eras.append(era)
        return rollouts_module.RolloutTask(
            self.store, self.timer, test_followers.Log(),
            random.Random(name), name, known,
            servers.Directory(self.timer.now),
        ).run()  # fmt: skip

    def order(self, offset, version='v2'):
        """Let every instance read the operator's order at an offset."""
        order = rollout_records.Order('s', version, DURATION_S, offset)
        for known in self.known:
            known.apply_order(order)
            for served in ('v1', 'v2'):
                for _ in range(TRIALS):
                    known.by_service['s'].record(served, 'error', False)

    def restore(self, copy):
        """Restore the store; every instance hears of the new era."""
        self.store.restore(copy)
        for era in self.eras:
            era.observe(self.store.era)

    def list_states(self):
        """Return the (step, phase) of each instance."""
        return {
            (known.by_service['s'].number, known.by_service['s'].phase)
            for known in self.known
        }


async def run_to_phase(fleet, phase):
    for _ in range(40):
        await fleet.timer.run_until(fleet.timer.now() + 1.0)
        if {found for _, found in fleet.list_states()} == {phase}:
            return
    raise AssertionError(fleet.list_states())


# The order may be in the copy, at its old offset, or be written again.
@pytest.mark.parametrize(('is_order_lost', 'offset'), [(False, 3), (True, 1)])
async def test_lost_steps_are_written_again(is_order_lost, offset):
    fleet = Fleet()
    tasks = [fleet.add(f'a-{number}') for number in range(PEERS)]
    fleet.order(3)
    async with stepping.run_together(tasks):
        await fleet.timer.run_until(1.0)
        copy = {} if is_order_lost else fleet.store.copy()
        await fleet.timer.run_until(0.65 * DURATION_S)
        ((before, _),) = fleet.list_states()
        assert before >= 1
        fleet.restore(copy)
        starter = fleet.add('late')
        async with stepping.run_together([starter]):
            await fleet.timer.run_until(fleet.timer.now() + 0.5)
            fleet.order(offset)
            puts = fleet.store.puts
            await fleet.timer.run_until(fleet.timer.now() + AGREED_WITHIN_S)
            ((number, _),) = fleet.list_states()
            assert number >= before
            assert fleet.store.puts - puts <= 2 * (PEERS + 1)
            await run_to_phase(fleet, rollout_records.Phase.COMPLETED)


async def test_lost_end_and_its_status_are_written_again():
    fleet = Fleet()
    tasks = [fleet.add(f'a-{number}') for number in range(PEERS)]
    fleet.order(3)
    async with stepping.run_together(tasks):
        await fleet.timer.run_until(1.0)
        copy = fleet.store.copy()
        await run_to_phase(fleet, rollout_records.Phase.COMPLETED)
        await fleet.timer.run_until(fleet.timer.now() + 3.0)
        status = fleet.store.find_status()
        fleet.restore(copy)
        starter = fleet.add('late')
        async with stepping.run_together([starter]):
            await fleet.timer.run_until(fleet.timer.now() + 0.5)
            fleet.order(3)
            await fleet.timer.run_until(fleet.timer.now() + AGREED_WITHIN_S)
            states = {phase for _, phase in fleet.list_states()}
            assert states == {rollout_records.Phase.COMPLETED}
            assert fleet.store.find_status() == status


async def test_step_waits_for_the_order_in_the_new_era():
    """The offset of the order in the old era means nothing now."""
    fleet = Fleet()
    tasks = [fleet.add('a-1')]
    fleet.order(3)
    async with stepping.run_together(tasks):
        await fleet.timer.run_until(2.0)
        fleet.restore({})
        await fleet.timer.run_until(6.0)
        assert rollouts_module.TOPIC not in fleet.store.topics


def make_rollouts():
    timer = test_followers.Timer()
    return canary.Rollouts(timer.now)


def test_order_that_a_later_one_had_replaced_is_not_begun_again():
    known = make_rollouts()
    known.apply_order(rollout_records.Order('s', 'v2', DURATION_S, 3))
    known.apply_order(rollout_records.Order('s', 'v3', DURATION_S, 8))
    rollout = known.by_service['s']
    known.begin_era()
    known.apply_order(rollout_records.Order('s', 'v2', DURATION_S, 3))
    assert known.by_service['s'] is rollout
    known.apply_order(rollout_records.Order('s', 'v3', DURATION_S, 5))
    assert known.by_service['s'] is rollout
    assert rollout.order.offset == 5


def test_new_order_after_the_return_is_begun():
    known = make_rollouts()
    known.apply_order(rollout_records.Order('s', 'v2', DURATION_S, 9))
    known.begin_era()
    known.apply_order(rollout_records.Order('s', 'v4', DURATION_S, 2))
    assert known.by_service['s'].order.version == 'v4'


def test_same_version_ordered_again_in_one_era_is_a_new_order():
    known = make_rollouts()
    known.apply_order(rollout_records.Order('s', 'v2', DURATION_S, 3))
    rollout = known.by_service['s']
    known.apply_order(rollout_records.Order('s', 'v2', DURATION_S, 4))
    assert known.by_service['s'] is not rollout
