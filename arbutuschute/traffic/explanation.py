"""Where a request would go now, and why, without sending it.

The choice is made by the functions that serve requests, in a copy of the
environment, so that no turn, count, random number or log line is left behind.
"""

import copy
import math
import random

import msgspec

from arbutuschute import errors
from arbutuschute import logs
from arbutuschute.policy import eligibility
from arbutuschute.policy import placement
from arbutuschute.traffic import candidates
from arbutuschute.traffic import handler
from arbutuschute.traffic import permission
from arbutuschute.traffic import sending


class Refusal(msgspec.Struct):
    """How the request would be refused at once.

    ``retry_after_s`` is None if the failure doesn't name a time.
    """

    code: str
    status: int
    detail: str
    retry_after_s: float | None


class Candidate(msgspec.Struct):
    """A server of the request's service.

    ``start_ms`` is the expected time until the first event, None if the
    server would give this instance no turn. ``cost`` is what the choice
    compares, without its random part: seconds for streams, relative to a free
    slot's time otherwise. ``passed_over`` is empty for the chosen server.
    """

    name: str
    zone: str
    region: str | None
    version: str
    start_ms: int | None
    cost: float | None
    load: float
    load_age_ms: int | None
    failure_rate: float
    in_flight: int
    holds_shared_part: bool
    passed_over: str = ''


class Explanation(msgspec.Struct):
    """A choice; fields that weren't found before a refusal are None.

    ``allowed_regions`` is None for any region.
    """

    instance: str
    route: str | None = None
    organisation: str | None = None
    service: str | None = None
    urgency: int | None = None
    model: str | None = None
    pool_delay_ms: int | None = None
    allowed_regions: list[str] | None = None
    refusal: Refusal | None = None
    chosen: str | None = None
    turn_ms: int | None = None
    candidates: list[Candidate] = []


class _Silent:
    """A log that drops its lines."""

    __slots__ = ()

    def info(self, *_, **__):
        """Drop a line."""

    warning = info


class _Uncounted:
    """Metrics that count nothing."""

    __slots__ = ()

    def count(self, *_):
        """Count nothing."""


class _Steps:
    """What is known after the steps of a choice."""

    __slots__ = ('chosen', 'reasons', 'waits')

    def __init__(self):
        # Why servers were passed over.
        self.reasons = {}
        # The servers compared, with the seconds until each may be used.
        self.waits = {}
        self.chosen = None


def explain(environment, request, get_retry_after_s, generator=None):
    """Return the ``Explanation`` of a first attempt at a request.

    ``request`` is as it was received, and is changed like one that is served.
    ``get_retry_after_s(request, failure)`` returns what a refusal asks for,
    in seconds or None. Random numbers come from ``generator``.
    """
    view = _copy_environment(environment, generator or random.Random())
    found = Explanation(view.name)
    steps = _Steps()
    try:
        handler.admit(view, request)
        _describe_request(view, request, found)
        permission.check(view, request)
        sending.refuse_quarantined(view, request)
        _choose(view, request, steps)
    except errors.Failure as failure:
        found.refusal = Refusal(
            failure.code,
            errors.find_status(failure),
            failure.detail,
            get_retry_after_s(request, failure),
        )
    if request.service is not None:
        found.candidates = _describe_servers(view, request, steps)
    if steps.chosen is not None:
        found.chosen = steps.chosen.name
        found.turn_ms = logs.round_to_ms(steps.waits[steps.chosen])
        sending.choose_model_at_limit(view, request, steps.chosen)
    found.model = request.model or request.prompt.model or None
    return found


def _copy_environment(environment, generator):
    view = copy.copy(environment)
    view.log = _Silent()
    view.metrics = _Uncounted()
    view.random = generator
    view.rate_limits = environment.rate_limits.copy()
    view.cold_limits = environment.cold_limits.copy()
    view.evacuations = environment.evacuations.copy()
    return view


def _describe_request(view, request, found):
    if request.route.is_stream:
        request.model = view.model_selector.select_first(request)
    found.route = request.route.name
    if request.organisation is not None:
        found.organisation = request.organisation.name
    found.service = request.service
    found.urgency = request.urgency
    found.pool_delay_ms = logs.round_to_ms(
        view.pool_delays.estimate_s(request.pool, view.now())
    )
    regions = candidates.find_regions(view.table, request)
    found.allowed_regions = None if regions is None else sorted(regions)


