"""Settings of a router instance, read from a JSON file at its start."""

import typing

import msgspec

from arbutuschute import documents

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]*$')]
Z85_KEY_CHARACTERS = 40


class Address(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An IP address and TCP port to listen on."""

    host: str
    port: Port


class Peers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Address of the link between routers, and its CURVE keys in Z85."""

    host: str
    port: Port
    public_key: typing.Annotated[
        str, msgspec.Meta(min_length=40, max_length=Z85_KEY_CHARACTERS)
    ]
    secret_key: typing.Annotated[
        str, msgspec.Meta(min_length=40, max_length=Z85_KEY_CHARACTERS)
    ]


class Platform(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """URLs of the platform's services, and the region of its store."""

    log: str
    instances: str
    rating: str
    region: Name


class Statsd(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Address of the statsd server (UDP)."""

    host: str = '127.0.0.1'
    port: Port = 8125


class Logging(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Format and lowest level of log lines; ``people`` is for terminals."""

    format: typing.Annotated[str, msgspec.Meta(pattern='^(json|people)$')] = (
        'json'
    )
    level: typing.Annotated[
        str, msgspec.Meta(pattern='^(DEBUG|INFO|WARNING|ERROR)$')
    ] = 'INFO'


class Control(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Periods and limits of the control plane; times are in seconds."""

    heartbeat_s: Seconds = 1.0
    suspect_s: Seconds = 4.0
    lease_s: Seconds = 10.0
    instances_s: Seconds = 1.0
    log_timeout_s: Seconds = 2.0
    bills_flush_s: Seconds = 0.25
    claim_window_s: Seconds = 21_600.0
    log_retention_s: Seconds = 604_800.0
    drain_s: Seconds = 30.0
    leave_s: Seconds = 2.0
    keepers: typing.Annotated[int, msgspec.Meta(ge=0, le=4)] = 2
    unsettled_limit: typing.Annotated[int, msgspec.Meta(ge=1)] = 100_000

    def __post_init__(self):
        if self.claim_window_s * 2 > self.log_retention_s:
            raise ValueError(
                'expected claim_window_s at most half of log_retention_s'
            )
        if self.suspect_s >= self.lease_s:
            raise ValueError('expected suspect_s below lease_s')


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The machine's limits, and how long a client may send or read nothing.

    Ordinary callers pause for less than 8 s between two reads.
    """

    memory_mb: typing.Annotated[int, msgspec.Meta(ge=1)] = 512
    max_descriptors: typing.Annotated[int, msgspec.Meta(ge=1)] = 4096
    unread_s: Seconds = 12.0
    unsent_s: Seconds = 12.0
    idle_s: Seconds = 3630.0

    @property
    def memory_bytes(self):
        """The machine's memory in bytes."""
        return self.memory_mb * 1024 * 1024


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of one router instance."""

    name: Name
    zone: Name
    region: Name
    listen: Address
    operators: Address
    peers: Peers
    platform: Platform
    session_secret: typing.Annotated[str, msgspec.Meta(min_length=16)]
    statsd: Statsd = msgspec.field(default_factory=Statsd)
    logging: Logging = msgspec.field(default_factory=Logging)
    control: Control = msgspec.field(default_factory=Control)
    limits: Limits = msgspec.field(default_factory=Limits)


def load(path):
    """Return ``Result`` with the ``Settings`` in the file at ``path``."""
    return documents.read_json(path).bind(
        lambda raw: documents.convert(raw, Settings, str(path))
    )
