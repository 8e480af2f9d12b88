"""Which backend server a request goes to."""

from arbutuschute.policy import choice
from arbutuschute.zones import rendezvous

# What a hop costs, in units of a free slot's time.
OTHER_ZONE_COST = 0.08
OTHER_REGION_COST = 0.35
# A server that always fails counts as this many times busier.
FAILURE_COST = 8.0
# A prompt's usual server may be this much busier than the best one.
AFFINITY_SLACK = 0.35
NOISE = 0.03


def find_distance(server, place):
    """Return what it costs to reach a server from ``place``.

    ``place`` is (zone, region, regions by zone).
    """
    zone, region, regions = place
    if server.entry.zone == zone:
        return 0.0
    if regions.get(server.entry.zone) == region:
        return OTHER_ZONE_COST
    return OTHER_REGION_COST


def estimate_cost(server, place):
    """Return the relative time that one more request would take there."""
    busy = choice.estimate_load(server)
    cost = (1.0 + 2.0 * busy * busy + busy) * server.slowness
    cost *= 1.0 + FAILURE_COST * server.failure_rate
    return cost + find_distance(server, place)


def choose(servers, place, random, affinity=None):
    """Return the server to use, or None where there is none.

    ``affinity`` is the shared part of a prompt; requests that share it go
    to one server while that is not much busier than the others.
    """
    if not servers:
        return None
    costs = {
        server: estimate_cost(server, place) + NOISE * random.random()
        for server in servers
    }
    best = min(servers, key=costs.__getitem__)
    if affinity is None:
        return best
    by_name = {server.name: server for server in servers}
    for name in rendezvous.rank(affinity, by_name)[:2]:
        if costs[by_name[name]] <= costs[best] + AFFINITY_SLACK:
            return by_name[name]
    return best
