"""Roll-outs on instances that share their evidence through a log."""

import math
import random

import pytest

from arbutuschute.machines import servers
from arbutuschute.policy import baseline
from arbutuschute.policy import canary
from arbutuschute.policy import comparison
from arbutuschute.policy import rollout_decision
from arbutuschute.policy import rollout_records
from arbutuschute.policy import rollout_state


class Clock:
    def __init__(self):
        self.time = 0.0

    def __call__(self):
        return self.time


def make_server(name, version='v1'):
    entry = servers.Entry(
        name, 's', f'10.0.0.1:{len(name)}', 'a', version, 8, 'live'
    )
    return servers.Server(entry)


def run_request(rollouts, candidates, key):
    """Send a request of a session; return the server. It ends later."""
    rollouts.begin_request('s', key)
    server = rollouts.select('s', candidates, key)[0]
    rollouts.record_attempt(server, key)
    return server


def make_rollout(duration_s=24.0):
    clock = Clock()
    rollouts = canary.Rollouts(clock)
    rollouts.apply_order(rollout_records.Order('s', 'v2', duration_s, 7))
    return clock, rollouts, rollouts.by_service['s']


def sample_gap_s(rng, now, factor=1.0):
    """Return a time between events, at a load that comes in waves."""
    load = 1.0 + 0.6 * math.sin(2 * math.pi * now / 17.0)
    return 0.04 * load * rng.lognormvariate(0.0, 0.5) * factor


def sample_good_gap_s(rng, version, now):
    """Engines of the new version have fewer requests at first."""
    return sample_gap_s(rng, now, 0.8 if version == 'v2' else 1.0)


def sample_slow_gap_s(rng, version, now):
    """Half of the new version's responses are eight times slower.

    They slow those beside them down a little.
    """
    if version != 'v2':
        return sample_gap_s(rng, now)
    return sample_gap_s(rng, now, rng.choice((1.3, 8.0)))


def play(error_rate, seed, duration_s=24.0, instances=7, rate=41.0,
         sample_gap=sample_good_gap_s):  # fmt: skip
    """Simulate a roll-out.

    Return (phase, requests to the new version, its failures, all requests).
    """
    rng = random.Random(seed)
    fleet = [make_rollout(duration_s) for _ in range(instances)]
    candidates = [make_server('old'), make_server('new', version='v2')]
    log = []
    read = [0] * instances
    requests = to_new = bad = 0
    now = 0.0
    next_tick = [rng.uniform(0.5, 1.2) for _ in range(instances)]
    while now < duration_s:
        now += rng.expovariate(rate)
        for clock, _, _ in fleet:
            clock.time = now
        number = rng.randrange(instances)
        _, rollouts, rollout = fleet[number]
        if rollout.phase is rollout_records.Phase.RUNNING:
            chosen = rollouts.select(
                's', candidates, f'{seed}-{rng.random()}'
            )[0]
            is_new = chosen.entry.version == 'v2'
            failed = rng.random() < (error_rate if is_new else 0.004)
            rollouts.record(chosen, 'error', failed)
            gap_s = sample_gap(rng, chosen.entry.version, now)
            rollouts.record_time(chosen, 'model', gap_s)
            requests += 1
            to_new += is_new
            bad += is_new and failed
        for number, (_, rollouts, rollout) in enumerate(fleet):
            if now < next_tick[number]:
                continue
            next_tick[number] = now + rng.uniform(0.7, 1.0)
            for record in log[read[number] :]:
                rollouts.apply(rollout_records.decode(record))
            read[number] = len(log)
            step = rollout.decide(f'i{number}', now, True)
            # This instance has read the whole log, so its step is appended.
            records = [step] if step else []
            records.append(rollout.make_evidence(f'i{number}', now))
            log.extend(rollout_records.encode(record) for record in records)
    phases = {rollout.phase for _, _, rollout in fleet}
    assert len(phases) == 1
    return phases.pop(), to_new, bad, requests


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('error_rate', [0.3, 0.5])
def test_bad_version_is_rolled_back_within_the_bound(error_rate, seed):
    phase, to_new, bad, requests = play(error_rate, seed)
    assert phase is rollout_records.Phase.ROLLED_BACK
    assert to_new <= 0.15 * requests + 30
    assert bad < 50


@pytest.mark.parametrize('seed', range(8))
def test_good_version_is_completed_in_time(seed):
    phase, _, _, _ = play(0.004, seed)
    assert phase is rollout_records.Phase.COMPLETED


