"""Configuration as a pure fold of a prefix of the log.

The same prefix gives the same state on every instance. Only this module
accepts or refuses changes, in log order, so of concurrent changes the same
one wins on every instance and the others get the same typed refusal.
"""

import msgspec
import xxhash

from arbutuschute.contracts import changes
from arbutuschute.contracts import profiles
from arbutuschute import decoding
from arbutuschute import errors

CHANGE_ID_WINDOW_S = 86_400.0
ABSENT_REVISION = -1


class Rollout(msgspec.Struct):
    """Progress of one replacement; ``step`` is an index into its steps."""

    revision: int
    step: int = 0
    since: float = 0.0
    halted: bool = False
    evidence: str = ''


class Outcome(msgspec.Struct):
    """The result of a change, for later queries by operators."""

    offset: int
    time: float
    accepted: bool
    code: str = ''


class PublishedProfile(msgspec.Struct):
    """A profile with its revision; ``document`` is None once withdrawn."""

    revision: int
    document: profiles.Profile | None = None


class PublishedOrganisation(msgspec.Struct):
    """An organisation with its revision."""

    revision: int
    document: profiles.Organisation | None = None


class Configuration(msgspec.Struct):
    """The complete configuration; ``offset`` is the last record applied.

    ``withdrawn`` maps ``model:version`` to the revision of its withdrawal,
    ``snapshot_time`` is the log time of the newest snapshot, and
    ``rollouts`` is keyed by ``profile/model:new``. ``evacuated`` maps zones
    to the revision of their order; without any it is not encoded, so that
    the state is the same as that of older builds.
    """

    offset: int = -1
    time: float = 0.0
    snapshot_time: float = 0.0
    profiles: dict[str, PublishedProfile] = {}
    organisations: dict[str, PublishedOrganisation] = {}
    withdrawn: dict[str, int] = {}
    rollouts: dict[str, Rollout] = {}
    outcomes: dict[str, Outcome] = {}
    evacuated: dict[str, int] | msgspec.UnsetType = msgspec.UNSET

    def find_organisation(self, key_hash):
        """Return the organisation whose key has this SHA-256, or None."""
        for entry in self.organisations.values():
            if entry.document and entry.document.key_hash == key_hash:
                return entry.document
        return None

    def get_evacuated(self):
        """Return the revisions of evacuated zones by zone."""
        return {} if self.evacuated is msgspec.UNSET else self.evacuated

    def is_withdrawn(self, model, version):
        """Return whether a version must get no new work."""
        return name_version(model, version) in self.withdrawn


def name_version(model, version):
    """Return the key of a version in ``withdrawn``."""
    return f'{model}:{version}'


def name_rollout(profile, model, new):
    """Return the key of a roll-out in ``rollouts``."""
    return f'{profile}/{model}:{new}'


def apply_record(state, record):
    """Apply one log record to ``state``; older records change nothing."""
    if record.offset <= state.offset:
        return state
    state.offset = record.offset
    state.time = max(state.time, record.time)
    for raw in changes.split_batch(record.value):
        change = changes.decode_change(raw)
        if change is not None:
            _apply_change(state, change)
        else:
            _refuse_malformed(state, changes.read_id(raw))
    return state


def _refuse_malformed(state, change_id):
    if change_id and change_id not in state.outcomes:
        _record_outcome(state, change_id, errors.BrokenDocument.code)


def _apply_change(state, change):
    if isinstance(change, changes.Snapshot):
        state.snapshot_time = state.time
        return
    if change.id in state.outcomes:
        return
    failure = _APPLY[type(change)](state, change)
    _record_outcome(state, change.id, failure.code if failure else '')


def _record_outcome(state, change_id, code):
    state.outcomes[change_id] = Outcome(
        offset=state.offset,
        time=state.time,
        accepted=not code,
        code=code,
    )
    _expire_outcomes(state)


def _expire_outcomes(state):
    """Remove outcomes past the window; they are in order of time."""
    horizon = state.time - CHANGE_ID_WINDOW_S
    while state.outcomes:
        oldest = next(iter(state.outcomes))
        if state.outcomes[oldest].time >= horizon:
            return
        del state.outcomes[oldest]


def _check_revision(table, name, based_on):
    entry = table.get(name)
    current = entry.revision if entry else ABSENT_REVISION
    if based_on != current:
        return errors.RevisionConflict(name, based_on, current)
    return None


def _publish_profile(state, change):
    name = change.document.name
    failure = _check_revision(state.profiles, name, change.based_on)
    if failure:
        return failure
    state.profiles[name] = PublishedProfile(state.offset, change.document)
    _renew_rollouts(state, change.document)
    return None


