"""What serves and what is tried while orders follow each other; no network."""

import pytest

from arbutuschute.policy import canary
from arbutuschute.policy import rollout_decision
from arbutuschute.policy import rollout_records
from arbutuschute.policy import version_choice
from tests import test_canary

RUNNING = rollout_records.Phase.RUNNING
COMPLETED = rollout_records.Phase.COMPLETED
ROLLED_BACK = rollout_records.Phase.ROLLED_BACK
DURATION_S = 24.0
SERVERS = {
    version: test_canary.make_server(version, version)
    for version in ('v1', 'v2', 'v3')
}
NEW, OLD, ASIDE = version_choice.Group
AFTER_V2 = rollout_records.Serving(('v1',), ('v2',))


# v3 is tried after v2, which was never completed.
@pytest.mark.parametrize(
    ('share', 'before_ramp', 'position', 'seen', 'group'),
    [
        # Before the first step.
        (0.0, True, 0.01, None, OLD),
        (0.0, True, 0.01, 'v1', OLD),
        (0.0, True, 0.01, 'v2', ASIDE),
        (0.0, True, 0.01, 'v3', NEW),
        (0.0, True, 0.50, 'v3', OLD),
        # At the first step.
        (0.06, True, 0.01, None, NEW),
        (0.06, True, 0.50, None, OLD),
        (0.06, True, 0.01, 'v1', OLD),
        (0.06, True, 0.01, 'v2', ASIDE),
        (0.06, True, 0.50, 'v2', ASIDE),
        # From the ramp on.
        (0.4, False, 0.30, 'v1', NEW),
        (0.4, False, 0.50, 'v1', OLD),
        (0.4, False, 0.50, 'v2', NEW),
        (0.4, False, 0.50, None, OLD),
        # Completed, and rolled back.
        (1.0, False, 0.99, 'v1', NEW),
        (0.0, False, 0.00, 'v2', OLD),
    ],
)
def test_group_of_a_session(share, before_ramp, position, seen, group):
    choice = version_choice.Choice('v3', AFTER_V2, share, 0.06, before_ramp)
    assert choice.choose_group(position, seen) is group


# A group without live servers is replaced; one that was tried is not.
@pytest.mark.parametrize(
    ('usable', 'live', 'position', 'seen', 'found'),
    [
        ('v1 v2 v3', 'v1 v2 v3', 0.5, None, 'v1'),
        ('v1 v2 v3', 'v1 v2 v3', 0.5, 'v2', 'v2'),
        ('v1 v3', 'v1 v3', 0.5, 'v2', 'v1'),
        # A session of a version that was rolled back is not a new one.
        ('v1 v3', 'v1 v3', 0.01, 'v2', 'v1'),
        ('v2 v3', 'v2 v3', 0.5, None, 'v3'),
        ('v2 v3', 'v1 v2 v3', 0.5, None, ''),
        ('v1 v2', 'v1 v2', 0.01, None, 'v1'),
        ('v2', 'v2', 0.5, None, 'v2'),
        ('', 'v1', 0.5, None, ''),
    ],
)
def test_servers_of_a_session(usable, live, position, seen, found):
    choice = version_choice.Choice('v3', AFTER_V2, 0.06, 0.06, True)
    chosen = choice.select(
        [SERVERS[name] for name in usable.split()],
        [SERVERS[name] for name in live.split()],
        position,
        seen,
    )
    assert ' '.join(s.entry.version for s in chosen) == found


@pytest.mark.parametrize(
    ('before', 'ordered', 'phase', 'number', 'following', 'expected'),
    [
        # Back to what serves, to a third one, the same again.
        ((('v1',), ()), 'v2', RUNNING, 0, 'v1', (('v1',), ('v2',))),
        ((('v1',), ()), 'v2', RUNNING, 0, 'v3', (('v1',), ('v2',))),
        ((('v1',), ()), 'v2', RUNNING, 0, 'v2', (('v1',), ())),
        ((('v1',), ()), 'v2', ROLLED_BACK, 0, 'v3', (('v1',), ('v2',))),
        ((('v1',), ()), 'v2', COMPLETED, 2, 'v3', (('v2',), ('v1',))),
        ((('v1',), ()), 'v2', COMPLETED, 2, 'v1', (('v2',), ())),
        ((('v1',), ('v2',)), 'v3', RUNNING, 0, 'v2', (('v1',), ('v3',))),
        # At the last step of the order before, whose end may be unread.
        ((('v1',), ()), 'v2', RUNNING, 2, 'v3', (('v1',), ())),
        ((('v1',), ()), 'v2', ROLLED_BACK, 2, 'v3', (('v1',), ('v2',))),
        # The order back is itself followed by another one.
        ((('v1',), ('v2',)), 'v1', RUNNING, 0, 'v2', (('v1',), ())),
        ((('v1',), ('v2',)), 'v1', COMPLETED, 2, 'v3', (('v1',), ('v2',))),
        # What served isn't known.
        (((), ()), 'v2', RUNNING, 0, 'v1', ((), ('v2',))),
    ],
)
def test_serving_follows_from_the_order_before(
    before, ordered, phase, number, following, expected
):
    found = version_choice.follow(
        rollout_records.Serving(*before), ordered, phase, number,
        ('v1', 'v2'), following,
    )  # fmt: skip
    assert found == rollout_records.Serving(*expected)


