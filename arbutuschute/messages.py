"""Messages between routers, encoded as MessagePack.

Every message names its sender and the sender's incarnation, a number that
increases each time an instance of that name starts.
"""

import msgspec

from arbutuschute import decoding
from arbutuschute.policy import quarantine
from arbutuschute.policy import rate_limits
from arbutuschute.zones import fleet_size

# What instances tell each other of servers, and of themselves.
Observation = (
    quarantine.Crash
    | quarantine.Answered
    | quarantine.Verdict
    | rate_limits.LimitReport
    | fleet_size.ZoneSize
)


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag_field='k', array_like=False
):
    """Base of all messages."""

    sender: str
    incarnation: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one backend server; ``age_s`` is its age when sent."""

    server: str
    running: int
    waiting: int
    slots: int
    age_s: float


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Monotonic counters of one subject, per incarnation of the sender."""

    subject: str
    trials: int
    failures: int


class Heartbeat(Message, frozen=True, tag='hb'):
    """Heartbeat, with the position and age of the sender's configuration.

    ``sent_at`` is on the sender's clock. ``echo`` is the last ``sent_at``
    that the sender received from the receiver, on the receiver's clock, so
    the contents of the heartbeat were still true after ``echo``.
    """

    zone: str
    region: str
    state: str
    sent_at: float
    echo: float | None = None
    offset: int = -1
    confirmed_age_s: float | None = None
    store_down: bool = False
    reports: tuple[LoadReport, ...] = ()
    in_flight: int = 0


class ReportEvidence(Message, frozen=True, tag='te'):
    """The sender's counters of trials and failures in roll-outs."""

    evidence: tuple[Evidence, ...]


class AnnounceHalt(Message, frozen=True, tag='th'):
    """Announces the halt of a roll-out before it is in the log."""

    rollout: str
    revision: int


class InstancesChanged(Message, frozen=True, tag='ic'):
    """Changes that a zone peer read from the instance list."""

    changed: tuple[bytes, ...] = ()
    gone: tuple[str, ...] = ()


class FetchConfiguration(Message, frozen=True, tag='fc'):
    """Request for the configuration records after ``offset``."""

    offset: int


class ConfigurationRecords(Message, frozen=True, tag='cr'):
    """Records of the configuration stream, or a state to start from.

    ``records`` holds (offset, time, value) triples; ``state`` is set if the
    sender no longer has the requested records.
    """

    records: tuple[tuple[int, float, bytes], ...] = ()
    state: bytes | None = None


class ReplicateBills(Message, frozen=True, tag='kb'):
    """Bills of the sender to replicate until it reports them as settled.

    Repeating a message is safe: entries only move forward in state.
    """

    seq: int
    entries: tuple[bytes, ...] = ()
    settled: tuple[str, ...] = ()


class BillsReplicated(Message, frozen=True, tag='bk'):
    """Acknowledges all messages up to ``seq`` of this owner."""

    seq: int


class PinRequest(Message, frozen=True, tag='ap'):
    """Queries the owner of a session; a new one is pinned to ``proposal``."""

    seq: int
    session: str
    proposal: str


class PinResponse(Message, frozen=True, tag='tp'):
    """The version to which the session is pinned."""

    seq: int
    session: str
    version: str


class PinCopy(Message, frozen=True, tag='cp'):
    """A copy of a pin for the peers that take over if its owner is lost."""

    session: str
    version: str


class ShareObservation(Message, frozen=True, tag='so'):
    """What the sender saw of backend servers; safe to repeat."""

    observation: Observation


AnyMessage = (
    Heartbeat
    | ReportEvidence
    | AnnounceHalt
    | InstancesChanged
    | FetchConfiguration
    | ConfigurationRecords
    | ReplicateBills
    | BillsReplicated
    | PinRequest
    | PinResponse
    | PinCopy
    | ShareObservation
)

_decoder = decoding.make_msgpack_decoder(AnyMessage)
_encoder = msgspec.msgpack.Encoder()


def encode(message):
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(raw):
    """Return the message in ``raw``, or ``None`` if it is malformed."""
    try:
        return _decoder.decode(raw)
    except msgspec.DecodeError:
        return None
