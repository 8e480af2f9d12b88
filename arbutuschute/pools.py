"""Pools: the backend servers that may run a request."""

from arbutuschute import agreement
from arbutuschute import errors
from arbutuschute.policy import choice
from arbutuschute.policy import eligibility


def follow_orders(environment, absent_at):
    """Apply the orders to evacuate zones of the configuration in force.

    ``absent_at`` is when a new one had not been given yet.
    """
    begun, ended = environment.evacuations.follow(
        environment.configuration.get_evacuated(), absent_at
    )
    for zone in begun:
        environment.metrics.count('evacuations.ordered')
        environment.log.warning('zone evacuated', zone=zone)
    for zone in ended:
        environment.metrics.count('evacuations.ended')
        environment.log.warning('evacuation ended', zone=zone)


def find_regions(environment, work):
    """Return the regions that a request may be served in, None for any.

    Those of its profile and organisation in the configuration in force; if
    one of them is gone, of the one that it was admitted with.
    """
    configuration = environment.configuration
    profile = configuration.profiles.get(work.profile.name)
    organisation = configuration.organisations.get(work.organisation.name)
    return eligibility.intersect(
        (profile and profile.document or work.profile).allowed_regions,
        (
            organisation and organisation.document or work.organisation
        ).allowed_regions,
    )


def _select_allowed(environment, work, servers):
    return eligibility.select(
        servers,
        find_regions(environment, work),
        lambda server: server.instance.region,
    )


def _find_listed(environment, work, version):
    if version is None:
        return environment.fleet.find_service(work.profile.service)
    return environment.fleet.find_version(*version.pair)


def find_servers(environment, work, version):
    """Return the servers of a version or service that may get the request."""
    listed = _find_listed(environment, work, version)
    return environment.evacuations.select(
        _select_allowed(environment, work, listed)
    )


def list_servers(environment, work, version):
    """Do the same for an attempt.

    Raise ``NoAllowedRegion`` if no allowed region has one, and
    ``ZonesEvacuated`` if all that they have are in evacuated zones.
    """
    found = find_servers(environment, work, version)
    if found:
        return found
    listed = _find_listed(environment, work, version)
    regions = find_regions(environment, work)
    wanted = name_wanted(work, version)
    if _select_allowed(environment, work, listed):
        failure = errors.ZonesEvacuated(wanted)
    elif regions is not None:
        allowed = ', '.join(sorted(regions)) or 'none'
        failure = errors.NoAllowedRegion(wanted, allowed)
    else:
        return found
    environment.log.warning(
        'no eligible server',
        request=work.id,
        code=failure.code,
        detail=failure.detail,
        listed=len(listed),
    )
    raise failure.mark_ran(work.ran)


def is_eligible(environment, work, server):
    """Return whether a server that was chosen before may get the request."""
    servers = _select_allowed(environment, work, [server])
    return bool(environment.evacuations.select(servers))


def name_wanted(work, version):
    """Return the name of what a request needs: a version or a service."""
    return ':'.join(version.pair) if version else work.profile.service


async def find_pool(environment, work):
    """Return (name, servers) of the pool that a request waits for.

    A service has no queue, so its servers are left empty. Neither has a pool
    without a server for the request, which is refused by ``list_servers``, or
    served by another model.
    """
    if work.profile.service:
        return f'/{work.profile.service}', ()
    version = await agreement.choose_version(environment, work)
    return name_wanted(work, version), find_servers(environment, work, version)


def name_queue(environment, work, name):
    """Return the name of a pool's queue for requests with these regions."""
    regions = find_regions(environment, work)
    if regions is None:
        return name
    return f'{name}@{",".join(sorted(regions))}'


def get_limit_wait_s(environment, server, version):
    """Return the seconds until a request may be sent to a server.

    Infinite if the server's rate limit is left to other instances.
    """
    return environment.rate_limits.get_wait_s(
        server.incarnation,
        _name_pool(server, version),
        server.instance.region,
    )


def reserve_turn(environment, server, version):
    """Reserve the next turn at a server; return the seconds until then."""
    wait_s = get_limit_wait_s(environment, server, version)
    environment.rate_limits.reserve(
        server.incarnation,
        _name_pool(server, version),
        server.instance.region,
    )
    return wait_s


def _name_pool(server, version):
    if version is None:
        return f'/{server.instance.service}'
    return ':'.join(version.pair)


def choose_open(environment, servers, version):
    """Return the best open server or None, preferring the own region.

    A server at its rate limit is not open.
    """
    now = environment.timer.now()

    def is_open(server):
        return (
            server.is_open(now)
            and get_limit_wait_s(environment, server, version) <= 0.0
        )

    pace = environment.paces.get(version.pair if version else None)
    if environment.evacuations.is_shifting:
        usable = [server for server in servers if is_open(server)]
        servers = environment.evacuations.thin_out(usable, environment.random)
    region = environment.settings.region
    near = [s for s in servers if s.instance.region == region]
    for group in (near, servers):
        chosen = choice.choose_server(group, pace, environment.random, is_open)
        if chosen is not None:
            return chosen
    return None
