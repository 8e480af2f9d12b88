"""Policies on generated and hand-picked cases."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from arbutuschute import errors
from arbutuschute.load import simulated
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from arbutuschute import messages
from arbutuschute.policy import admission
from arbutuschute.policy import cascade
from arbutuschute.policy import choice
from arbutuschute.policy import guard
from arbutuschute.policy import migration
from arbutuschute.policy import pace
from arbutuschute.policy import retry
from arbutuschute import timer

OLD = 'p/m:2@0/old'
NEW = 'p/m:2@0/new'


def make_server(name, slots=10, **load):
    server = fleet.BackendServer(instances.Instance(name, 'engine', 'z', 'g'))
    server.load = fleet.Load(slots=slots, **load)
    return server


def make_entry(organisation, number, priority=4, cost_s=1.0, deadline=1e9,
               weight=1.0):  # fmt: skip
    return admission.QueueEntry(
        number, organisation, weight, priority, cost_s, deadline
    )


entries = strategies.lists(
    strategies.builds(
        make_entry,
        strategies.sampled_from('abc'),
        strategies.integers(),
        strategies.integers(0, 9),
        strategies.floats(0.1, 5.0),
        strategies.floats(1.0, 60.0),
    ),
    max_size=30,
)


@hypothesis.given(entries)
def test_every_entry_is_popped_refused_or_expired_exactly_once(offered):
    queue = admission.FairQueue()
    seen = []
    for now, entry in enumerate(offered):
        try:
            queue.enqueue(entry, now, 4.0)
        except errors.Overloaded as failure:
            assert failure.ran is errors.Ran.NO
            seen.append(entry)
        if now % 3 == 0:
            popped, expired = queue.pop(now)
            seen += [*expired, *([popped] if popped else [])]
    while queue.waiting:
        popped, expired = queue.pop(0.0)
        seen += [*expired, *([popped] if popped else [])]
    assert sorted(map(id, seen)) == sorted(map(id, offered))


def test_a_large_organisation_does_not_crowd_out_a_small_one():
    queue = admission.FairQueue()
    for number in range(100):
        queue.enqueue(make_entry('large', number), 0.0, 10.0)
    for number in range(5):
        queue.enqueue(make_entry('small', number), 0.0, 10.0)
    order = [queue.pop(0.0)[0].organisation for _ in range(12)]
    assert order.count('small') == 5


def test_weights_set_the_shares():
    queue = admission.FairQueue()
    for number in range(60):
        queue.enqueue(make_entry('a', number, weight=3.0), 0.0, 10.0)
        queue.enqueue(make_entry('b', number), 0.0, 10.0)
    order = [queue.pop(0.0)[0].organisation for _ in range(40)]
    assert order.count('a') == 30


def test_short_work_goes_first_within_an_organisation():
    queue = admission.FairQueue()
    queue.enqueue(make_entry('a', 1, priority=6, cost_s=20.0), 0.0, 10.0)
    queue.enqueue(make_entry('a', 2, priority=0, cost_s=0.1), 0.0, 10.0)
    assert queue.pop(0.0)[0].item == 2


def test_long_work_waits_while_its_share_of_the_slots_is_used():
    queue = admission.FairQueue()
    for number in range(3):
        queue.enqueue(make_entry('a', number, priority=6), 0.0, 2.0)
    first, _ = queue.pop(0.0, queue.has_long_capacity(2.0))
    queue.pop(0.0, queue.has_long_capacity(2.0))
    assert queue.pop(0.0, queue.has_long_capacity(2.0)) == (None, [])
    queue.finish(first)
    assert queue.pop(0.0, queue.has_long_capacity(2.0))[0] is not None


def test_work_that_would_miss_its_deadline_is_refused_before_it_runs():
    queue = admission.FairQueue()
    for number in range(40):
        queue.enqueue(make_entry('a', number, deadline=1e9), 0.0, 1.0)
    with pytest.raises(errors.Overloaded):
        queue.enqueue(make_entry('a', 41, deadline=10.0), 0.0, 1.0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 200), strategies.integers(0, 200)
        ),
        max_size=10,
    )
)
def test_evidence_may_be_lost_repeated_and_reordered(updates):
    """Counters only grow, so copies may be merged in any order."""
    copies = [
        (messages.Evidence(f'{NEW}#error', max(t, f), min(t, f)),)
        for t, f in updates
    ]
    version_guard = guard.Guard()
    for evidence in [*copies, *reversed(copies), *copies]:
        version_guard.merge_peer(('r', 1), evidence)
    failures, trials = version_guard.sum_counts(NEW, 'error')
    assert trials == max((max(u) for u in updates), default=0)
    assert failures == max((min(u) for u in updates), default=0)


def test_counts_of_both_incarnations_of_an_instance_add_up():
    version_guard = guard.Guard()
    version_guard.merge_peer(
        ('r', 1), (messages.Evidence(f'{NEW}#error', 10, 1),)
    )
    version_guard.merge_peer(
        ('r', 2), (messages.Evidence(f'{NEW}#error', 4, 1),)
    )
    assert version_guard.sum_counts(NEW, 'error') == (2, 14)


def test_shared_evidence_halts_when_each_instance_has_too_little():
    alone = [guard.Guard() for _ in range(7)]
    for version_guard in alone:
        for number in range(300):
            version_guard.record(OLD, 'error', number % 100 == 0)
        for number in range(10):
            version_guard.record(NEW, 'error', number % 5 == 0)
    assert not any(
        version_guard.find_fault(NEW, OLD) for version_guard in alone
    )
    for number, version_guard in enumerate(alone[1:]):
        alone[0].merge_peer((f'r{number}', 1), version_guard.export())
    assert alone[0].find_fault(NEW, OLD) == 'error'


def test_a_version_as_good_as_the_old_one_is_not_halted():
    rng = random.Random(7)
    version_guard = guard.Guard()
    for _ in range(500):
        version_guard.record(OLD, 'error', rng.random() < 0.03)
    for _ in range(3000):
        version_guard.record(NEW, 'error', rng.random() < 0.03)
        assert version_guard.find_fault(NEW, OLD) is None


def test_cascade_starts_expensive_and_turns_cheap_when_good_enough():
    learner = cascade.Learner()
    assert not learner.choose_plan(0.1, 1.0, 0.9).tries_cheap
    rng = random.Random(3)
    for _ in range(600):
        good = rng.random() < 0.97
        learner.record_cheap(0.8)
        learner.rate_cheap(0.8, good)
    plan = learner.choose_plan(0.1, 1.0, 0.9)
    assert plan.tries_cheap
    assert plan.quality >= 0.9


def test_cascade_keeps_only_confident_answers_of_a_weak_model():
    learner = cascade.Learner()
    for number in range(1000):
        confident = number % 2 == 0
        learner.record_cheap(0.9 if confident else 0.2)
        learner.rate_cheap(0.9 if confident else 0.2, confident)
        learner.rate_expensive(True)
    plan = learner.choose_plan(0.1, 1.0, 0.95)
    assert cascade.get_bin(0.2) < plan.threshold <= cascade.get_bin(0.9)


def test_cascade_uses_only_the_expensive_model_when_cheap_is_bad():
    learner = cascade.Learner()
    for _ in range(500):
        learner.record_cheap(0.5)
        learner.rate_cheap(0.5, False)
    assert not learner.choose_plan(0.1, 1.0, 0.9).tries_cheap


def make_pace(slow, tokens=200):
    pool_pace = pace.Pace()
    for number in range(9):
        seconds = 0.1 if number == slow else 0.02
        pool_pace.observe(f'e{number}', seconds * tokens, tokens, 10.0)
    pool_pace.update(10.0)
    return pool_pace


def test_server_slower_than_its_pool_is_found():
    pool_pace = make_pace(slow=3)
    assert pool_pace.get_slowdown('e3') > 4.0
    assert pool_pace.get_slowdown('e1') == 1.0
    servers = [make_server(f'e{number}') for number in range(9)]
    rng = random.Random(1)
    chosen = {choice.choose_server(servers, pool_pace, rng).name
              for _ in range(200)}  # fmt: skip
    assert 'e3' not in chosen
    assert migration.should_leave(servers[3], servers[1], pool_pace)
    assert not migration.should_leave(servers[1], servers[3], pool_pace)


def test_pool_that_is_slow_as_a_whole_has_no_slow_server():
    pool_pace = make_pace(slow=None)
    assert {pool_pace.get_slowdown(f'e{n}') for n in range(9)} == {1.0}


def test_old_slowdown_decays_so_that_a_server_is_tried_again():
    pool_pace = make_pace(slow=3)
    pool_pace.update(10.0 + 20 * pace.HALF_LIFE_S)
    assert pool_pace.get_slowdown('e3') == 1.0


def test_leaving_paused_and_full_servers_are_not_chosen():
    servers = [make_server(f'e{n}') for n in range(4)]
    servers[0].leaving = True
    servers[1].pause(5.0)
    servers[2].in_flight = 9
    rng = random.Random(2)
    chosen = {
        choice.choose_server(
            servers, pace.Pace(), rng, lambda s: s.is_open(1.0)
        ).name
        for _ in range(50)
    }
    assert chosen == {'e3'}
    assert choice.choose_server([], pace.Pace(), rng) is None


def test_own_work_in_a_late_report_is_counted_once():
    server = make_server('e', slots=10)
    server.load = fleet.Load()
    for now in (1.0, 1.1, 1.2):
        server.begin(now)
    server.finish(2.0)
    report = messages.LoadReport('e', 5, 0, 10, age_s=0.5)
    server.accept_report(report, 2.0)
    assert server.load.others == 2
    assert choice.estimate_load(server) == 0.4


@pytest.mark.parametrize(
    ('ran', 'idempotent', 'started', 'expected'),
    [
        (errors.Ran.UNKNOWN, False, False, False),
        (errors.Ran.NO, False, False, True),
        (errors.Ran.UNKNOWN, True, False, True),
        (errors.Ran.UNKNOWN, True, True, False),
    ],
)
def test_non_idempotent_work_is_retried_only_if_it_never_ran(
    ran, idempotent, started, expected
):
    failure = errors.AnswerBroken('e').mark_ran(ran)
    assert retry.may_retry(failure, 1, 0, idempotent, started) is expected


# Pattern: the first servers are gone or full, and none that is there is asked.
def test_attempts_that_did_not_run_do_not_count_but_are_bounded():
    refused = errors.EngineUnreachable('e')
    most = retry.MAX_ATTEMPTS + retry.MAX_EXCUSED_ATTEMPTS
    for attempts in range(1, most):
        assert retry.may_retry(refused, attempts, attempts, False, False)
    assert not retry.may_retry(refused, most, most, False, False)
    unknown = errors.AnswerBroken('e').mark_ran(errors.Ran.UNKNOWN)
    assert not retry.may_retry(unknown, retry.MAX_ATTEMPTS, 0, True, False)
    assert retry.may_retry(unknown, retry.MAX_ATTEMPTS, 1, True, False)


def test_retries_stay_a_share_of_requests():
    budget = retry.Budget()
    spent = 0
    for _ in range(1000):
        budget.deposit()
        spent += budget.try_spend()
    assert spent <= 1000 * retry.RETRIES_PER_REQUEST + retry.MAX_BUDGET


def test_simulated_engine_slows_running_jobs_and_honours_priority():
    clock = timer.VirtualTimer()
    engine = simulated.SimulatedEngine('e', 1, clock)
    jobs = [
        simulated.Job(n, 0.0, 1.0, priority=priority)
        for n, priority in enumerate((5, 6, 0))
    ]
    for job in jobs:
        engine.submit(job, lambda _: None)
    clock.advance(0.5)
    engine.set_slow_factor(2.0)
    clock.advance(10.0)
    assert [round(job.ended_at, 6) for job in jobs] == [1.5, 5.5, 3.5]
