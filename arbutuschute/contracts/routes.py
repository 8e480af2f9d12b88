"""Routes, services, organisations and limits from the configuration."""

import enum

import msgspec

from arbutuschute import errors


class Kind(enum.Enum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True):
    """A service with its weight in the distribution of requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Routing of requests with one host and path prefix; times in seconds.

    ``priority`` 0 is the most urgent. ``models`` are the models to choose
    from, smallest first; empty if the caller names the model. Requests may be
    served in ``allowed_regions`` only, anywhere if there are none.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    kind: Kind
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    models: tuple[str, ...] = ()
    gap_target_s: float = 1.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_stream(self):
        """Whether the response is a stream of events."""
        return self.kind is Kind.STREAM

    @property
    def is_retryable(self):
        """Whether a request may be retried or resumed after it ran."""
        if self.is_stream:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


class Service(msgspec.Struct, frozen=True):
    """A pool of backend servers; costs are per 1,000 generated tokens.

    A server is cold for ``cold_start_s`` after its start. ``cold_per_s`` is
    how many requests a second a cold one tolerates, 0 for any number.
    """

    name: str
    max_connections: int = 0
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1
    model_costs: dict[str, float] = {}
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Organisation(msgspec.Struct, frozen=True):
    """An organisation, identified by any of its API keys.

    ``allowed_regions`` restricts its requests like that of a route.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 5
    allowed_regions: tuple[str, ...] = ()


class Limits(msgspec.Struct, frozen=True):
    """Limits of requests from callers, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Table:
    """One version of the configuration, indexed for lookups.

    Without ``organisations`` (None) callers need no API key. If there are
    any, or an empty list of them, they need one on routes that aren't public,
    also while nobody has a key.
    """

    __slots__ = (
        '_by_host',
        '_by_key',
        'has_organisations',
        'limits',
        'organisations',
        'routes',
        'services',
        'version',
    )

    def __init__(self, version, routes, services, organisations, limits):
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.routes = tuple(routes)
        self.organisations = tuple(organisations or ())
        # Whether callers need an API key.
        self.has_organisations = organisations is not None
        self._by_key = {
            key: organisation
            for organisation in organisations or ()
            for key in organisation.keys
        }
        self._by_host = {}
        longest_first = sorted(
            routes, key=lambda route: len(route.path_prefix), reverse=True
        )
        for route in longest_first:
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host, path):
        """Return the route with the longest matching path prefix.

        Raise ``UnknownRoute`` if there is none.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        raise errors.UnknownRoute(host, path)

    def find_organisation(self, route, key):
        """Return the organisation of a key; None if no key is needed.

        Raise ``UnknownKey`` if a key is needed and this one is not known.
        """
        if route.public or not self.has_organisations:
            return None
        organisation = self._by_key.get(key) if key else None
        if organisation is None:
            raise errors.UnknownKey()
        return organisation
