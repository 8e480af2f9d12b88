"""Lists of sessions that instances exchange for a roll-out; no network."""

import random

import msgspec
import pytest

from arbutuschute.policy import canary
from arbutuschute.policy import rollout_records
from arbutuschute.policy import sessions
from tests import serving
from tests import test_canary

ORDER = rollout_records.Order('s', 'v2', 24.0, 7)
OLD = test_canary.make_server('old')
NEW = test_canary.make_server('new', version='v2')
FIRST_SHARE = 0.05


class Fleet:
    """Instances that share a clock; the test passes records on."""

    def __init__(self, *names):
        self.clock = test_canary.Clock()
        self.clock.time = 100.0
        self.instances = {}
        for name in names:
            self.add(name)

    def add(self, name):
        made = canary.Rollouts(self.clock, 5.0, name, self.clock)
        self.instances[name] = made
        return made

    def order(self, order=ORDER):
        for one in self.instances.values():
            one.apply_order(order)

    def serve(self, name, session, servers=(OLD, NEW)):
        """Serve a request of a session; return its version."""
        one = self.instances[name]
        chosen = test_canary.run_request(one, list(servers), session)
        one.end_request('s', session)
        return chosen.entry.version

    def list_sessions(self, name, to):
        """Let an instance write what it lists, and others read it."""
        one = self.instances[name]
        record = one.list_sessions(one.by_service['s'])
        if record is None:
            return None
        raw = rollout_records.encode(record)
        for reader in to:
            self.instances[reader].apply(rollout_records.decode(raw))
        one.confirm_listed(record)
        return record


def make_fleet(*names):
    """Return a fleet whose instance ``a`` has seen one session."""
    fleet = Fleet(*names)
    (session,) = serving.find_sessions('v2', FIRST_SHARE, 1)
    assert fleet.serve('a', session, [OLD]) == 'v1'
    return fleet, session


def test_listed_session_keeps_its_version_until_the_ramp():
    fleet, session = make_fleet('a', 'b')
    fleet.order()
    fleet.list_sessions('a', to='b')
    fleet.clock.time += 4.0
    assert fleet.serve('b', session) == 'v1'
    fleet.clock.time += 9.0
    step = rollout_records.Step(7, 's', 1, rollout_records.Phase.RUNNING, 13.0)
    fleet.instances['b'].apply(step)
    fleet.clock.time += 2.0
    assert fleet.serve('b', session) == 'v2'


# A list that is written or read late.
def test_late_list_does_not_take_a_session_back():
    fleet, session = make_fleet('a', 'b')
    fleet.order()
    fleet.clock.time += 4.0
    assert fleet.serve('b', session) == 'v2'
    fleet.list_sessions('a', to='b')
    assert fleet.serve('b', session) == 'v2'


# Sessions begin until the first step takes effect; they are listed then.
def test_sessions_that_begin_after_a_list_are_listed_with_the_others():
    fleet, first = make_fleet('a', 'b')
    fleet.order()
    assert fleet.list_sessions('a', to='ab')
    assert fleet.list_sessions('a', to='ab') is None
    second = serving.find_sessions('v2', FIRST_SHARE, 2)[1]
    assert fleet.serve('a', second) == 'v1'
    record = fleet.list_sessions('a', to='ab')
    assert len(sessions.unpack(record)) == 2
    fleet.clock.time += 4.0
    assert {fleet.serve('b', s) for s in (first, second)} == {'v1'}


def test_list_of_one_order_does_not_hold_for_the_next():
    fleet, session = make_fleet('a', 'b')
    fleet.order()
    fleet.list_sessions('a', to='b')
    fleet.clock.time += 30.0
    ended = rollout_records.Step(
        7, 's', 0, rollout_records.Phase.ROLLED_BACK, 30.0
    )
    for one in fleet.instances.values():
        one.apply(ended)
    fleet.order(rollout_records.Order('s', 'v2', 24.0, 9))
    fleet.clock.time += 4.0
    assert fleet.serve('b', session) == 'v2'


