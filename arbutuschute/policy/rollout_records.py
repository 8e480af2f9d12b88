"""Records of roll-outs in the log: orders, steps, evidence and sessions."""

import enum
import typing

import msgspec

from arbutuschute import decoding

# Share of sessions on the new version at each step. The first is below the
# bound of exposure, which is 0.0975 or more.
SHARES = (0.06, 0.4, 1.0)

_Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Phase(enum.Enum):
    """The phase of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled-back'


class Order(msgspec.Struct, frozen=True):
    """Move a service's requests to a version within ``duration_s``.

    ``offset`` is that of the operator's record and identifies the order until
    the log is restored from an older copy.
    """

    service: str
    version: str
    duration_s: float
    offset: int

    @property
    def content(self):
        """What the operator ordered, wherever it stands in the log."""
        return self.service, self.version, self.duration_s


class Serving(msgspec.Struct, frozen=True):
    """The versions of a service when an order came.

    ``versions`` served it, () if that isn't known. ``set_aside`` are those of
    earlier orders that were never completed.
    """

    versions: tuple[str, ...] = ()
    set_aside: tuple[str, ...] = ()


UNKNOWN_SERVING = Serving()


class Step(msgspec.Struct, frozen=True, tag='step'):
    """A record that a roll-out has reached a share or its end.

    ``written_at`` is in Unix seconds, 0 if it is not known. ``version`` is
    the one ordered, '' in records of older builds.
    """

    order: int
    service: str
    number: typing.Annotated[int, msgspec.Meta(ge=0, le=len(SHARES) - 1)]
    phase: Phase
    elapsed_s: _Seconds
    first_share: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = SHARES[0]
    written_at: float = 0.0
    version: str = ''
    serving: Serving = UNKNOWN_SERVING


class Evidence(msgspec.Struct, frozen=True, tag='evidence'):
    """One instance's counts, as (failures, trials) by signal."""

    order: int
    service: str
    instance: str
    new: dict[str, tuple[_Count, _Count]]
    old: dict[str, tuple[_Count, _Count]]
    elapsed_s: _Seconds


class Sessions(msgspec.Struct, frozen=True, tag='sessions'):
    """Sessions of one instance, by the version that they ran on last.

    ``versions`` maps a version to the packed hashes of its sessions;
    ``written_at`` is in Unix seconds. Without an ``order`` the instance has
    stopped, and its sessions may continue during an order that comes later.
    """

    service: str
    instance: str
    written_at: float
    versions: dict[str, bytes]
    order: int | None = None


AnyRecord = Step | Evidence | Sessions
_decoder = decoding.make_json_decoder(AnyRecord)


def encode(record):
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode(raw):
    """Return the record in ``raw``; raise ``msgspec.DecodeError``."""
    return _decoder.decode(raw)
