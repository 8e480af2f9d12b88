"""A hand-over between two instances that both write for a moment.

Guards against an order or a status that a paused instance writes after
another one has gone on.
"""

import asyncio

import pytest

from returns import result

from arbutuschute import errors
from arbutuschute import logs
from arbutuschute.platform import configuration
from arbutuschute.platform import rollouts
from arbutuschute.platform import store as store_module
from arbutuschute.policy import rollout_records

ORDER = rollout_records.Order('s', 'v2', 10.0, 5)
KEY = configuration.make_status_key('s')


class Store:
    """The topic of statuses, with one position to write at."""

    def __init__(self):
        self.written = []
        self.before_put = []
        self.is_down = False

    async def read_newest(self, topic):
        if self.is_down:
            return result.Failure(errors.StoreDown('down'))
        records = [
            store_module.Record(KEY, value, offset)
            for offset, value in enumerate(self.written)
        ]
        return result.Success(
            store_module.Snapshot(tuple(records[-1:]), len(self.written))
        )

    async def put(self, topic, key, value, at=None):
        if self.before_put:
            self.before_put.pop()()
        if at is not None and at != len(self.written):
            return result.Failure(errors.StoreDown('412'))
        self.written.append(value)
        return result.Success(len(self.written) - 1)


class Topic:
    """The log of steps: reading it brings a roll-out up to date."""

    def __init__(self, rollout):
        self.rollout = rollout
        self.phase = rollout.phase

    async def read(self, is_direct=False):
        self.rollout.phase = self.phase
        return result.Success(True)


class Rollout:
    def __init__(self):
        self.order = ORDER
        self.phase = rollout_records.Phase.RUNNING
        self.is_settled = False


@pytest.fixture
def paused():
    """Return a task that writes statuses, its store, topic and roll-out."""
    store, rollout = Store(), Rollout()
    task = rollouts.RolloutTask.__new__(rollouts.RolloutTask)
    task._store = store
    task._log = logs.make_line_logger(instance='i')
    task._topic = Topic(rollout)
    return task, store, rollout


def encode(phase):
    return configuration.encode_status(ORDER, phase)


# The operator sees a roll-out in progress that had been completed, since an
# instance was paused before it wrote its status.
async def test_paused_writer_does_not_replace_a_later_status(paused):
    task, store, rollout = paused

    def complete():
        task._topic.phase = rollout_records.Phase.COMPLETED
        store.written.append(encode(rollout_records.Phase.COMPLETED))

    store.before_put.append(complete)
    await task._put_status(rollout)
    assert store.written[-1] == encode(rollout_records.Phase.COMPLETED)


async def test_status_is_that_of_the_log(paused):
    task, store, rollout = paused
    task._topic.phase = rollout_records.Phase.ROLLED_BACK
    await task._put_status(rollout)
    assert store.written == [encode(rollout_records.Phase.ROLLED_BACK)]
    assert rollout.is_settled


async def test_statuses_of_other_services_do_not_prevent_one(paused):
    task, store, rollout = paused
    store.before_put.append(lambda: store.written.append(b'{}'))
    await task._put_status(rollout)
    assert store.written[-1] == encode(rollout_records.Phase.RUNNING)


async def test_no_status_is_written_while_the_store_is_away(paused):
    task, store, rollout = paused
    store.is_down = True
    await task._put_status(rollout)
    assert not store.written
    assert not rollout.is_settled


async def test_two_writers_at_once_leave_the_last_phase(paused):
    task, store, rollout = paused
    rollout.phase = task._topic.phase = rollout_records.Phase.COMPLETED
    await asyncio.gather(task._put_status(rollout), task._put_status(rollout))
    assert set(store.written) == {encode(rollout_records.Phase.COMPLETED)}