def _renew_rollouts(state, profile):
    """Start new roll-outs, keep those still listed and remove the others."""
    renewed = {}
    for rule in profile.replacements:
        key = name_rollout(profile.name, rule.model, rule.new)
        current = state.rollouts.get(key) or Rollout(
            revision=state.offset, since=state.time
        )
        current.step = min(current.step, len(rule.steps) - 1)
        renewed[key] = current
    for key in [k for k in state.rollouts if k.startswith(f'{profile.name}/')]:
        del state.rollouts[key]
    state.rollouts.update(renewed)


def _publish_organisation(state, change):
    name = change.document.name
    failure = _check_revision(state.organisations, name, change.based_on)
    if failure:
        return failure
    state.organisations[name] = PublishedOrganisation(
        state.offset, change.document
    )
    return None


def _withdraw_profile(state, change):
    failure = _check_revision(state.profiles, change.name, change.based_on)
    if failure:
        return failure
    if change.name not in state.profiles:
        return errors.UnknownProfile(change.name)
    state.profiles[change.name] = PublishedProfile(state.offset)
    return None


def _withdraw_version(state, change):
    state.withdrawn[name_version(change.model, change.version)] = state.offset
    return None


def _restore_version(state, change):
    name = name_version(change.model, change.version)
    current = state.withdrawn.get(name, ABSENT_REVISION)
    if change.based_on != current or current == ABSENT_REVISION:
        return errors.RevisionConflict(name, change.based_on, current)
    del state.withdrawn[name]
    return None


def _evacuate_zone(state, change):
    # The revision of the first order counts: a repeated one changes nothing.
    state.evacuated = {change.zone: state.offset, **state.get_evacuated()}
    return None


def _restore_zone(state, change):
    zones = dict(state.get_evacuated())
    current = zones.pop(change.zone, ABSENT_REVISION)
    if change.based_on != current or current == ABSENT_REVISION:
        return errors.RevisionConflict(change.zone, change.based_on, current)
    state.evacuated = zones or msgspec.UNSET
    return None


def _find_rollout(state, change):
    key = name_rollout(change.profile, change.model, change.new)
    rollout = state.rollouts.get(key)
    if rollout is None or rollout.revision != change.revision:
        current = rollout.revision if rollout else ABSENT_REVISION
        return None, errors.RevisionConflict(key, change.revision, current)
    return rollout, None


def _advance_rollout(state, change):
    rollout, failure = _find_rollout(state, change)
    if failure:
        return failure
    if rollout.halted or change.step != rollout.step + 1:
        return errors.RevisionConflict(
            change.profile, change.step - 1, rollout.step
        )
    rollout.step = change.step
    rollout.since = state.time
    return None


def _halt_rollout(state, change):
    rollout, failure = _find_rollout(state, change)
    if failure:
        return failure
    rollout.halted = True
    rollout.evidence = change.evidence
    return None


_APPLY = {
    changes.PublishProfile: _publish_profile,
    changes.PublishOrganisation: _publish_organisation,
    changes.WithdrawProfile: _withdraw_profile,
    changes.WithdrawVersion: _withdraw_version,
    changes.RestoreVersion: _restore_version,
    changes.EvacuateZone: _evacuate_zone,
    changes.RestoreZone: _restore_zone,
    changes.AdvanceRollout: _advance_rollout,
    changes.HaltRollout: _halt_rollout,
}


def compute_digest(state):
    """Return a hex digest of the state; equal prefixes have equal digests."""
    encoded = msgspec.json.encode(state, order='deterministic')
    return xxhash.xxh3_128_hexdigest(encoded)


def make_snapshot(state, author):
    """Return the snapshot entry of ``state``; equal states get equal ids."""
    return changes.Snapshot(
        id=f'snapshot-{state.offset}-{compute_digest(state)}',
        author=author,
        offset=state.offset,
        state=msgspec.Raw(msgspec.json.encode(state)),
    )


def encode_entries(entries):
    """Return the value of one log record with these typed entries."""
    return changes.encode_batch(entries)


def load_state(raw):
    """Return the ``Configuration`` encoded in a snapshot."""
    return decoding.decode_json(raw, Configuration)


def find_start(records, first_offset):
    """Return a state to which ``records`` can be applied, or None.

    ``records`` begin at ``first_offset``, the oldest retained in the log.
    """
    if first_offset == 0:
        return Configuration()
    for record in records:
        for raw in changes.split_batch(record.value):
            change = changes.decode_change(raw)
            if (
                isinstance(change, changes.Snapshot)
                and change.offset + 1 >= first_offset
            ):
                return load_state(change.state)
    return None