def _choose(view, request, steps):
    now = view.now()
    reasons = steps.reasons
    _add_reasons(view, request, reasons)
    listed = candidates.list_servers(view, request)
    fresh = sending.select_fresh(view, request, listed, ())
    usable = [server for server in fresh if server.is_open(now)]
    _pass_over(reasons, listed, fresh, lambda _: 'roll-out: other version')
    _pass_over(reasons, fresh, usable or fresh, lambda _: 'paused')
    offered = sending.thin_out(view, fresh, usable)
    _pass_over(reasons, fresh, offered, lambda s: _describe_shift(view, s))
    fitting = sending.select_fitting(view, request, offered)
    _pass_over(reasons, offered, fitting, lambda _: 'memory expected full')
    offered = fitting

    def describe_wait(server):
        return _describe_wait(view, server) or 'higher cost'

    try:
        steps.waits = candidates.find_waits(view, request, offered)
    except errors.RateLimited:
        _pass_over(reasons, offered, (), describe_wait)
        raise
    steps.chosen = sending.choose_among(view, request, steps.waits)
    _pass_over(reasons, offered, [steps.chosen], describe_wait)


def _pass_over(reasons, before, left, describe):
    left = set(left)
    for server in before:
        if server not in left:
            reasons.setdefault(server, describe(server))


def _add_reasons(view, request, reasons):
    """Add the reasons that hold for a server whatever the others are."""
    now = view.now()
    regions = candidates.find_regions(view.table, request)
    for server in view.directory.find(request.service):
        region = eligibility.get_region(server.entry.zone, view.location)
        if regions is not None and region not in regions:
            reasons[server] = 'other region'
        elif not view.evacuations.select([server]):
            reasons[server] = 'evacuated zone'
        elif server.leaving:
            reasons[server] = 'leaving'
        elif not server.is_available(now):
            reasons[server] = f'on hold for {server.held_until - now:.1f} s'


def _describe_shift(view, server):
    share = view.evacuations.get_share(server.entry.zone)
    return f'zone shifts: used by {share:.0%} of choices'


def _describe_wait(view, server):
    """Return the limit that a server is waited for, '' if there is none."""
    wait_s = candidates.find_turns(view, [server])[server]
    if wait_s <= 0.0:
        return ''
    cold = candidates.get_cold_wait_s(view, server) >= wait_s
    turn = (
        'left to other instances'
        if math.isinf(wait_s)
        else f'turn in {wait_s:.1f} s'
    )
    return f'{"cold" if cold else "rate limit"}: {turn}'


def _describe_servers(view, request, steps):
    """Return a ``Candidate`` for each server of the service.

    The chosen one first, then those compared with it, the cheapest first.
    """
    servers = view.directory.find(request.service)
    affinity = None
    if request.route.is_stream:
        affinity = placement.find_affinity_engine(
            steps.waits, request, view.location
        )
    found_turns = candidates.find_turns(view, servers)
    found = {
        server: _describe_server(
            view, request, server, found_turns[server], server is affinity
        )
        for server in servers
    }

    def rank(server):
        cost = found[server].cost
        return (
            server is not steps.chosen,
            server not in steps.waits,
            math.inf if cost is None else cost,
            server.name,
        )

    for server, candidate in found.items():
        candidate.passed_over = steps.reasons.get(server, '')
    return [found[server] for server in sorted(servers, key=rank)]


def _describe_server(view, request, server, wait_s, has_shared):
    now = view.now()
    start_s = wait_s
    cost = placement.estimate_cost(server, view.location)
    if request.route.is_stream:
        arrival_s, reading_s = placement.estimate_start(
            server, wait_s, request, view.prefill_rates, view.location, now,
            has_shared,
        )  # fmt: skip
        start_s = arrival_s + reading_s
        cost = placement.estimate_engine_cost(
            server, arrival_s, reading_s, has_shared
        )
    return Candidate(
        server.name,
        server.entry.zone,
        eligibility.get_region(server.entry.zone, view.location),
        server.entry.version,
        logs.round_to_ms(start_s),
        None if math.isinf(cost) else round(cost, 4),
        round(server.load.others + server.in_flight, 1),
        logs.round_to_ms(now - server.load.at),
        round(server.failure_rate, 3),
        server.in_flight,
        has_shared,
    )
