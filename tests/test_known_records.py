"""What a topic's follower applies, whatever comes from where; no network.

The store or the zone's reader may respond with what it had seconds ago,
records expire, entries are written late, and the store is restored.
"""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from returns import result

from arbutuschute import errors
from arbutuschute.machines import servers
from arbutuschute.platform import followers
from arbutuschute.platform import known_records
from arbutuschute.platform import store
from tests import test_followers

NAMES = ('i-1', 'i-2', 'i-3')


class Log:
    """A keyed topic, as the store and the zone's reader have it."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.era = 1

    def append(self, key, value):
        self.records.append(test_followers.make_record(key, value))

    def take(self, count):
        """Return a copy of the first ``count`` records."""
        made = Log()
        made.records = self.records[:count]
        made.era = self.era
        return made

    def make_snapshot(self, confirmed_at=None):
        newest = {}
        for offset, raw in enumerate(self.records):
            record = store.split_keyed(raw, offset)
            newest[record.key] = record
        found = tuple(r for r in newest.values() if r.value is not None)
        return store.Snapshot(found, len(self.records), confirmed_at, self.era)

    def make_page(self, start, **more):
        records = tuple(self.records[start:])
        return store.Page(
            len(self.records), self.first, start, records, era=self.era, **more
        )


class Store:
    def __init__(self, log):
        self.log = log
        self.is_up = True
        # What it responds with instead, some seconds old.
        self.stale = None
        self.calls = 0

    def _find(self):
        self.calls += 1
        return self.stale or self.log

    async def read(self, topic, start, wait_s=0.0):
        found = self._find()
        if not self.is_up:
            return result.Failure(errors.StoreDown('away'))
        if not found.first <= start <= len(found.records):
            return result.Failure(errors.StoreGap(topic))
        return result.Success(found.make_page(start))

    async def read_newest(self, topic):
        found = self._find()
        if not self.is_up:
            return result.Failure(errors.StoreDown('away'))
        return result.Success(found.make_snapshot())


class Reader(test_followers.HoldingZoneReader):
    """A zone's reader; ``log`` is what it has, None if it is away."""

    def __init__(self, timer):
        super().__init__()
        self._timer = timer
        self.log = None
        self.age_s = 0.0

    async def read(self, topic, start, read_limits, confirmed_at, era):
        log = self.log
        if log is None:
            return None
        if log.era != era or start > len(log.records):
            return await self.read_newest(topic)
        if self.age_s > read_limits.max_age_s:
            return None
        return log.make_page(start, current_after_s=-self.age_s)

    async def read_newest(self, topic):
        if self.log is None:
            return None
        return self.log.make_snapshot(self._timer.now() - self.age_s)


class Side:
    """A follower of servers, and the servers that write its topic."""

    def __init__(self):
        self.timer = test_followers.Timer()
        self.log = Log()
        self.store = Store(self.log)
        self.reader = Reader(self.timer)
        # Each server's birth, count of entries, and whether it leaves.
        self.born = dict.fromkeys(NAMES, 1)
        self.sequence = dict.fromkeys(NAMES, 0)
        self.leaving = set()
        self.sent = []
        for name in NAMES:
            self.beat(name)
        self.start()

    def start(self):
        self.directory = servers.Directory(self.timer.now)
        self.follower = followers.ServerFollower(
            self.store, self.timer, test_followers.Log(), self.directory, 2.5,
            self.reader,
        )  # fmt: skip
        self.ended = {}
        self.known = (0, 0)

    def make_entry(self, name):
        self.sequence[name] += 1
        return {
            'service': 's', 'address': '10.0.0.1:1', 'zone': 'a',
            'version': 'v1', 'slots': 4, 'born': self.born[name],
            'state': 'draining' if name in self.leaving else 'ready',
            'sequence': self.sequence[name],
        }  # fmt: skip

    def beat(self, name):
        entry = self.make_entry(name)
        self.sent.append((name, entry))
        self.log.append(name, entry)

    def repeat(self, number):
        """Let the store write an entry late that was sent before."""
        name, entry = self.sent[number % len(self.sent)]
        self.log.append(name, entry)

    def restart(self, name):
        self.born[name] += 1
        self.sequence[name] = 0
        self.leaving.discard(name)
        self.beat(name)

    def drain(self, name):
        self.leaving.add(name)
        self.beat(name)

    def remove(self, name):
        self.leaving.add(name)
        self.log.append(name, None)

    def restore(self, count):
        self.store.stale = None
        self.log = self.store.log = self.log.take(count)
        self.log.era += 1

    def read(self):
        listed = dict(self.directory.servers)
        asyncio.run(self.follower._topic.read())
        self.directory.apply_deferred()
        self.check(listed)

    def find_usable(self):
        return {n for n, s in self.directory.servers.items() if not s.leaving}

    def check(self, listed):
        """Check that nothing has gone back."""
        topic = self.follower._topic
        known = topic._known.era or 0, topic._known.end or 0
        assert known >= self.known
        self.known = known
        usable = self.find_usable()
        for name in usable & self.ended.keys():
            entry = self.directory.servers[name].entry
            assert entry.age_rank > self.ended[name]
        for name in listed.keys() - usable:
            self.ended[name] = listed[name].entry.age_rank


