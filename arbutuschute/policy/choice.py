"""Choice of a backend server from lagged reports and own knowledge."""

SAMPLED_SERVERS = 3


def estimate_load(server):
    """Return the expected work per slot of a server.

    A report counts everybody's work as of its own time; what we had in
    flight then is replaced by what we have in flight now.
    """
    load = server.load
    others = max(0, load.running + load.waiting - load.own)
    return (others + server.in_flight) / load.slots


def choose_server(servers, random):
    """Return the least loaded of a few servers drawn at random, or None.

    Drawing a few keeps instances with the same stale reports from sending
    all their work to the same server.
    """
    if not servers:
        return None
    drawn = servers
    if len(servers) > SAMPLED_SERVERS:
        drawn = random.sample(servers, SAMPLED_SERVERS)
    return min(drawn, key=estimate_load)
