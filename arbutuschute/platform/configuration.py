"""Decodes the operator's configuration and roll-out orders."""

import typing

import msgspec

from arbutuschute.contracts import routes
from arbutuschute import decoding
from arbutuschute.policy import rollout_records

TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
ROLLOUT_PREFIX = 'rollout/'
STATUS_TOPIC = 'keyed.status'
_KINDS = {
    'idempotent': routes.Kind.IDEMPOTENT,
    'non_idempotent': routes.Kind.AT_MOST_ONCE,
    'streaming': routes.Kind.STREAM,
}
_STATES = {
    rollout_records.Phase.COMPLETED: 'completed',
    rollout_records.Phase.ROLLED_BACK: 'rolled_back',
}


_NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # A response within this time gets full credit.
    target_latency_ms: float = 1000.0
    priority: int = 5
    service: str | None = None
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    sizes: list[str] = []
    gap_target_ms: float = 1000.0
    allowed_regions: list[str] = []


class _Model(msgspec.Struct):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 0
    kv_capacity_tokens: int = 0
    # Tokens in one event of a stream.
    stride: int = 1
    models: list[_Model] = []


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    cold_start_s: _NotNegative = 0.0
    # Requests a second that a cold server tolerates; 0 is no limit.
    cold_per_s: _NotNegative = 0.0


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: int = 5
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Without it nobody needs an API key; an empty list lets nobody in.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


class _Rollout(msgspec.Struct, rename='camel'):
    service: str
    # The version to move new traffic to.
    target: str
    duration_s: float


def decode_table(raw):
    """Return the ``Table`` in a configuration record.

    Raise ``msgspec.DecodeError`` if it is malformed.
    """
    found = decoding.decode_json(raw, _Configuration)
    return routes.Table(
        found.version,
        [_make_route(route) for route in found.routes],
        [_make_service(service) for service in found.services],
        _make_organisations(found.tenants),
        _make_limits(found.limits),
    )


def _make_organisations(tenants):
    if tenants is msgspec.UNSET:
        return None
    return [
        routes.Organisation(
            t.name, tuple(t.api_keys), t.priority, tuple(t.allowed_regions)
        )
        for t in tenants
    ]


def _make_limits(limits):
    return routes.Limits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )


def _make_route(route):
    targets = [routes.Target(b.service, b.weight) for b in route.backends]
    if route.service:
        targets = [routes.Target(route.service)]
    return routes.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        targets=tuple(targets),
        kind=_KINDS.get(route.kind, routes.Kind.AT_MOST_ONCE),
        timeout_s=route.timeout_ms / 1000,
        target_s=route.target_latency_ms / 1000,
        max_attempts=route.max_attempts,
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        models=tuple(route.sizes),
        gap_target_s=route.gap_target_ms / 1000,
        allowed_regions=tuple(route.allowed_regions),
    )


def _make_service(service):
    engine = service.engine or _Engine()
    return routes.Service(
        name=service.name,
        max_connections=service.max_connections,
        slots=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        event_tokens=engine.stride,
        model_costs={model.name: model.cost for model in engine.models},
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
    )


def decode_order(raw, offset):
    """Return the roll-out ``Order`` in a record.

    Raise ``msgspec.DecodeError`` if it is malformed.
    """
    found = decoding.decode_json(raw, _Rollout)
    return rollout_records.Order(
        found.service, found.target, found.duration_s, offset
    )


def make_status_key(service):
    """Return the key of a roll-out's status record."""
    return ROLLOUT_PREFIX + service


def encode_status(order, phase):
    """Return the record that reports a roll-out's state to the operator."""
    return msgspec.json.encode(
        {
            'service': order.service,
            'target': order.version,
            'state': _STATES.get(phase, 'in_progress'),
        }
    )
