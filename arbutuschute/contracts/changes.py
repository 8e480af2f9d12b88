"""Entries of the configuration stream, as encoded in the log."""

import msgspec

from arbutuschute.contracts import profiles
from arbutuschute import decoding


class Change(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Base of all entries; a repeated ``id`` has no effect."""

    id: str
    author: str = ''


class PublishProfile(Change, frozen=True, tag='publish-profile'):
    """Replace a profile; ``based_on`` is the revision that it changes."""

    document: profiles.Profile
    based_on: int


class PublishOrganisation(Change, frozen=True, tag='publish-organisation'):
    """Replace an organisation under the same rule as a profile."""

    document: profiles.Organisation
    based_on: int


class WithdrawProfile(Change, frozen=True, tag='withdraw-profile'):
    """Withdraw a profile from use."""

    name: str
    based_on: int


class WithdrawVersion(Change, frozen=True, tag='withdraw-version'):
    """Stop all new work on a version, immediately and unconditionally."""

    model: str
    version: str
    reason: str = ''


class RestoreVersion(Change, frozen=True, tag='restore-version'):
    """Allow a withdrawn version; ``based_on`` is its withdrawal's revision."""

    model: str
    version: str
    based_on: int


class EvacuateZone(Change, frozen=True, tag='evacuate-zone'):
    """Send no new requests to a zone's servers, unconditionally."""

    zone: str


class RestoreZone(Change, frozen=True, tag='restore-zone'):
    """Use a zone again; ``based_on`` is its evacuation's revision."""

    zone: str
    based_on: int


class AdvanceRollout(Change, frozen=True, tag='advance-rollout'):
    """Move a roll-out of a profile's revision to its next step."""

    profile: str
    revision: int
    model: str
    new: str
    step: int


class HaltRollout(Change, frozen=True, tag='halt-rollout'):
    """Return a roll-out to its old version, for the given evidence."""

    profile: str
    revision: int
    model: str
    new: str
    evidence: str = ''


class Snapshot(Change, frozen=True, tag='snapshot'):
    """The state after all records up to ``offset``, for new readers."""

    offset: int
    state: msgspec.Raw


AnyChange = (
    PublishProfile
    | PublishOrganisation
    | WithdrawProfile
    | WithdrawVersion
    | RestoreVersion
    | EvacuateZone
    | RestoreZone
    | AdvanceRollout
    | HaltRollout
    | Snapshot
)


class Batch(msgspec.Struct, frozen=True):
    """The value of one log record: several entries in one append."""

    entries: tuple[msgspec.Raw, ...]


class _OnlyId(msgspec.Struct, frozen=True):
    id: str


_id_decoder = decoding.make_json_decoder(_OnlyId)
_batch_decoder = decoding.make_json_decoder(Batch)
_change_decoder = decoding.make_json_decoder(AnyChange)


def encode_batch(entries):
    """Return the bytes of one log record that holds ``entries``."""
    return msgspec.json.encode({'entries': list(entries)})


def split_batch(value):
    """Return the raw entries of a log record, or none if it is malformed."""
    try:
        return _batch_decoder.decode(value).entries
    except msgspec.DecodeError:
        return ()


def decode_change(raw):
    """Return the typed entry, or ``None`` if it is malformed."""
    try:
        return _change_decoder.decode(raw)
    except msgspec.DecodeError:
        return None


def read_id(raw):
    """Return the id of a malformed entry, or ``None`` if it has none."""
    try:
        return _id_decoder.decode(raw).id
    except msgspec.DecodeError:
        return None
