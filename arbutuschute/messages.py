"""Messages between routers, encoded as MessagePack.

Every message names its sender and the sender's incarnation, a number
that grows each time an instance of that name starts.
"""

import msgspec


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag_field='k', array_like=False
):
    """Base of all messages."""

    sender: str
    incarnation: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one backend server; ``age_s`` at the time of sending."""

    server: str
    running: int
    waiting: int
    slots: int
    age_s: float


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Monotone counters about one subject, for one sender's incarnation."""

    subject: str
    trials: int
    failures: int


class Heartbeat(Message, frozen=True, tag='hb'):
    """Sign of life, with what the sender knows of the configuration.

    ``sent_at`` is on the sender's clock; ``echo`` is the last ``sent_at``
    that the sender heard from the receiver, on the receiver's clock. What
    the heartbeat states was therefore still true after ``echo``.
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
    """The sender's counters about roll-outs, for the judge of each."""

    evidence: tuple[Evidence, ...]


class AnnounceHalt(Message, frozen=True, tag='th'):
    """A judge has halted a roll-out; the log will say so too."""

    rollout: str
    revision: int


class InstancesChanged(Message, frozen=True, tag='ic'):
    """What a zone mate's reading of the instance list brought."""

    changed: tuple[bytes, ...] = ()
    gone: tuple[str, ...] = ()


class FetchConfiguration(Message, frozen=True, tag='fc'):
    """Ask for the configuration records after ``offset``."""

    offset: int


class ConfigurationRecords(Message, frozen=True, tag='cr'):
    """Records of the configuration stream, or a state to start from.

    ``records`` is (offset, time, value) triples; ``state`` is set when the
    sender no longer has the records asked for.
    """

    records: tuple[tuple[int, float, bytes], ...] = ()
    state: bytes | None = None


class ReplicateBills(Message, frozen=True, tag='kb'):
    """Keep these entries until told that they are settled.

    ``owner`` is the incarnation whose requests they bill. A repeated
    message does no harm: entries only move forward in state.
    """

    seq: int
    entries: tuple[bytes, ...] = ()
    settled: tuple[str, ...] = ()


class BillsReplicated(Message, frozen=True, tag='bk'):
    """The keeper has everything up to ``seq`` of this owner."""

    seq: int


class PinRequest(Message, frozen=True, tag='ap'):
    """Ask a session's owner for its version; propose one for a new one."""

    seq: int
    session: str
    proposal: str


class PinResponse(Message, frozen=True, tag='tp'):
    """The version that the session keeps."""

    seq: int
    session: str
    version: str


class PinCopy(Message, frozen=True, tag='cp'):
    """A pin, for the peers that stand in when its owner goes."""

    session: str
    version: str


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
)

_decoder = msgspec.msgpack.Decoder(AnyMessage)
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
