"""The servers that a request may go to at this moment, or after a wait.

The configuration and the operator's orders may have changed since the
request arrived, so this is asked before each attempt and after each wait.
"""

from arbutuschute import errors
from arbutuschute.policy import eligibility

# How long a request may wait for its turn at a server with a rate limit, as a
# multiple of the route's target.
MAX_LIMIT_WAIT_TARGETS = 0.5


def find_regions(table, request):
    """Return the regions that a request may be served in, None for any.

    Those of the route and the organisation that the request has in
    ``table``; if one of them is gone, of the one it was admitted with.
    """
    route, organisation = request.route, request.organisation
    try:
        route = table.find_route(request.host, request.path)
        organisation = (
            table.find_organisation(route, request.key) or organisation
        )
    except (errors.UnknownRoute, errors.UnknownKey):
        pass
    return eligibility.intersect(
        route.allowed_regions,
        organisation.allowed_regions if organisation is not None else (),
    )


def find_servers(environment, request):
    """Return the listed servers that the request may go to, open or not."""
    return environment.evacuations.select(_find_allowed(environment, request))


def _find_allowed(environment, request):
    return _select(
        environment, request, environment.directory.find(request.service)
    )


def _select(environment, request, servers):
    def find_region(server):
        return eligibility.get_region(server.entry.zone, environment.location)

    regions = find_regions(environment.table, request)
    return eligibility.select(servers, regions, find_region)


def list_servers(environment, request):
    """Do the same for an attempt.

    Raise ``NoAllowedRegion`` if no allowed region has a server,
    ``ZonesEvacuated`` if all that it has are in evacuated zones.
    """
    found = find_servers(environment, request)
    if found:
        return found
    if _find_allowed(environment, request):
        failure = errors.ZonesEvacuated(request.service)
        _refuse(environment, request, failure)
    regions = find_regions(environment.table, request)
    if regions is not None:
        allowed = ', '.join(sorted(regions)) or 'none'
        failure = errors.NoAllowedRegion(request.service, allowed)
        _refuse(environment, request, failure)
    return found


def is_allowed(environment, request, server):
    """Return whether a server that was chosen before may get the request."""
    servers = _select(environment, request, [server])
    return bool(environment.evacuations.select(servers))


def _refuse(environment, request, failure):
    environment.log.warning(
        'no eligible server',
        request=request.id,
        service=request.service,
        code=failure.code,
        detail=failure.detail,
        listed=len(environment.directory.find(request.service)),
    )
    raise failure.mark_ran(request.known_ran)


def _get_limit_wait_s(environment, server):
    """Return the seconds until a request may be sent to a server.

    Infinite if the server's limit is left to other instances.
    """
    return max(
        get_cold_wait_s(environment, server),
        environment.rate_limits.get_wait_s(
            server.incarnation,
            server.entry.service,
            _get_region(environment, server),
        ),
    )


def find_turns(environment, servers):
    """Return the seconds until each server's next turn, however long."""
    return {s: _get_limit_wait_s(environment, s) for s in servers}


def get_cold_wait_s(environment, server):
    """Return the part of the wait that is due to a cold server."""
    return environment.cold_limits.get_wait_s(
        server, server.entry.service, _get_region(environment, server)
    )


def reserve(environment, server):
    """Take the next turn at a server."""
    service = server.entry.service
    region = _get_region(environment, server)
    environment.rate_limits.reserve(server.incarnation, service, region)
    if environment.cold_limits.reserve(server, service, region):
        environment.metrics.count('servers.cold.requests')


def _get_region(environment, server):
    _, _, regions = environment.location
    return regions.get(server.entry.zone)


def _compute_longest_wait_s(environment, request):
    """Return how long a request may wait for its turn at a limited server.

    A stream that has begun would break off otherwise.
    """
    left_s = request.deadline_at - environment.now()
    if request.first_event_s is not None:
        return left_s
    return min(left_s, MAX_LIMIT_WAIT_TARGETS * request.route.target_s)


def find_waits(environment, request, servers):
    """Return the seconds until each server may get the request.

    Without those at which it would wait too long for its turn.
    """
    if not servers:
        raise errors.NoBackendServer(request.service).mark_ran(request.ran)
    longest_s = _compute_longest_wait_s(environment, request)
    turns = find_turns(environment, servers)
    waits = {s: wait_s for s, wait_s in turns.items() if wait_s <= longest_s}
    if not waits:
        raise errors.RateLimited(request.service).mark_ran(request.ran)
    return _leave_out_cold(environment, waits)


def _leave_out_cold(environment, waits):
    """Leave out cold servers without a turn now, unless all are such."""
    found = {
        server: wait_s
        for server, wait_s in waits.items()
        if get_cold_wait_s(environment, server) <= 0.0
    }
    return found or waits
