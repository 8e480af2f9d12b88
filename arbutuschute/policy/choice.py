"""Choice of a backend server from lagged reports and own knowledge."""

SAMPLED_SERVERS = 16
DRAWS_MOST = 48


def estimate_load(server):
    """Return the expected work per slot of a server.

    Own work counts as it is now, that of others smoothed over their
    reports.
    """
    return (server.load.others + server.in_flight) / server.load.slots


def estimate_wait(server, pace):
    """Return the relative time until a server would be done with one more.

    A free slot costs the server's pace alone; the load breaks ties.
    """
    return (1.0 + estimate_load(server)) * pace.get_slowdown(server.name)


def choose_server(servers, pace, random, is_open=None):
    """Return the best of up to sixteen servers drawn at random, or None.

    A choice costs the same for any number of servers. ``is_open`` tells
    whether a server may get new work.
    """
    best = None
    lowest = float('inf')
    for server in _draw(servers, random, is_open):
        wait = estimate_wait(server, pace)
        if wait < lowest or (wait == lowest and random.random() < 0.5):
            best, lowest = server, wait
    return best


def _draw(servers, random, is_open):
    count = len(servers)
    if count > DRAWS_MOST:
        drawn = {}
        for _ in range(DRAWS_MOST):
            server = servers[int(random.random() * count)]
            if is_open is None or is_open(server):
                drawn[server.name] = server
                if len(drawn) == SAMPLED_SERVERS:
                    break
        if drawn:
            return drawn.values()
    usable = [s for s in servers if is_open is None or is_open(s)]
    if len(usable) > SAMPLED_SERVERS:
        return random.sample(usable, SAMPLED_SERVERS)
    return usable
