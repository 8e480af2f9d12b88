"""Pools: the backend servers that may run a request."""

from arbutuschute import agreement
from arbutuschute.policy import choice


def find_servers(environment, work, version):
    """Return the servers listed for a version, or for a service."""
    if version is None:
        return environment.fleet.find_service(work.profile.service)
    return environment.fleet.find_version(*version.pair)


async def find_pool(environment, work):
    """Return (name, servers) of the pool that a request waits for.

    A service has no queue, so its servers are left empty.
    """
    if work.profile.service:
        return f'/{work.profile.service}', ()
    version = await agreement.choose_version(environment, work)
    return ':'.join(version.pair), find_servers(environment, work, version)


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
    region = environment.settings.region
    near = [s for s in servers if s.instance.region == region]
    for group in (near, servers):
        chosen = choice.choose_server(group, pace, environment.random, is_open)
        if chosen is not None:
            return chosen
    return None
