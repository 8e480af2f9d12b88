"""Rules of version choice, on generated configurations."""

import hypothesis
from hypothesis import strategies

from arbutuschute.contracts import fold
from arbutuschute.contracts import profiles
from arbutuschute.policy import rollout

CHAIN = ('1', '2', '3')
STEPS = (0.1, 0.5, 1.0)


def make_profile(chain=CHAIN):
    return profiles.Profile(
        name='p',
        organisations=('o',),
        versions=tuple(profiles.Version('m', v, 1.0) for v in chain),
        replacements=tuple(
            profiles.Replacement('m', old, new, STEPS, 60.0)
            for old, new in zip(chain, chain[1:], strict=False)
        ),
    )


def make_state(withdrawn=(), steps=None, halted=()):
    state = fold.Configuration()
    state.withdrawn = {f'm:{version}': 1 for version in withdrawn}
    for new, step in (steps or {}).items():
        state.rollouts[f'p/m:{new}'] = fold.Rollout(
            revision=0, step=step, halted=new in halted
        )
    return state


states = strategies.builds(
    make_state,
    strategies.sets(strategies.sampled_from(CHAIN)),
    strategies.dictionaries(
        strategies.sampled_from(CHAIN[1:]), strategies.integers(0, 2)
    ),
    strategies.sets(strategies.sampled_from(CHAIN[1:])),
)


@hypothesis.given(states, strategies.text(max_size=8))
def test_a_withdrawn_version_is_never_chosen(state, key):
    chosen = rollout.choose_version(make_profile(), 'm', state, key)
    if chosen is None:
        assert all(state.is_withdrawn('m', version) for version in CHAIN)
    else:
        assert not state.is_withdrawn('m', chosen.version)


@hypothesis.given(states, strategies.text(max_size=8))
def test_halted_version_is_chosen_only_if_no_other_is_left(state, key):
    chosen = rollout.choose_version(make_profile(), 'm', state, key)
    if chosen is None or chosen.version == CHAIN[0]:
        return
    progress = state.rollouts.get(f'p/m:{chosen.version}')
    if progress is None or progress.halted:
        earlier = CHAIN[: CHAIN.index(chosen.version)]
        assert all(state.is_withdrawn('m', version) for version in earlier)


def test_share_of_new_sessions_follows_the_steps():
    profile = make_profile(CHAIN[:2])
    for step, share in enumerate(STEPS):
        state = make_state(steps={'2': step})
        chosen = [
            rollout.choose_version(profile, 'm', state, str(n)).version
            for n in range(4000)
        ]
        assert abs(chosen.count('2') / 4000 - share) < 0.03


def test_session_on_the_new_version_stays_there_as_the_share_grows():
    profile = make_profile(CHAIN[:2])
    early = make_state(steps={'2': 0})
    late = make_state(steps={'2': 1})
    for number in range(500):
        before = rollout.choose_version(profile, 'm', early, str(number))
        after = rollout.choose_version(profile, 'm', late, str(number))
        assert before.version == '1' or after.version == '2'


def test_successor_of_a_withdrawn_version_follows_the_rule():
    profile = make_profile()
    state = make_state(withdrawn={'1', '2'}, steps={'2': 0, '3': 0})
    found = rollout.find_successor(profile, 'm', '1', state, 'k')
    assert found.version == '3'
    nothing = make_state(withdrawn=set(CHAIN))
    assert rollout.find_successor(profile, 'm', '1', nothing, 'k') is None
