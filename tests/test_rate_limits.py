"""Rate limits of servers, divided among instances; without a network."""

import bisect
import random

import hypothesis
from hypothesis import strategies
import pytest

from arbutuschute.policy import rate_limits

# What a server may get in some seconds although it named a limit.
WINDOW_S = 4.0
MOST_FACTOR = 1.5
MOST_EXTRA = 5.0
STEP_S = 0.1


class Clock:
    def __init__(self):
        self.seconds = 100.0

    def now(self):
        return self.seconds


class Fleet:
    """Instances that hear a server's limit and tell each other late."""

    def __init__(self, names, delay_s=0.0, region='r', known_count=1):
        self.clock = Clock()
        self.known_count = known_count
        self.delay_s = delay_s
        self.region = region
        self.instances = {}
        self.demands = {}
        self.on_the_way = []
        # Instances whose reports are lost.
        self.muted = set()
        self.sent = []
        self.reported_at = {}
        self.last_reports = {}
        for name in names:
            self.start(name)

    def start(self, name):
        now = self.clock.now
        self.instances[name] = rate_limits.RateLimits(
            now, name, self.region, lambda _: self.known_count
        )
        self.demands[name] = rate_limits.Demand(now)
        self.reported_at[name] = 0.0
        for report in self.last_reports.values():
            self.instances[name].apply(report)

    def report(self, name):
        made = self.instances[name].make_report(self.demands[name].get_rates())
        self.reported_at[name] = self.clock.seconds
        if made is not None and name not in self.muted:
            self.last_reports[name] = made
            self.on_the_way.append((self.clock.seconds + self.delay_s, made))

    def deliver(self):
        now = self.clock.seconds
        due = [report for at, report in self.on_the_way if at <= now]
        self.on_the_way = [e for e in self.on_the_way if e[0] > now]
        for report in due:
            for name, found in self.instances.items():
                if found.apply(report):
                    self.report(name)

    def offer(self, name, limit):
        """Send one request if it is the instance's turn."""
        found = self.instances[name]
        self.demands[name].record('pool')
        if found.get_wait_s('s', 'pool', self.region) > 0.0:
            return
        found.reserve('s', 'pool', self.region)
        self.sent.append((self.clock.seconds, name))
        if found.record('s', limit):
            self.report(name)

    def run(self, seconds, limit, per_s, generator):
        """Offer ``per_s`` requests a second, of each instance or of all."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.seconds += STEP_S
            self.deliver()
            for name in list(self.instances):
                rate = per_s[name] if isinstance(per_s, dict) else per_s
                if generator.random() < rate * STEP_S:
                    self.offer(name, limit)
                period_s = self.instances[name].report_period_s
                if self.clock.seconds - self.reported_at[name] > period_s:
                    self.report(name)

    def count_most(self, since):
        """Return the most requests in a window that begins at ``since``."""
        times = [at for at, _ in self.sent if at >= since]
        return max(
            (
                bisect.bisect_left(times, start + WINDOW_S) - number
                for number, start in enumerate(times)
            ),
            default=0,
        )


def make(name='a'):
    clock = Clock()
    return rate_limits.RateLimits(clock.now, name, 'r'), clock


# Guards against sending a server more than the limit that it names, summed
# over all instances, whatever their number and demand.
@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(
    strategies.integers(1, 24),
    strategies.floats(0.4, 30.0),
    strategies.floats(0.1, 20.0),
    strategies.floats(0.0, 0.6),
    strategies.integers(0, 1000),
)
def test_all_instances_together_keep_a_limit(
    count, limit, per_s, delay_s, seed
):
    fleet = Fleet([f'i{number}' for number in range(count)], delay_s)
    began = fleet.clock.seconds
    fleet.run(14.0, limit, per_s, random.Random(seed))
    most = MOST_FACTOR * WINDOW_S * limit + MOST_EXTRA
    if any(at >= began + WINDOW_S for at, _ in fleet.sent):
        assert fleet.count_most(began + WINDOW_S) <= most


# Guards against each instance taking itself for the only one with demand, as
# after a restart of all.
def test_limit_is_kept_when_all_were_idle():
    fleet = Fleet([f'i{number}' for number in range(8)], delay_s=0.3)
    fleet.instances['i0'].record('s', 5.0)
    fleet.report('i0')
    fleet.run(6.0, 5.0, 0.0, random.Random(1))
    began = fleet.clock.seconds
    fleet.run(8.0, 5.0, 20.0, random.Random(1))
    assert fleet.count_most(began) <= MOST_FACTOR * WINDOW_S * 5.0 + MOST_EXTRA


# Guards against a limit that is shared by those that can tell their demand,
# while others, which no one counts, take shares as well.
@pytest.mark.parametrize('muted', [2, 4, 5])
def test_limit_is_kept_while_some_instances_cannot_report(muted):
    names = [f'i{number}' for number in range(6)]
    fleet = Fleet(names)
    fleet.muted.update(names[:muted])
    began = fleet.clock.seconds + WINDOW_S
    fleet.run(16.0, 5.0, 10.0, random.Random(1))
    assert fleet.count_most(began) <= MOST_FACTOR * WINDOW_S * 5.0 + MOST_EXTRA
    assert {name for _, name in fleet.sent} >= set(names[muted:])


def test_limit_is_used_where_there_is_demand():
    fleet = Fleet([f'i{number}' for number in range(6)])
    fleet.run(24.0, 6.0, 10.0, random.Random(1))
    used = sum(at > 104.0 for at, _ in fleet.sent) / 20.0
    assert 0.9 * 6.0 <= used <= 1.1 * 6.0


def test_limit_goes_to_those_with_demand():
    fleet = Fleet(['busy', 'idle'])
    fleet.offer('idle', 4.0)
    rates = {'busy': 20.0, 'idle': 0.0}
    fleet.run(12.0, 4.0, rates, random.Random(1))
    fleet.sent.clear()
    fleet.run(10.0, 4.0, rates, random.Random(1))
    assert len(fleet.sent) > 0.8 * 4.0 * 10.0


def test_instance_that_starts_takes_part():
    fleet = Fleet([f'i{number}' for number in range(4)])
    generator = random.Random(1)
    fleet.run(10.0, 8.0, 10.0, generator)
    fleet.start('new')
    began = fleet.clock.seconds
    fleet.run(12.0, 8.0, 10.0, generator)
    assert fleet.count_most(began) <= MOST_FACTOR * WINDOW_S * 8.0 + MOST_EXTRA
    new = sum(name == 'new' for at, name in fleet.sent if at > began + 6.0)
    assert new >= 4


def test_share_of_a_lost_instance_is_used_by_others():
    fleet = Fleet([f'i{number}' for number in range(2)])
    generator = random.Random(1)
    fleet.run(10.0, 4.0, 10.0, generator)
    del fleet.instances['i0']
    lifetime_s = (
        rate_limits.REPORT_LIFETIME_PERIODS * rate_limits.MIN_REPORT_PERIOD_S
    )
    fleet.run(lifetime_s + 1.0, 4.0, 10.0, generator)
    fleet.sent.clear()
    fleet.run(10.0, 4.0, 10.0, generator)
    assert len(fleet.sent) > 0.9 * 4.0 * 10.0


def test_small_limit_is_left_to_a_few_instances():
    fleet = Fleet([f'i{number}' for number in range(30)])
    fleet.run(10.0, 2.0, 5.0, random.Random(1))
    senders = {name for at, name in fleet.sent if at > 104.0}
    assert 1 <= len(senders) <= 2


def test_instances_of_the_servers_region_share_its_limit():
    clock = Clock()
    near = rate_limits.RateLimits(clock.now, 'near', 'r')
    far = rate_limits.RateLimits(clock.now, 'far', 'elsewhere')
    near.record('s', 5.0)
    far.apply(near.make_report({'pool': 1.0}))
    near.apply(far.make_report({'pool': 1.0}))
    assert far.get_wait_s('s', 'pool', 'r') == float('inf')
    assert near.get_wait_s('s', 'pool', 'r') == 0.0


def test_instance_alone_may_use_a_server_of_another_region():
    found, _ = make()
    found.record('s', 5.0)
    assert found.get_wait_s('s', 'pool', 'another') == 0.0


def test_turns_are_spaced_by_the_limit():
    found, clock = make()
    found.record('s', 2.0)
    waits = []
    for _ in range(4):
        waits.append(found.get_wait_s('s', 'pool', 'r'))
        found.reserve('s', 'pool', 'r')
    assert waits == pytest.approx([0.0, 0.5, 1.0, 1.5])
    clock.seconds += 2.0
    assert found.get_wait_s('s', 'pool', 'r') == 0.0


def test_server_without_a_limit_is_never_waited_for():
    found, _ = make()
    found.record('s', None)
    for _ in range(9):
        assert found.get_wait_s('s', 'pool', 'r') == 0.0
        found.reserve('s', 'pool', 'r')
    assert found.make_report({}) is None


def test_end_of_a_limit_reaches_the_others():
    fleet = Fleet(['a', 'b'])
    fleet.run(8.0, 1.0, 5.0, random.Random(1))
    fleet.instances['a'].record('s', None)
    fleet.report('a')
    fleet.deliver()
    assert fleet.instances['b'].get_wait_s('s', 'pool', 'r') == 0.0
    assert fleet.instances['a'].get_wait_s('s', 'pool', 'r') == 0.0


def test_newest_statement_counts():
    clock = Clock()
    first = rate_limits.RateLimits(clock.now, 'a', 'r')
    second = rate_limits.RateLimits(clock.now, 'b', 'r')
    first.record('s', 5.0)
    report = first.make_report({'pool': 1.0})
    clock.seconds += 1.0
    second.apply(report)
    second.record('s', None)
    clock.seconds += 1.0
    second.apply(first.make_report({'pool': 1.0}))
    assert second.get_wait_s('s', 'pool', 'r') == 0.0


def test_state_of_gone_servers_is_dropped():
    found, clock = make()
    for number in range(100):
        found.record(f's{number}', 5.0)
        found.reserve(f's{number}', 'pool', 'r')
    clock.seconds += rate_limits.STATEMENT_LIFETIME_S + 1.0
    assert found.make_report({}) is None


def test_demand_is_the_rate_of_the_last_seconds():
    clock = Clock()
    demand = rate_limits.Demand(clock.now)
    for _ in range(100):
        clock.seconds += 0.1
        demand.record('pool')
    assert demand.get_rates()['pool'] == pytest.approx(10.0, rel=0.15)
    clock.seconds += 20.0
    assert demand.get_rates() == {}


def test_many_instances_report_less_often():
    found, _ = make()
    found.record('s', 5.0)
    period_s = found.report_period_s
    assert period_s == rate_limits.MIN_REPORT_PERIOD_S
    for number in range(409):
        found.apply(rate_limits.LimitReport(f'i{number}', 'r'))
    assert 410 / found.report_period_s <= 1.1 * rate_limits.MAX_REPORTS_PER_S


# Guards against an instance that takes the whole of a server's limit because
# it hears of no other: the store, over which they share it, is down.
@pytest.mark.parametrize('count', [7, 30, 195])
def test_limit_is_kept_while_no_instance_hears_another(count):
    names = [f'i{number}' for number in range(count)]
    fleet = Fleet(names, known_count=count)
    fleet.muted.update(names)
    fleet.run(4.0, None, 4.0, random.Random(1))
    for found in fleet.instances.values():
        found.record('s', 4.0)
    began = fleet.clock.seconds + WINDOW_S
    fleet.run(16.0, 4.0, 4.0, random.Random(1))
    assert fleet.count_most(began) <= MOST_FACTOR * WINDOW_S * 4.0 + MOST_EXTRA


# Guards against instances of both regions dividing the whole limit, each
# region for itself, as neither hears of the other.
def test_limit_is_left_to_the_servers_region_while_none_is_heard():
    clock = Clock()
    sizes = {'r': 3, 'elsewhere': 4, None: 7}
    shares = []
    for region in ('r', 'elsewhere'):
        found = rate_limits.RateLimits(clock.now, 'i', region, sizes.get)
        found.record('s', 3.0)
        assert found.has_limit('s')
        shares.append(sizes[region] * found._get_share('s', 'pool', 'r'))
    assert shares == [pytest.approx(3.0), 0.0]


# Guards against the same after the reports that were heard have expired.
def test_limit_is_kept_when_hearing_stops():
    names = [f'i{number}' for number in range(7)]
    fleet = Fleet(names, known_count=7)
    fleet.run(8.0, 4.0, 8.0, random.Random(1))
    fleet.muted.update(names)
    lifetime_s = (
        rate_limits.REPORT_LIFETIME_PERIODS * rate_limits.MIN_REPORT_PERIOD_S
    )
    began = fleet.clock.seconds
    fleet.run(2 * lifetime_s, 4.0, 8.0, random.Random(1))
    assert fleet.count_most(began) <= MOST_FACTOR * WINDOW_S * 4.0 + MOST_EXTRA


# Guards against refusing for longer than needed: once all are heard, the
# limit is used as if the number of instances were not known.
def test_limit_is_used_again_when_hearing_returns():
    names = [f'i{number}' for number in range(7)]
    fleet = Fleet(names, known_count=7)
    fleet.muted.update(names)
    fleet.run(8.0, 7.0, 8.0, random.Random(1))
    fleet.muted.clear()
    fleet.run(8.0, 7.0, 8.0, random.Random(1))
    fleet.sent.clear()
    fleet.run(10.0, 7.0, 8.0, random.Random(1))
    assert len(fleet.sent) >= 0.8 * 7.0 * 10.0


# The fleet halves or doubles while nothing is told: what is known lags.
@pytest.mark.parametrize(('known', 'count'), [(14, 7), (7, 14)])
def test_known_number_lags_behind_the_fleet(known, count):
    names = [f'i{number}' for number in range(count)]
    fleet = Fleet(names, known_count=known)
    fleet.run(8.0, 8.0, 6.0, random.Random(1))
    fleet.sent.clear()
    began = fleet.clock.seconds
    fleet.run(10.0, 8.0, 6.0, random.Random(1))
    assert fleet.count_most(began) <= MOST_FACTOR * WINDOW_S * 8.0 + MOST_EXTRA
    assert len(fleet.sent) >= 0.4 * 8.0 * 10.0