# A version that is several times slower, but not slow enough to miss a target.
@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('duration_s', [15.0, 24.0])
def test_slow_version_is_rolled_back_within_the_bound(duration_s, seed):
    phase, to_new, _, requests = play(
        0.004, seed, duration_s, sample_gap=sample_slow_gap_s
    )
    assert phase is rollout_records.Phase.ROLLED_BACK
    assert to_new <= 0.15 * requests + 30


@pytest.mark.parametrize('seed', range(24))
def test_good_version_is_completed_at_any_phase_of_the_load(seed):
    rng = random.Random(seed)
    shift_s = rng.uniform(0.0, 17.0)

    def sample(rng, version, now):
        return sample_good_gap_s(rng, version, now + shift_s)

    phase, _, _, _ = play(0.004, seed, sample_gap=sample)
    assert phase is rollout_records.Phase.COMPLETED


def test_times_are_not_compared_once_all_requests_use_the_new_version():
    clock, rollouts, rollout = make_rollout()
    old, new = make_server('old'), make_server('new', version='v2')
    for _ in range(baseline.MIN_SAMPLES):
        rollouts.record_time(old, 'model', 0.04)
    clock.time = 4.0
    rollouts.record_time(new, 'model', 0.4)
    rollouts.record_time(new, 'other', 0.4)
    assert rollout.comparison.sum_counts('new', 'slower-0', 'i') == (1, 1)
    rollouts.apply(
        rollout_records.Step(7, 's', 2, rollout_records.Phase.RUNNING, 4.0)
    )
    clock.time += rollout_state.EFFECT_DELAY_S
    rollouts.record_time(new, 'model', 0.4)
    assert rollout.comparison.sum_counts('new', 'slower-0', 'i') == (1, 1)
    assert rollout.comparison.sum_counts('new', 'slower-1', 'i') == (0, 0)


def test_old_times_are_forgotten():
    clock = Clock()
    times = baseline.Baseline(clock)
    for _ in range(baseline.MIN_SAMPLES):
        times.add('k', 1.0)
    assert times.compute_ratio('k', 1.5) == 1.5
    clock.time += baseline.MEMORY_S + 0.1
    assert times.compute_ratio('k', 1.5) is None


@pytest.mark.parametrize('seed', range(6))
def test_session_on_several_instances_stays_on_its_version(seed):
    """Instances list the new server and read steps up to 1.4 s apart.

    A session whose requests alternate between them keeps its version.
    """
    rng = random.Random(seed)
    duration_s = 24.0
    fleet = [make_rollout(duration_s) for _ in range(7)]
    old, new = make_server('old'), make_server('new', version='v2')
    listed_at = [rng.uniform(0.3, 2.4) for _ in fleet]
    log = []
    read = [0] * len(fleet)
    next_tick = [rng.uniform(0.1, 1.3) for _ in fleet]
    seen = {}
    moved_back = moved_early = 0
    now = 0.0
    while now < duration_s:
        now += rng.expovariate(41.0)
        for number, (clock, rollouts, rollout) in enumerate(fleet):
            clock.time = now
            if now >= next_tick[number]:
                next_tick[number] = now + rng.uniform(1.0, 1.4)
                for record in log[read[number] :]:
                    rollouts.apply(rollout_records.decode(record))
                step = rollout.decide(f'i{number}', now, True)
                evidence = rollout.make_evidence(f'i{number}', now)
                read[number] = len(log)
                log += [
                    rollout_records.encode(r) for r in (step, evidence) if r
                ]
        number = rng.randrange(len(fleet))
        _, rollouts, _ = fleet[number]
        session = str(int(now / 2.0) * 30 + rng.randrange(30))
        candidates = [old, new] if now >= listed_at[number] else [old]
        chosen = run_request(rollouts, candidates, session)
        rollouts.end_request('s', session)
        rollouts.record(chosen, 'error', False)
        before = seen.get(session)
        moved_back += before == 'v2' and chosen is old
        moved_early += before == 'v1' and chosen is new and now < 12.0
        seen[session] = chosen.entry.version
    assert moved_back == 0
    assert moved_early <= 3


def test_first_end_in_the_log_is_the_end_of_a_rollout():
    _, rollouts, rollout = make_rollout()
    for phase in (
        rollout_records.Phase.ROLLED_BACK,
        rollout_records.Phase.COMPLETED,
    ):
        rollouts.apply(rollout_records.Step(7, 's', 0, phase, 1.0))
    assert rollout.phase is rollout_records.Phase.ROLLED_BACK