def test_restored_log_gets_the_list_again():
    fleet, session = make_fleet('a', 'b')
    fleet.order()
    assert fleet.list_sessions('a', to='b')
    for one in fleet.instances.values():
        one.begin_era()
    assert fleet.list_sessions('a', to='') is None
    fleet.order(rollout_records.Order('s', 'v2', 24.0, 3))
    fleet.add('late').apply_order(rollout_records.Order('s', 'v2', 24.0, 3))
    assert fleet.list_sessions('a', to=['late'])
    fleet.clock.time += 4.0
    assert fleet.serve('late', session) == 'v1'


# A process that is started again under its name replaces its record.
def test_list_contains_what_the_process_before_has_listed():
    fleet, session = make_fleet('a', 'b')
    fleet.order()
    raw = rollout_records.encode(fleet.list_sessions('a', to='b'))
    restarted = fleet.add('a')
    restarted.apply_order(ORDER)
    restarted.apply(rollout_records.decode(raw))
    second = serving.find_sessions('v2', FIRST_SHARE, 2)[1]
    assert fleet.serve('a', second, [OLD]) == 'v1'
    record = fleet.list_sessions('a', to='')
    numbers = {sessions.hash_session('s', s) for s in (session, second)}
    assert set(sessions.unpack(record)) == numbers


# Its sessions may continue within their time.
@pytest.mark.parametrize(('pause_s', 'version'), [(4.0, 'v1'), (99.0, 'v2')])
def test_sessions_of_a_stop_hold_for_orders_that_come_soon(pause_s, version):
    fleet, session = make_fleet('a', 'b')
    (record,) = fleet.instances['a'].list_sessions_at_stop()
    fleet.instances['b'].apply(
        rollout_records.decode(rollout_records.encode(record))
    )
    fleet.clock.time += pause_s
    fleet.order()
    fleet.clock.time += 4.0
    assert fleet.serve('b', session) == version


def test_requests_without_a_session_are_not_listed():
    fleet = Fleet('a')
    one = fleet.instances['a']
    (key,) = serving.find_sessions('v2', FIRST_SHARE, 1)
    one.begin_request('s', key, is_session=False)
    one.record_attempt(OLD, key)
    fleet.order()
    assert fleet.list_sessions('a', to='') is None
    assert not one.list_sessions_at_stop()


def test_session_that_is_not_utf_8_is_listed():
    fleet = Fleet('a')
    for number in range(100):
        fleet.serve('a', f'\udcff{number}', [OLD])
    fleet.order()
    assert fleet.list_sessions('a', to='a')


@pytest.mark.parametrize('packed', [b'123', b'12345'])
def test_broken_list_is_malformed(packed):
    fleet = Fleet('a')
    fleet.order()
    record = rollout_records.Sessions('s', 'b', 100.0, {'v1': packed}, 7)
    with pytest.raises(msgspec.DecodeError):
        fleet.instances['a'].apply(record)


# The largest fleet: 410 instances, 1,200 servers, 11,000 requests a second.
# The store does 400 writes a second, and lists have 1.4 s.
def test_lists_of_the_largest_fleet_are_few_and_small():
    clock = test_canary.Clock()
    rng = random.Random(1)
    sizes = []
    for number in range(410):
        one = canary.Rollouts(clock, 5.0, f'edge-{number}', clock)
        for _ in range(300):
            session = f'{rng.random()}'
            one.begin_request('s', session)
            one.record_attempt(OLD, session)
            one.end_request('s', session)
        one.apply_order(ORDER, servers=1200)
        rollout = one.by_service['s']
        announced = rollout.decide('i', clock.time, True)
        one.apply(announced)
        record = one.list_sessions(rollout)
        if record is not None:
            sizes.append(len(rollout_records.encode(record)))
    assert len(sizes) <= 0.25 * 410
    assert max(sizes) <= 200
