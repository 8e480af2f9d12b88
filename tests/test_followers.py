"""What followers know of the store under delays, failures and outages.

No network: a script sets how long each read of the store takes and whether
it fails; time advances only while something waits.
"""

import asyncio
import contextlib
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from returns import result

from arbutuschute import errors
from arbutuschute.ledgers import freshness
from arbutuschute.links import log
from arbutuschute.machines import servers
from arbutuschute.platform import configuration
from arbutuschute.platform import directory
from arbutuschute.platform import followers
from arbutuschute.platform import store
from arbutuschute.platform import topics

REVOKE_S = 5.0
LEASE_S = 4.4


class Timer:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time

    wall = now

    async def sleep(self, seconds):
        self.time += seconds


class Log:
    def __getattr__(self, _):
        return lambda *_, **__: None


class ScriptedStore:
    """One topic whose records appear at given times.

    Each step is (seconds that a read takes, the part of them before the
    store looks up its records, whether the read fails).
    """

    def __init__(self, timer, steps, records):
        self._timer = timer
        self._steps = iter(steps)
        self._records = records
        self.first = 0

    def _look_up(self, requested_at, wait_s, start):
        try:
            delay_s, part, fails = next(self._steps)
        except StopIteration:
            raise asyncio.CancelledError from None
        looked_up_at = requested_at + delay_s * part
        seen = [raw for at, raw in self._records if at <= looked_up_at]
        if len(seen) <= start and wait_s:
            later = [at for at, _ in self._records if at > looked_up_at]
            until = min([looked_up_at + wait_s, *later])
            seen = [raw for at, raw in self._records if at <= until]
            looked_up_at = until
        self._timer.time = looked_up_at + delay_s * (1 - part)
        return None if fails else seen

    async def read_newest(self, topic):
        seen = self._look_up(self._timer.now(), 0.0, 0)
        if seen is None:
            return result.Failure(errors.StoreDown('script'))
        newest = {}
        for offset, raw in enumerate(seen):
            record = store.split_keyed(raw, offset)
            newest[record.key] = record
        return result.Success(
            store.Snapshot(tuple(newest.values()), len(seen))
        )

    async def read(self, topic, start, wait_s=0.0):
        if start < self.first:
            return result.Failure(errors.StoreGap(topic))
        seen = self._look_up(self._timer.now(), wait_s, start)
        if seen is None:
            return result.Failure(errors.StoreDown('script'))
        return result.Success(
            store.Page(len(seen), 0, start, tuple(seen[start:]))
        )


def make_record(key, value):
    raw = json.dumps(value).encode() if value is not None else b''
    return bytes((len(key),)) + key.encode() + raw


def make_table(version, keys):
    return make_record(
        configuration.CONFIGURATION_KEY,
        {
            'version': version,
            'routes': [],
            'tenants': [{'name': 'o', 'apiKeys': keys}],
        },
    )


STEPS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 1.5),
        strategies.floats(0.0, 1.0),
        strategies.booleans(),
    ),
    min_size=1,
    max_size=40,
)


def run_to_end(follower):
    """Run a follower until its script ends."""
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(follower.run())


def follow(steps, revoked_at, changed_at=None):
    """Follow the operator's records; return (newest version, lease).

    Version 2 revokes the key; another change may come before it.
    """
    records = [(0.0, make_table(0, ['k']))]
    if changed_at is not None:
        records.append((changed_at, make_table(1, ['k'])))
    records.append((revoked_at, make_table(2, [])))
    timer = Timer()
    lease = freshness.Freshness(timer.now, LEASE_S)
    tables = []
    scripted = ScriptedStore(
        timer,
        [(0.0, 0.0, False), *steps],
        records,
    )
    follower = followers.OperatorFollower(
        scripted, timer, Log(), lease, tables.append, lambda _: None
    )
    run_to_end(follower)
    return tables[-1].version, lease


@settings(max_examples=40, deadline=None)
@given(steps=STEPS, slow_s=strategies.floats(0.7, 1.5))
def test_revoked_key_is_never_accepted_after_its_bound(steps, slow_s):
    """An old configuration is not used past its bound, whatever happens.

    The key is revoked at each of many moments; after a last slow response
    the store responds no more.
    """
    steps = [*steps[:8], (slow_s, 0.0, False)]
    for moment in range(60):
        revoked_at = 0.01 + 0.25 * moment
        version, lease = follow(steps, revoked_at)
        if version < 2:
            assert lease.confirmed_at + LEASE_S <= revoked_at + REVOKE_S


# The response to a long poll has a change and is read late, after a freeze:
# it confirms nothing that came after the change.
@pytest.mark.parametrize('frozen_s', [0.5, 1.0, 2.5, 3.4])
def test_late_response_with_a_change_confirms_no_later_time(frozen_s):
    steps = [(0.0, 0.0, False), (frozen_s, 0.0, False)]
    version, lease = follow(steps, revoked_at=0.6, changed_at=0.5)
    assert version == 1
    assert lease.confirmed_at + LEASE_S <= 0.6 + REVOKE_S


