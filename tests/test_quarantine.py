"""Quarantine of prompt parts, without a network."""

import hypothesis
from hypothesis import strategies

from arbutuschute.policy import quarantine

FIRST_PARTS = ('all', 'doc-1', 'doc-2', 'doc-3')


class Clock:
    def __init__(self):
        self.seconds = 1000.0

    def now(self):
        return self.seconds


def make(clock=None):
    clock = clock or Clock()
    return quarantine.Quarantine(clock.now, clock.now), clock


def crash(found, clock, server, *parts, has_begun=True, after_s=1.0,
          sent_s_ago=0.5):  # fmt: skip
    clock.seconds += after_s
    found.record_crash(
        quarantine.Crash(
            server,
            clock.seconds,
            clock.seconds - sent_s_ago,
            parts,
            has_begun,
        )
    )


def test_part_of_three_crashes_is_refused():
    found, clock = make()
    for number in range(3):
        assert not found.find_refused(('all', 'dead'))
        crash(found, clock, f's{number}', 'dead', f'own{number}')
    assert found.find_refused(('all', 'dead')) == ('dead',)
    assert not found.find_refused(('all',))


def test_same_crash_told_by_several_instances_counts_once():
    found, clock = make()
    for _ in range(5):
        crash(found, clock, 'same', 'dead')
    assert not found.find_refused(('dead',))


def test_servers_that_crash_together_count_once():
    found, clock = make()
    for number in range(9):
        crash(found, clock, f's{number}', 'dead', after_s=0.01)
    assert not found.find_refused(('dead',))


def test_crashes_that_follow_from_repeats_count_each():
    found, clock = make()
    for number in range(3):
        crash(
            found, clock, f's{number}', 'dead', after_s=0.01, sent_s_ago=0.005
        )
    assert found.find_refused(('dead',))


def test_answered_part_is_not_refused():
    found, clock = make()
    for number in range(4):
        crash(found, clock, f's{number}', 'all', 'dead')
    found.record_answered(('all',))
    assert found.find_refused(('all', 'dead')) == ('dead',)
    found.record_answered(('dead',))
    assert not found.find_refused(('all', 'dead'))


def test_recently_answered_part_is_not_suspected():
    found, clock = make()
    for number in range(4):
        clock.seconds += 1.0
        found.record_answered(('all',))
        crash(found, clock, f's{number}', 'all', 'dead', after_s=0.5)
    assert found.list_groups() == (frozenset({'dead'}),)


def test_part_beside_the_cause_is_refused_only_with_it():
    found, clock = make()
    for number in range(3):
        crash(found, clock, f's{number}', 'doc', 'dead')
    assert found.find_refused(('doc', 'dead'))
    assert not found.find_refused(('doc',))
    assert not found.find_refused(('dead',))
    crash(found, clock, 's3', 'dead')
    assert found.find_refused(('dead',))
    assert not found.find_refused(('doc',))


def test_requests_that_were_being_answered_are_suspected_first():
    found, clock = make()
    for number in range(3):
        crash(found, clock, f's{number}', 'beside', has_begun=False)
        crash(found, clock, f's{number}', 'dead', after_s=0.0)
    assert found.list_groups() == (frozenset({'dead'}),)


def test_quarantine_ends():
    found, clock = make()
    for number in range(3):
        crash(found, clock, f's{number}', 'dead')
    clock.seconds += quarantine.QUARANTINE_S + 1
    assert not found.find_refused(('dead',))


def test_verdict_of_another_instance_counts_until_its_end():
    found, clock = make()
    until = clock.seconds + 10.0
    found.record_verdict(quarantine.Verdict(('dead', 'doc'), until))
    assert found.find_refused(('all', 'dead', 'doc'))
    assert not found.find_refused(('dead',))
    found.record_answered(('doc',))
    assert found.find_refused(('dead',)) == ('dead',)
    clock.seconds += 11.0
    assert not found.find_refused(('dead',))


def test_late_verdict_on_an_answered_part_is_ignored():
    found, clock = make()
    found.record_answered(('all',))
    found.record_verdict(quarantine.Verdict(('all',), clock.seconds + 99.0))
    assert not found.find_refused(('all',))


def test_retries_end_before_new_requests_are_refused():
    found, clock = make()
    crash(found, clock, 's0', 'dead')
    assert found.may_retry(('dead',), 1)
    crash(found, clock, 's1', 'dead')
    assert not found.may_retry(('dead',), 2)
    assert not found.find_refused(('dead',))
    assert found.may_retry(('dead',), 0)


def test_request_that_crashed_two_servers_is_not_repeated():
    found, _ = make()
    assert found.may_retry((), 1)
    assert not found.may_retry((), 2)
    assert not found.may_retry(('all',), 2)


def test_state_is_bounded():
    found, clock = make()
    for number in range(10 * quarantine.MAX_CRASHES):
        crash(found, clock, f's{number}', f'p{number}')
        found.record_answered((f'q{number}',))
    assert len(found.list_groups(1)) <= quarantine.MAX_CRASHES


# Guards against a process that runs for months and keeps each verdict.
def test_expired_verdicts_are_dropped():
    found, clock = make()
    for number in range(100):
        until = clock.seconds + quarantine.QUARANTINE_S
        found.record_verdict(quarantine.Verdict((f'p{number}',), until))
        clock.seconds += quarantine.QUARANTINE_S + 1.0
    assert len(found._verdicts) == 1


@hypothesis.given(strategies.data())
def test_sound_requests_are_served_and_the_cause_is_found(data):
    """Requests crash a server exactly if they hold the part ``dead``.

    Each crash also takes a sound request that had begun. A sound request is
    answered unless its server crashes.
    """
    found, clock = make()
    crashes = 0
    for number in range(data.draw(strategies.integers(1, 60))):
        clock.seconds += 1.0
        parts = ('all', data.draw(strategies.sampled_from(FIRST_PARTS[1:])))
        is_deadly = data.draw(strategies.booleans())
        if is_deadly:
            parts = (*parts, 'dead')
        if found.find_refused(parts):
            assert is_deadly
            continue
        if not is_deadly:
            found.record_answered(parts)
            continue
        crashes += 1
        beside = ('all', data.draw(strategies.sampled_from(FIRST_PARTS[1:])))
        crash(found, clock, f's{number}', *parts, *beside, after_s=0.0)
    # Each document may be the one that is refused together with the cause
    # first; every later crash narrows the groups down.
    assert crashes <= quarantine.QUARANTINE_CRASHES * len(FIRST_PARTS)
