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


def choose_open(environment, servers, version):
    """Return the best open server or None, preferring the own region."""
    now = environment.timer.now()
    pace = environment.paces.get(version.pair if version else None)
    region = environment.settings.region
    near = [s for s in servers if s.instance.region == region]
    for group in (near, servers):
        chosen = choice.choose_server(
            group, pace, environment.random, lambda s: s.is_open(now)
        )
        if chosen is not None:
            return chosen
    return None
