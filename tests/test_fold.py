"""The configuration fold against a naive model, and its edge cases."""

import hypothesis
from hypothesis import strategies
import msgspec

from arbutuschute.contracts import changes
from arbutuschute.contracts import fold
from arbutuschute.contracts import profiles
from arbutuschute.links import log

NAMES = ('a', 'b')
VERSIONS = ('1', '2', '3')


def make_profile(name, versions):
    return profiles.Profile(
        name=name,
        organisations=('o',),
        versions=tuple(
            profiles.Version('m', version, 1.0) for version in versions
        ),
    )


def make_record(offset, *entries, time=None):
    value = msgspec.Raw(fold.encode_entries(entries))
    return log.Record(offset, float(offset if time is None else time), value)


def fold_all(records, state=None):
    state = state or fold.Configuration()
    for record in records:
        fold.apply_record(state, record)
    return state


@strategies.composite
def histories(draw):
    """Generate changes in log order, with duplicates and reordering."""
    entries = []
    for number in range(draw(strategies.integers(1, 12))):
        change_id = f'c{number}'
        kind = draw(strategies.sampled_from(['publish', 'withdraw', 'drop']))
        based_on = draw(strategies.integers(-1, 12))
        name = draw(strategies.sampled_from(NAMES))
        if kind == 'publish':
            version = draw(strategies.sampled_from(VERSIONS))
            entry = changes.PublishProfile(
                id=change_id,
                document=make_profile(name, [version]),
                based_on=based_on,
            )
        elif kind == 'drop':
            entry = changes.WithdrawProfile(
                id=change_id, name=name, based_on=based_on
            )
        else:
            entry = changes.WithdrawVersion(
                id=change_id,
                model='m',
                version=draw(strategies.sampled_from(VERSIONS)),
            )
        entries.extend([entry] * draw(strategies.integers(1, 3)))
    order = draw(strategies.permutations(range(len(entries))))
    return [entries[index] for index in order]


class NaiveModel:
    """The same rules as the fold, implemented as simply as possible."""

    def __init__(self):
        self.revisions = {}
        self.documents = {}
        self.withdrawn = set()
        self.seen = set()

    def apply(self, offset, entry):
        if entry.id in self.seen:
            return
        self.seen.add(entry.id)
        if isinstance(entry, changes.WithdrawVersion):
            self.withdrawn.add(f'm:{entry.version}')
            return
        publishing = isinstance(entry, changes.PublishProfile)
        name = entry.document.name if publishing else entry.name
        if self.revisions.get(name, -1) != entry.based_on:
            return
        if not publishing and name not in self.revisions:
            return
        self.revisions[name] = offset
        self.documents[name] = entry.document if publishing else None


@hypothesis.given(histories())
def test_fold_agrees_with_the_naive_model(history):
    model = NaiveModel()
    records = []
    for offset, entry in enumerate(history):
        model.apply(offset, entry)
        records.append(make_record(offset, entry))
    state = fold_all(records)
    assert {n: p.revision for n, p in state.profiles.items()} == (
        model.revisions
    )
    assert {n: p.document for n, p in state.profiles.items()} == (
        model.documents
    )
    assert set(state.withdrawn) == model.withdrawn


@hypothesis.given(histories(), strategies.data())
def test_rereading_and_snapshots_give_the_same_state(history, data):
    """Readers that reread records or start from a snapshot agree."""
    records = [make_record(i, entry) for i, entry in enumerate(history)]
    whole = fold_all(records)
    cut = data.draw(strategies.integers(0, len(records)))
    again = fold_all(records[:cut])
    fold_all(records[max(0, cut - 2) :], again)
    assert fold.compute_digest(again) == fold.compute_digest(whole)
    early = fold_all(records[:cut])
    entry = fold.make_snapshot(early, 'x')
    retained = [*records[cut:], make_record(len(records), entry)]
    start = fold.find_start(retained, cut)
    resumed = fold_all(retained, start)
    fold_all([retained[-1]], whole)
    assert fold.compute_digest(resumed) == fold.compute_digest(whole)


def test_older_records_do_not_change_the_state():
    first = changes.PublishProfile(
        id='1', document=make_profile('a', ['1']), based_on=-1
    )
    second = changes.PublishProfile(
        id='2', document=make_profile('a', ['2']), based_on=0
    )
    state = fold_all([make_record(0, first), make_record(1, second)])
    before = fold.compute_digest(state)
    fold.apply_record(state, make_record(0, first))
    assert fold.compute_digest(state) == before


def test_a_malformed_entry_is_refused_and_the_others_apply():
    good = changes.WithdrawVersion(id='good', model='m', version='1')
    raw = b'{"entries": [{"kind": "publish-profile", "id": "bad"}, %s]}'
    value = raw % msgspec.json.encode(good)
    state = fold.Configuration()
    fold.apply_record(state, log.Record(0, 0.0, msgspec.Raw(value)))
    assert state.outcomes['bad'].code == 'broken-document'
    assert state.outcomes['good'].accepted
    assert state.is_withdrawn('m', '1')


def test_a_truncated_log_without_a_snapshot_gives_no_start():
    entry = changes.WithdrawVersion(id='x', model='m', version='1')
    assert fold.find_start([make_record(5, entry)], 5) is None


def test_outcomes_expire_after_the_window():
    old = changes.WithdrawVersion(id='old', model='m', version='1')
    new = changes.WithdrawVersion(id='new', model='m', version='2')
    late = fold.CHANGE_ID_WINDOW_S + 1
    state = fold_all([
        make_record(0, old, time=0), make_record(1, new, time=late),
    ])  # fmt: skip
    assert list(state.outcomes) == ['new']
    assert state.is_withdrawn('m', '1')