def test_rejected_version_gets_no_requests_until_it_is_ordered_again():
    clock, rollouts, _ = make_rollout()
    candidates = [make_server('old'), make_server('new', version='v2')]
    step = rollout_records.Step(
        7, 's', 0, rollout_records.Phase.ROLLED_BACK, 1.0
    )
    rollouts.apply(step)
    for number in range(50):
        assert rollouts.select('s', candidates, f'{number}') == [candidates[0]]
    rollouts.apply_order(rollout_records.Order('s', 'v2', 24.0, 9))
    clock.time += 5.0
    chosen = [rollouts.select('s', candidates, f'{n}')[0] for n in range(300)]
    assert candidates[1] in chosen


def test_instance_started_during_a_rollout_estimates_its_start():
    clock, rollouts, rollout = make_rollout()
    clock.time = 1.0
    rollouts.apply(
        rollout_records.Step(7, 's', 1, rollout_records.Phase.RUNNING, 14.0)
    )
    assert clock.time - rollout.started_at >= 13.0
    assert rollout.get_share(clock.time) == rollout_records.SHARES[0]
    clock.time += rollout_state.EFFECT_DELAY_S
    assert rollout.get_share(clock.time) == rollout_records.SHARES[1]


@pytest.mark.parametrize('seed', range(8))
def test_running_sessions_do_not_move_in_the_first_half(seed):
    """Many long sessions at one instance while an order begins.

    A session's requests are 0.5 to 12 s apart: up to 4 s of running and up
    to 8 s of idling.
    """
    rng = random.Random(seed)
    clock = Clock()
    rollouts = canary.Rollouts(clock, session_s=8.5)
    candidates = [make_server('old'), make_server('new', version='v2')]
    following = [
        (rng.uniform(0.0, 12.0), 'begin', f'{seed}-{n}') for n in range(400)
    ]
    seen = {}
    moved = on_new = 0
    while following:
        now, what, session = min(following)
        following.remove((now, what, session))
        if now > 24.0:
            continue
        clock.time = now
        if now > 10.0 and not rollouts.by_service:
            rollouts.apply_order(rollout_records.Order('s', 'v2', 24.0, 7))
        if what == 'end':
            rollouts.end_request('s', session)
            continue
        chosen = run_request(rollouts, candidates, session).entry.version
        moved += seen.get(session, chosen) != chosen
        on_new += chosen == 'v2'
        seen[session] = chosen
        run_s = rng.uniform(0.1, 4.0)
        following.append((now + run_s, 'end', session))
        if rng.random() < 0.1:
            session = f'{seed}-{rng.random()}'
        pause_s = rng.uniform(0.4, 8.0)
        following.append((now + run_s + pause_s, 'begin', session))
    assert moved == 0
    assert on_new


def test_first_share_shrinks_with_the_fleet_and_is_announced_to_all():
    clock, rollouts, rollout = make_rollout()
    assert rollout.first_share == rollout_records.SHARES[0]
    large = canary.Rollouts(clock)
    large.apply_order(rollout_records.Order('s', 'v2', 24.0, 7), servers=45)
    announced = large.by_service['s'].decide('i', 0.0, True)
    assert announced.first_share == pytest.approx(0.012)
    rollouts.apply(rollout_records.decode(rollout_records.encode(announced)))
    assert rollout.get_share(4.0) == pytest.approx(0.012)


@pytest.mark.parametrize('seed', range(4))
def test_few_sessions_change_version_unseen_in_a_large_fleet(seed):
    """Thirty servers, 184 requests a second, sessions at any instance.

    One request in ten goes to another instance than the one before it in
    its session, and that instance has not seen the session.
    """
    rng = random.Random(seed)
    clock = Clock()
    fleet = [canary.Rollouts(clock, session_s=8.5) for _ in range(20)]
    candidates = [make_server('old'), make_server('new', version='v2')]
    sessions = [[f'{seed}-{n}', n % 20, None] for n in range(700)]
    moved = trials = 0
    is_ordered = False
    while clock.time < 22.0:
        clock.time += rng.expovariate(184.0)
        if clock.time > 10.0 and not is_ordered:
            is_ordered = True
            for rollouts in fleet:
                rollouts.apply_order(
                    rollout_records.Order('s', 'v2', 24.0, 7), servers=30
                )
        session = rng.choice(sessions)
        if rng.random() < 0.3:
            session[:] = [f'{seed}-{rng.random()}', session[1], None]
        if rng.random() < 0.1:
            session[1] = rng.randrange(20)
        key, number, before = session
        chosen = run_request(fleet[number], candidates, key)
        fleet[number].end_request('s', key)
        version = chosen.entry.version
        moved += before == 'v1' and version == 'v2'
        trials += version == 'v2'
        session[2] = version
    assert moved <= 3
    assert trials >= comparison.MIN_TRIALS


