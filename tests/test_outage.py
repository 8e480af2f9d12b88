"""A store that is away for all: who asks it, and who knows when it is back.

The load: sixteen mates of one zone with all their topics, whose reader fails
as they do. No network; time moves only while all wait.
"""

import random

import pytest
from returns import result

from arbutuschute import errors
from arbutuschute.ledgers import freshness
from arbutuschute.platform import followers
from arbutuschute.platform import readers
from arbutuschute.platform import store
from arbutuschute.zones import log_cache
from tests import stepping
from tests import test_followers
from tests import test_log_cache

MATES = 16
DOWN_AT = 20.0
BACK_AT = 32.0
END = 40.0
REFUSAL_S = 0.01
# For each of two topics: the reader at its pace throughout; a mate at once,
# while its pauses grow, and then rarely.
DOWN_S = BACK_AT - DOWN_AT
READER_CALLS = DOWN_S / followers.PAUSE_AFTER_FAILURE_S
MATE_CALLS = DOWN_S / followers.DIRECT_PAUSE_MOST_S + 4
CALLS_MOST = 2 * (READER_CALLS + (MATES - 1) * MATE_CALLS)
REGAINED_WITHIN_S = 0.6


class FailingStore:
    """Empty topics, and a topic of readers; refuses while it is down."""

    def __init__(self, timer):
        self._timer = timer
        self.registry = test_log_cache.RegistryStore()
        self.refused = 0

    async def _answer(self, value):
        await self._timer.sleep(REFUSAL_S)
        if DOWN_AT <= self._timer.now() < BACK_AT:
            self.refused += 1
            return result.Failure(errors.StoreDown('503'))
        return result.Success(value)

    async def read(self, topic, start, wait_s=0.0):
        answer = await self._answer(store.Page(0, 0, 0, ()))
        if isinstance(answer, result.Success):
            await self._timer.sleep(wait_s)
        return answer

    async def read_newest(self, topic):
        answer = await self._answer(([], 0))
        if isinstance(answer, result.Failure) or topic != readers.TOPIC:
            return answer
        return await self.registry.read_newest(topic)

    async def put(self, topic, key, value, at=None):
        answer = await self._answer(0)
        if isinstance(answer, result.Failure):
            return answer
        return await self.registry.put(topic, key, value)


class Zone:
    """All mates of a zone, each with its tasks."""

    def __init__(self, monkeypatch):
        self.timer = stepping.SteppedTimer()
        self.store = FailingStore(self.timer)
        self.leases = []
        self.readers = []
        self._caches = {}
        self._tasks = []
        draw = random.Random(5)
        for number in range(MATES):
            self._add(f'mate-{number}:1', random.Random(draw.random()))
        monkeypatch.setattr(log_cache, 'fetch', self._fetch)

    def _add(self, address, draw):
        timer, log = self.timer, test_followers.Log()
        cache = self._caches[address] = log_cache.LogCache(timer.now)
        lease = freshness.Freshness(timer.now, test_followers.LEASE_S)
        reader = readers.ZoneReader(
            self.store, None, timer, log, draw, cache, 'a', address, address
        )
        operator = followers.OperatorFollower(
            self.store, timer, log, lease, None, None, reader
        )
        servers = followers.ServerFollower(
            self.store,
            timer,
            log,
            test_log_cache.LeavingRecorder(timer),
            4.0,
            reader,
        )
        self.leases.append(lease)
        self.readers.append(reader)
        self._tasks += [reader, operator, servers]

    async def _fetch(self, session, address, topic, start, wait_s):
        await self.timer.sleep(0.001 + wait_s)
        found = await self._caches[address].get_records(topic, start, 0.0)
        if found is None:
            return result.Failure(errors.StoreGap(topic))
        return result.Success(found)

    def run(self):
        """Run all tasks of all mates for as long as the context lasts."""
        return stepping.run_together(task.run() for task in self._tasks)


@pytest.fixture
def zone(monkeypatch):
    return Zone(monkeypatch)


async def test_store_that_is_away_is_asked_by_the_reader_above_all(zone):
    async with zone.run():
        await zone.timer.run_until(DOWN_AT)
        (before,) = [one for one in zone.readers if one.is_reader]
        assert all(lease.is_valid for lease in zone.leases)
        await zone.timer.run_until(BACK_AT)
        assert zone.store.refused <= CALLS_MOST, zone.store.refused
        await zone.timer.run_until(BACK_AT + REGAINED_WITHIN_S)
        late = [lease for lease in zone.leases if not lease.is_valid]
        assert late == []
        await zone.timer.run_until(END)
        # The store's absence is no fault of the reader's.
        assert [one for one in zone.readers if one.is_reader] == [before]