# The same with any delays, the change at any moment before the key is revoked.
@settings(max_examples=40, deadline=None)
@given(
    steps=STEPS,
    frozen_s=strategies.floats(0.0, 3.5),
    ahead_s=strategies.floats(0.0, 2.0),
)
def test_revoked_key_is_not_accepted_after_a_change_that_was_read_late(
    steps, frozen_s, ahead_s
):
    steps = [*steps[:8], (frozen_s, 0.0, False)]
    for moment in range(60):
        revoked_at = 0.01 + 0.25 * moment
        changed_at = max(0.0, revoked_at - ahead_s)
        version, lease = follow(steps, revoked_at, changed_at)
        if version < 2:
            assert lease.confirmed_at + LEASE_S <= revoked_at + REVOKE_S


# A zone reader passes its confirmation on: its peers would go on as well.
def test_late_response_with_a_change_confirms_nothing_to_zone_peers():
    timer = Timer()
    shared = []

    class Sharing(HoldingZoneReader):
        async def read(self, topic, start, read_limits, confirmed_at, era):
            return None

        def record_read(self, topic, start, records, confirmed_at, era):
            shared.append((confirmed_at, len(records)))

    script = ScriptedStore(
        timer,
        [(0.0, 0.0, False), (2.5, 0.0, False)],
        [(0.0, make_table(1, ['k'])), (0.2, make_table(2, ['k']))],
    )
    follower = followers.OperatorFollower(
        script, timer, Log(), freshness.Freshness(timer.now, LEASE_S),
        lambda table: None, lambda order: None, Sharing(),
    )  # fmt: skip
    run_to_end(follower)
    assert [count for _, count in shared] == [0, 1]
    assert shared[-1][0] <= 0.2


# The same on the own interface: a read confirms the moment of its request.
def test_late_response_of_the_log_confirms_no_later_time():
    timer = Timer()

    class Client:
        async def read(self, stream, start, wait_s=0.0):
            timer.time += 2.5
            page = log.Page(
                records=(log.Record(offset=start, time=0.0, value='{}'),),
                first=0, head=start + 1,
            )  # fmt: skip
            return result.Success(page)

    follower = log.LogFollower(Client(), 's', timer)
    for begun_at in (0.0, 2.5):
        asyncio.run(follower.read_once(1.0))
        assert follower.confirmed_at == begun_at


@settings(max_examples=200)
@given(steps=STEPS, gone_at=strategies.floats(0.5, 10.0))
def test_servers_match_the_log_once_it_is_available(steps, gone_at):
    timer = Timer()
    made = servers.Directory(timer.now)
    entry = {
        'service': 's', 'address': '10.0.0.1:1', 'zone': 'a',
        'version': 'v1', 'slots': 4, 'state': 'ready', 'sequence': 1,
    }  # fmt: skip
    records = [
        (0.0, make_record('i-1', entry)),
        (0.0, make_record('i-2', entry)),
        (gone_at, make_record('i-1', None)),
    ]
    # At the end the store is available for long enough.
    healthy = [(0.01, 0.5, False)] * 12
    scripted = ScriptedStore(timer, [*steps, *healthy], records)
    follower = followers.ServerFollower(scripted, timer, Log(), made, 2.5)
    run_to_end(follower)
    assert set(made.servers) == {'i-2'}


@given(raw=strategies.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_valid_entry_or_none(raw):
    found = directory.decode_entry('i-1', raw)
    assert found is None or found.service
    store.split_keyed(raw, 0)


class HoldingZoneReader:
    """A zone reader that responds after a long poll, or is unavailable."""

    def __init__(self):
        self.is_healthy = self.follows_reader = self.is_known = True

    async def wait_until_known(self, seconds):
        pass

    async def wait_for_retry(self, pause_s, alone_period_s, tried_at):
        pass

    def record_failed_call(self):
        pass

    def may_read_directly(self):
        return True

    async def read_newest(self, topic):
        return None

    def share_newest(self, topic, records, end, confirmed_at, era):
        pass

    async def read(self, topic, start, read_limits, confirmed_at, era):
        if not self.is_healthy:
            return None
        return store.Page(start, start, start, (), 0.0)

    def record_read(self, topic, start, records, confirmed_at, era):
        pass


def test_long_poll_at_the_zone_reader_is_followed_at_once():
    async def scenario():
        timer = Timer()
        zone_reader = HoldingZoneReader()
        script = ScriptedStore(timer, [(0.0, 0.0, False)] * 9, [])
        topic = topics.TopicFollower(
            script,
            timer,
            't',
            Log(),
            lambda record: None,
            zone_reader=zone_reader,
        )
        assert (await topic.read()).unwrap()
        await topic.wait(1.0)
        assert timer.now() == 1.0
        assert (await topic.read()).unwrap()
        await topic.wait(1.0)
        assert timer.now() == 1.0
        await topic.wait(1.0)
        assert timer.now() == 2.0
        zone_reader.is_healthy = False
        assert (await topic.read()).unwrap()
        await topic.wait(1.0)
        assert timer.now() == 3.0

    asyncio.run(scenario())