class Instances:
    """Instances that read orders and each other's records."""

    def __init__(self, *names):
        self.clock = test_canary.Clock()
        self.known = {name: self._make(name) for name in names}
        self.offset = 0

    def _make(self, name):
        return canary.Rollouts(self.clock, 5.0, name, self.clock)

    def start(self, name, *records):
        """Start an instance; it reads the newest order and records."""
        made = self.known[name] = self._make(name)
        others = [one for one in self.known.values() if one.by_service]
        made.apply_order(others[0].by_service['s'].order)
        for record in records:
            made.apply(record)

    def order(self, version, settled=('v1',)):
        self.offset += 1
        order = rollout_records.Order('s', version, DURATION_S, self.offset)
        for one in self.known.values():
            one.apply_order(order, 3, ('v1', 'v2', 'v3'), settled)

    def announce(self, name):
        """Let an instance announce what it knows; return the record."""
        one = self.known[name]
        record = one.by_service['s'].decide(name, self.clock.time, True)
        if record is not None:
            record = rollout_records.decode(rollout_records.encode(record))
            for reader in self.known.values():
                reader.apply(record)
        return record

    def count(self, name, version, requests=300):
        """Return how many of some requests go to a version."""
        one = self.known[name]
        servers = list(SERVERS.values())
        chosen = [
            one.select('s', servers, f'r-{number}', servers)[0]
            for number in range(requests)
        ]
        return sum(s.entry.version == version for s in chosen)


# Guards against an order back that makes the version before, which had only
# been begun, the old side: it got nearly all requests.
@pytest.mark.parametrize('second', ['v1', 'v3'])
@pytest.mark.parametrize('after_s', [0.0, 2.0, 6.0, 14.0])
def test_replaced_version_gets_no_new_requests(second, after_s):
    fleet = Instances('a')
    fleet.order('v2')
    fleet.clock.time += after_s
    fleet.order(second)
    for _ in range(20):
        assert fleet.count('a', 'v2') == 0
        fleet.clock.time += 1.0
        fleet.announce('a')


# An instance that starts between the orders, or after both, can't read the
# first one.
@pytest.mark.parametrize('second', ['v1', 'v3'])
def test_instance_that_starts_learns_what_was_replaced(second):
    fleet = Instances('a')
    fleet.order('v2')
    first = fleet.announce('a')
    fleet.start('b', first)
    fleet.order(second)
    fleet.start('c', first)
    for name in 'bc':
        assert fleet.count(name, 'v2') == 0
    fleet.start('d')
    record = fleet.announce('a')
    assert record.serving == AFTER_V2
    assert fleet.count('d', 'v2') == 0


# An instance that knows less may be the first to announce the order.
def test_announcement_that_knows_less_is_corrected():
    fleet = Instances('a')
    fleet.order('v2')
    fleet.order('v1')
    fleet.start('b')
    assert fleet.count('b', 'v2') > 0
    assert fleet.announce('b').serving == rollout_records.UNKNOWN_SERVING
    assert fleet.announce('a').serving == AFTER_V2
    assert fleet.count('b', 'v2') == 0
    assert fleet.announce('a') is None
    assert fleet.announce('b') is None


# A version that serves is not rejected, whatever is known of it.
def test_order_back_is_completed_without_trials():
    fleet = Instances('a')
    fleet.order('v2')
    fleet.clock.time += 2.0
    fleet.order('v1')
    one = fleet.known['a']
    while one.by_service['s'].phase is RUNNING:
        fleet.clock.time += 1.0
        assert fleet.clock.time < DURATION_S
        fleet.announce('a')
        assert fleet.count('a', 'v1') == 300
    rollout = one.by_service['s']
    assert rollout.phase is COMPLETED
    assert fleet.clock.time > 2.0 + rollout_decision.RAMP_FROM * DURATION_S


def test_order_back_is_not_completed_while_requests_run_elsewhere():
    fleet = Instances('a')
    fleet.order('v2')
    fleet.order('v1')
    rollout = fleet.known['a'].by_service['s']
    fleet.announce('a')
    fleet.clock.time += 0.6 * DURATION_S
    assert rollout.decide('a', fleet.clock.time, old_idle=False) is None
    assert rollout.decide('a', fleet.clock.time, old_idle=True) is not None


