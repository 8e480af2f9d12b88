"""Profiles and organisations: the documents that operators publish."""

import typing

import msgspec

from arbutuschute import documents

Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]*$')]
Share = typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
SHA256_HEX_CHARACTERS = 64


class Version(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One version of a model; ``cost`` is per 1,000 output tokens."""

    model: Name
    version: Name
    cost: typing.Annotated[float, msgspec.Meta(ge=0)]

    @property
    def pair(self):
        """The (model, version) pair that identifies this version."""
        return self.model, self.version


class Replacement(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How ``new`` replaces ``old``: shares of sessions, step by step."""

    model: Name
    old: Name
    new: Name
    steps: typing.Annotated[tuple[Share, ...], msgspec.Meta(min_length=1)] = (
        1.0,
    )
    step_s: Positive = 600.0

    def __post_init__(self):
        if self.old == self.new:
            raise ValueError('expected old and new to differ')
        if list(self.steps) != sorted(set(self.steps)):
            raise ValueError('expected steps to rise')


class Cascade(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The two models of a cascade and the quality that it must reach."""

    cheap: Name
    expensive: Name = msgspec.field(name='dear')
    quality_target: Share

    def __post_init__(self):
        if self.cheap == self.expensive:
            raise ValueError('expected cheap and dear to differ')


class WorkClass(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of work; lower values of ``priority`` go first."""

    deadline_ms: typing.Annotated[int, msgspec.Meta(ge=1)] = 60_000
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 5


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits of one request, and of the requests in flight per instance."""

    body_bytes: typing.Annotated[int, msgspec.Meta(ge=1, le=16_777_216)] = (
        1_048_576
    )
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = 4096
    in_flight: typing.Annotated[int, msgspec.Meta(ge=1)] = 512


class Profile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The models and versions that organisations may use, and how.

    Requests are served in ``allowed_regions`` only, anywhere if it is empty
    or missing. It is not encoded if missing: older builds refuse documents
    with fields that they don't know.
    """

    name: Name
    organisations: typing.Annotated[
        tuple[Name, ...], msgspec.Meta(min_length=1)
    ]
    versions: tuple[Version, ...] = ()
    service: Name | None = None
    service_cost: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    replacements: tuple[Replacement, ...] = ()
    cascade: Cascade | None = None
    idempotent: bool = True
    classes: dict[str, WorkClass] = {}
    limits: Limits = msgspec.field(default_factory=Limits)
    while_cut_off: typing.Literal['refuse', 'settled'] = 'refuse'
    allowed_regions: tuple[Name, ...] | msgspec.UnsetType = msgspec.UNSET

    def __post_init__(self):
        _check_versions(self)
        _check_replacements(self)
        _check_cascade(self)

    def find_models(self):
        """Return the distinct models of this profile, in order."""
        return tuple(dict.fromkeys(entry.model for entry in self.versions))


class Organisation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A customer: the SHA-256 of its API key in hex, and its fair weight.

    ``allowed_regions`` restricts its requests like that of a profile.
    """

    name: Name
    key_hash: typing.Annotated[
        str,
        msgspec.Meta(
            min_length=SHA256_HEX_CHARACTERS, max_length=SHA256_HEX_CHARACTERS
        ),
    ]
    weight: Positive = 1.0
    allowed_regions: tuple[Name, ...] | msgspec.UnsetType = msgspec.UNSET


def _check_versions(profile):
    if bool(profile.versions) == bool(profile.service):
        raise ValueError('expected either versions or a service')
    pairs = [entry.pair for entry in profile.versions]
    if len(pairs) != len(set(pairs)):
        raise ValueError('expected each version once')


def _check_replacements(profile):
    pairs = {entry.pair for entry in profile.versions}
    successors = {}
    for rule in profile.replacements:
        for version in (rule.old, rule.new):
            if (rule.model, version) not in pairs:
                raise ValueError(
                    f'expected replacement to name an allowed version, '
                    f'got {rule.model}:{version}'
                )
        if (rule.model, rule.old) in successors:
            raise ValueError(
                f'expected one replacement for {rule.model}:{rule.old}'
            )
        successors[rule.model, rule.old] = (rule.model, rule.new)
    cycle = find_cycle(successors)
    if cycle:
        path = ' -> '.join(version for _, version in cycle)
        raise ValueError(f'expected no cycle in replacements, got {path}')


def _check_cascade(profile):
    if profile.cascade is None:
        return
    models = profile.find_models()
    for model in (profile.cascade.cheap, profile.cascade.expensive):
        if model not in models:
            raise ValueError(
                f'expected cascade to name an allowed model, got {model}'
            )


def find_cycle(successors):
    """Return one cycle of a successor mapping as a tuple, or ``()``."""
    for start in successors:
        path = [start]
        while path[-1] in successors:
            path.append(successors[path[-1]])
            if path[-1] == start:
                return tuple(path)
            if len(path) > len(successors):
                break
    return ()


def check_profile(raw, name='profile'):
    """Return ``Result`` with the ``Profile`` in a decoded JSON document."""
    return documents.convert(raw, Profile, name)


def check_organisation(raw, name='organisation'):
    """Return ``Result`` with the ``Organisation`` in a decoded document."""
    return documents.convert(raw, Organisation, name)
