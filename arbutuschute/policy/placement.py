"""Which backend server a request goes to."""

from arbutuschute.policy import choice
from arbutuschute.zones import rendezvous

# Costs of a hop, in units of a free slot's time.
OTHER_ZONE_COST = 0.08
OTHER_REGION_COST = 0.35
# Rise of a server's relative cost at a failure rate of 1.
FAILURE_COST = 8.0
# Random part of a cost, so that instances do not all choose alike.
NOISE = 0.03

# For engines, all in seconds until the first event.
HOP_S = 0.12
# Cost of a failed attempt, times the failure rate.
FAILURE_S = 2.0
# Cost of a full batch, which slows its requests a little.
BUSY_S = 0.1
# Gain of a prompt's shared part in the cache, beyond not reading it again.
SHARED_READ_S = 0.02
NOISE_S = 0.004


def get_hop_cost(server, location):
    """Return the relative cost to reach a server from ``location``.

    ``location`` is (zone, region, regions by zone).
    """
    zone, region, regions = location
    if server.entry.zone == zone:
        return 0.0
    if regions.get(server.entry.zone) == region:
        return OTHER_ZONE_COST
    return OTHER_REGION_COST


def estimate_cost(server, location):
    """Return the relative time of one more request on a server."""
    busy = choice.estimate_load(server)
    cost = (1.0 + 2.0 * busy * busy + busy) * server.slowness
    cost *= 1.0 + FAILURE_COST * server.failure_rate
    return cost + get_hop_cost(server, location)


def choose(servers, location, random):
    """Return the cheapest server of a plain service, or None."""
    if not servers:
        return None
    return min(
        servers,
        key=lambda server: (
            estimate_cost(server, location) + NOISE * random.random()
        ),
    )


def choose_engine(waits, request, prefill_rates, location, random, now):
    """Return the engine expected to begin a request soonest, or None.

    ``waits`` maps each engine to the seconds until it may get a request.
    Requests that share a part of their prompt go to one engine of the
    region, which has read that part, unless another begins much sooner.
    """
    if not waits:
        return None
    affinity_engine = find_affinity_engine(waits, request, location)
    costs = {}
    for server, wait_s in waits.items():
        arrival_s, reading_s = estimate_start(
            server, wait_s, request, prefill_rates, location, now,
            server is affinity_engine,
        )  # fmt: skip
        cost_s = estimate_engine_cost(
            server, arrival_s, reading_s, server is affinity_engine
        )
        costs[server] = cost_s + NOISE_S * random.random()
    return min(costs, key=costs.__getitem__)


def estimate_start(
    server, wait_s, request, prefill_rates, location, now, has_shared
):
    """Return the seconds until an engine begins a prompt, and to read it.

    With ``has_shared``, it has read the shared parts.
    """
    arrival_s = (
        wait_s
        + server.queue_delays.estimate_wait_s(now)
        + HOP_S * get_hop_cost(server, location)
    )
    reading_s = prefill_rates.estimate_read_s(request, has_shared)
    return arrival_s, reading_s * server.slowness


def estimate_engine_cost(server, arrival_s, reading_s, has_shared):
    """Return the cost in seconds of one more request on an engine."""
    if has_shared:
        reading_s -= SHARED_READ_S
    cost_s = arrival_s + (reading_s + FAILURE_S * server.failure_rate)
    return cost_s + BUSY_S * choice.estimate_load(server)


def find_affinity_engine(servers, request, location):
    """Return the own region's engine for a shared prompt part, or None."""
    shared = request.prompt.shared
    if shared is None:
        return None
    _, region, regions = location
    near = {
        server.name: server
        for server in servers
        if regions.get(server.entry.zone) == region
    }
    if not near:
        return None
    return near[rendezvous.rank(shared, near)[0]]