def choose(*names):
    return strategies.tuples(
        strategies.sampled_from(names), strategies.integers(0, 30)
    )


STEPS = strategies.lists(
    choose(
        'beat', 'repeat', 'drain', 'remove', 'restart', 'expire', 'reader old',
        'reader new', 'reader away', 'store away', 'store back', 'stale',
        'restore', 'read', 'read', 'read',
    ),
    max_size=60,
)  # fmt: skip


def play(side, what, number):
    name = NAMES[number % len(NAMES)]
    size = len(side.log.records)
    if what in ('beat', 'drain', 'remove', 'restart'):
        getattr(side, what)(name)
    elif what == 'repeat':
        side.repeat(number)
    elif what == 'expire':
        side.log.first = size
    elif what.startswith('reader'):
        is_old = what == 'reader old'
        taken = side.log.take(max(0, size - number * is_old))
        side.reader.log = None if what == 'reader away' else taken
        side.reader.age_s = 0.5 * number * is_old
    elif what.startswith('store'):
        side.store.is_up = what == 'store back'
    elif what == 'stale':
        side.store.stale = side.log.take(max(0, size - number))
    elif what == 'restore':
        side.restore(max(0, size - number))
    else:
        side.store.stale = None if number % 2 else side.store.stale
        side.read()


# Guards against requests to servers that are known to have left: what was
# known is taken back by something older.
@settings(max_examples=400, deadline=None)
@given(steps=STEPS)
def test_nothing_that_is_known_is_taken_back(steps):
    side = Side()
    for step in steps:
        play(side, *step)
    # Once the store can be read, all is as the servers have it.
    side.store.is_up, side.store.stale, side.reader.log = True, None, None
    alive = {name for name in NAMES if name not in side.leaving}
    for name in side.leaving:
        side.log.append(name, None)  # An entry without heartbeats lapses.
    for _ in range(3):
        for name in alive:
            side.beat(name)
        side.read()
        side.timer.time += 2.1
    assert side.find_usable() == alive


def make_gone():
    """Return a side whose follower knows that i-1 has gone."""
    side = Side()
    side.reader.log = side.log.take(len(side.log.records))
    side.read()
    side.reader.log = None
    side.remove('i-1')
    side.read()
    assert side.find_usable() == {'i-2', 'i-3'}
    return side


# The records up to the position have expired; the reader has older ones.
@pytest.mark.parametrize('is_store_up', [True, False])
def test_old_records_of_the_reader_are_not_taken_after_a_gap(is_store_up):
    side = make_gone()
    side.reader.log = side.log.take(3)
    side.reader.age_s = 9.0
    side.beat('i-2')
    side.log.first = len(side.log.records)
    for _ in range(4):
        side.store.is_up = True
        asyncio.run(side.follower._topic.read(is_direct=True))
        side.store.is_up = is_store_up
        side.read()
        assert side.find_usable() == {'i-2', 'i-3'}


# Stale reads, which the store gives for some seconds at most.
def test_store_that_has_less_than_is_known_is_not_believed_at_once():
    side = make_gone()
    side.store.stale = side.log.take(3)
    side.store.stale.first = 3
    for _ in range(4):
        side.read()
        assert side.find_usable() == {'i-2', 'i-3'}
    side.timer.time += known_records.MAX_STALE_S + 0.1
    asyncio.run(side.follower._topic.read())
    assert side.follower._topic.position == 3


# A store whose pages end before its last record, without any.
def test_read_that_brings_nothing_has_a_pause():
    side = make_gone()

    async def read(topic, start, wait_s=0.0):
        return result.Success(store.Page(start + 1, 0, start, (), era=1))

    side.store.read = read
    before = side.timer.time
    assert not asyncio.run(side.follower._topic.read()).unwrap()
    assert side.timer.time > before


# Pages of the newest records aren't a snapshot: one may hold a record that
# comes again, after older ones of its key.
def test_older_record_of_a_key_is_not_applied():
    known = known_records.KnownRecords(lambda: 0.0)
    assert known.add(store.Record('k', b'new', 5))
    assert not known.add(store.Record('k', b'old', 3))
    assert not known.add(store.Record('k', None, 4))
    assert known.newest == {'k': (5, b'new')}
    assert known.add(store.Record('k', None, 6))