# Sessions of the version that an order replaces.
@pytest.mark.parametrize('second', ['v1', 'v3'])
def test_sessions_of_the_replaced_version_stay_until_the_ramp(second):
    fleet = Instances('a', 'b')
    fleet.order('v2')
    fleet.announce('a')
    fleet.clock.time += 4.0
    one, other = fleet.known['a'], fleet.known['b']
    servers = list(SERVERS.values())
    one.begin_request('s', 'x')
    one.record_attempt(SERVERS['v2'], 'x')
    one.end_request('s', 'x')
    fleet.order(second)
    assert one.select('s', servers, 'x', servers) == [SERVERS['v2']]
    other.apply(one.list_sessions(one.by_service['s']))
    assert other.select('s', servers, 'x', servers) == [SERVERS['v2']]
    fleet.clock.time += 0.6 * DURATION_S
    if second == 'v3':
        step = rollout_records.Step(2, 's', 1, RUNNING, 0.5 * DURATION_S)
        other.apply(step)
    assert other.select('s', servers, 'x', servers) == [SERVERS[second]]


# The operator's order is written twice, or is repeated.
def test_order_of_the_same_version_goes_on_with_the_roll_out():
    fleet = Instances('a')
    fleet.order('v2')
    fleet.announce('a')
    fleet.clock.time += 5.0
    before = fleet.count('a', 'v2')
    assert before
    fleet.known['a'].by_service['s'].comparison.record('new', 'error', True)
    fleet.order('v2')
    assert fleet.count('a', 'v2') == before
    rollout = fleet.known['a'].by_service['s']
    assert rollout.comparison.sum_counts('new', 'error', 'a') == (1, 1)
    assert fleet.announce('a').order == rollout.order.offset


def test_responses_of_the_replaced_version_count_for_nobody():
    fleet = Instances('a')
    fleet.order('v2')
    fleet.order('v3')
    one = fleet.known['a']
    for version in SERVERS:
        one.record(SERVERS[version], 'error', True)
    counts = one.by_service['s'].comparison
    assert counts.sum_counts('new', 'error', 'a') == (1, 1)
    assert counts.sum_counts('old', 'error', 'a') == (1, 1)


# An order for the only version there is, in thin traffic.
def test_version_without_another_one_is_not_rolled_back_for_lack_of_trials():
    fleet = Instances('a')
    fleet.order('v1', settled=())
    fleet.announce('a')
    rollout = fleet.known['a'].by_service['s']
    end = rollout_decision.END_BY * DURATION_S
    assert rollout.decide('a', end, True, has_old=False).phase is COMPLETED
    assert rollout.decide('a', end, True, has_old=True).phase is ROLLED_BACK


# A step of a build that doesn't know of this.
def test_step_without_a_version_is_read():
    fleet = Instances('a')
    fleet.order('v2')
    raw = (
        b'{"type":"step","order":1,"service":"s","number":0,'
        b'"phase":"running","elapsed_s":0.5}'
    )
    one = fleet.known['a']
    one.apply(rollout_records.decode(raw))
    assert one.by_service['s'].serving.versions == ('v1',)
    assert fleet.announce('a').serving.versions == ('v1',)


# An order that is read before the end of the one before it.
@pytest.mark.parametrize(
    ('phase', 'serving', 'version'),
    [
        (COMPLETED, (('v2',), ('v1',)), 'v2'),
        (ROLLED_BACK, (('v1',), ('v2',)), 'v1'),
    ],
)
def test_end_of_the_order_before_may_be_read_later(phase, serving, version):
    fleet = Instances('a', 'b')
    fleet.order('v2')
    fleet.announce('a')
    fleet.clock.time += 0.8 * DURATION_S
    last = rollout_records.Step(
        1, 's', 2, RUNNING, 14.0, version='v2',
        serving=rollout_records.Serving(('v1',)),
    )  # fmt: skip
    end = rollout_records.Step(
        1, 's', 2, phase, 18.0, version='v2',
        serving=rollout_records.Serving(('v1',)),
    )  # fmt: skip
    for one in fleet.known.values():
        one.apply(last)
    fleet.known['b'].apply(end)
    fleet.order('v3')
    assert fleet.count('a', 'v3') == 0
    fleet.known['a'].apply(end)
    for name in 'ab':
        assert fleet.count(name, version) == 300
        found = fleet.known[name].by_service['s'].serving
        assert found == rollout_records.Serving(*serving)
    assert fleet.announce('a').serving == rollout_records.Serving(*serving)
