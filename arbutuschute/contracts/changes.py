"""Entries of the configuration stream, as they stand in the log."""

import msgspec

from arbutuschute.contracts import profiles


class Change(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Base of all entries; a repeated ``id`` has no second effect."""

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
    """Take a profile out of use."""

    name: str
    based_on: int


class WithdrawVersion(Change, frozen=True, tag='withdraw-version'):
    """Stop all new work on a version, at once and unconditionally."""

    model: str
    version: str
    reason: str = ''


class RestoreVersion(Change, frozen=True, tag='restore-version'):
    """Allow a withdrawn version again; names the withdrawal it undoes."""

    model: str
    version: str
    based_on: int


class AdvanceRollout(Change, frozen=True, tag='advance-rollout'):
    """Move a roll-out of a profile's revision to its next step."""

    profile: str
    revision: int
    model: str
    new: str
    step: int


class HaltRollout(Change, frozen=True, tag='halt-rollout'):
    """Return a roll-out to its old version, with the evidence."""

    profile: str
    revision: int
    model: str
    new: str
    evidence: str = ''


class Snapshot(Change, frozen=True, tag='snapshot'):
    """The state after every record up to ``offset``, for late readers."""

    offset: int
    state: msgspec.Raw


AnyChange = (
    PublishProfile
    | PublishOrganisation
    | WithdrawProfile
    | WithdrawVersion
    | RestoreVersion
    | AdvanceRollout
    | HaltRollout
    | Snapshot
)


class Batch(msgspec.Struct, frozen=True):
    """The value of one log record: several entries in one append."""

    entries: tuple[msgspec.Raw, ...]


class _OnlyId(msgspec.Struct, frozen=True):
    id: str


_id_decoder = msgspec.json.Decoder(_OnlyId)
_batch_decoder = msgspec.json.Decoder(Batch)
_change_decoder = msgspec.json.Decoder(AnyChange)


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
    """Return the typed entry, or ``None`` for one that nobody can apply."""
    try:
        return _change_decoder.decode(raw)
    except msgspec.DecodeError:
        return None


def read_id(raw):
    """Return the id of an entry that cannot be applied, or ``None``."""
    try:
        return _id_decoder.decode(raw).id
    except msgspec.DecodeError:
        return None