def make_compared(slower, compared):
    """Return a roll-out near its end, with that many slower responses."""
    clock, rollouts, rollout = make_rollout(15.0)
    clock.time = 8.0
    rollouts.apply(
        rollout_records.Step(7, 's', 1, rollout_records.Phase.RUNNING, 8.0)
    )
    for number in range(200):
        rollout.comparison.record('old', 'error', False)
        rollout.comparison.record('old', 'slower-0', number % 4 == 0)
    for _ in range(30):
        rollout.comparison.record('new', 'error', False)
    for number in range(compared):
        rollout.comparison.record('new', 'slower-0', number < slower)
    return rollout


# A version that is probably slower, with too few responses to be certain.
def test_suspect_version_is_not_advanced_and_is_rolled_back_at_the_end():
    rollout = make_compared(8, 10)
    assert not rollout.comparison.is_bad('i')
    assert rollout.decide('i', 12.0, True) is None
    step = rollout.decide('i', rollout_decision.END_BY * 15.0, True)
    assert step.phase is rollout_records.Phase.ROLLED_BACK


def make_failing(failures, trials, old_failures, old_trials):
    clock, rollouts, rollout = make_rollout(24.0)
    rollouts.apply(
        rollout_records.Step(7, 's', 0, rollout_records.Phase.RUNNING, 0.0)
    )
    for side, count, failed in (
        ('new', trials, failures), ('old', old_trials, old_failures)
    ):  # fmt: skip
        for number in range(count):
            rollout.comparison.record(side, 'error', number < failed)
    return rollout


# Pattern: a bad version in thin traffic. With few responses nothing is certain
# when a step is due, and the next share is seven times as large.
@pytest.mark.parametrize(
    ('new', 'old'), [((7, 14), (6, 122)), ((5, 18), (6, 181))]
)
def test_version_that_fails_too_often_is_not_advanced(new, old):
    rollout = make_failing(*new, *old)
    assert not rollout.comparison.is_bad('i')
    assert rollout.decide('i', 15.0, True) is None
    step = rollout.decide('i', rollout_decision.END_BY * 24.0, True)
    assert step.phase is rollout_records.Phase.ROLLED_BACK


@pytest.mark.parametrize('new', [(0, 14), (1, 14), (2, 30)])
def test_version_that_fails_as_often_as_the_old_one_is_advanced(new):
    rollout = make_failing(*new, 6, 122)
    assert rollout.decide('i', 15.0, True).number == 1


# Pattern: the load rises once all requests go to the new version.
def test_completed_share_is_not_compared_with_failures_of_another_time():
    rollout = make_failing(10, 60, 3, 200)
    assert rollout.decide('i', 15.0, True) is None
    rollout.apply(
        rollout_records.Step(7, 's', 2, rollout_records.Phase.RUNNING, 15.0),
        15.0,
    )
    step = rollout.decide('i', 22.0, True)
    assert step.phase is rollout_records.Phase.COMPLETED


def test_version_with_as_many_slower_responses_as_the_old_one_is_advanced():
    rollout = make_compared(3, 10)
    assert rollout.decide('i', 12.0, True).number == 2


# Guards against refusing requests although servers of the new version are
# live: the old ones have stopped, as another instance completed the roll-out.
def test_share_that_no_server_can_serve_does_not_count():
    clock, rollouts, _ = make_rollout()
    clock.time = 10.0
    old, new = make_server('old'), make_server('new', 'v2')
    keys = [f'{n}' for n in range(100)]
    for key in keys:
        assert rollouts.select('s', [new], key, live=[new]) == [new]
    # An old server that was tried is no reason to leave the share.
    kept = [k for k in keys if not rollouts.select('s', [new], k, [old, new])]
    assert len(kept) > 80
    rollouts.rejected.add(('s', 'v2'))
    assert rollouts.select('s', [new], keys[0], live=[new]) == []


# Evidence that the log writes late must not replace newer evidence.
def test_older_evidence_of_an_instance_changes_nothing():
    counts = comparison.Comparison()
    for elapsed_s, trials in ((2.0, 5), (6.0, 20), (3.0, 9)):
        counts.merge(
            rollout_records.Evidence(
                7, 's', 'i', {'error': (1, trials)}, {}, elapsed_s
            )
        )
    assert counts.sum_counts('new', 'error', 'other') == (1, 20)
