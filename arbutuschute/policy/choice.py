"""Choice of a backend server from load reports and own requests."""

MAX_CANDIDATES = 16
# Random picks to find the candidates, as some servers may not be open.
MAX_SAMPLES = 48


def estimate_load(server):
    """Return the expected work per slot of a server.

    Own work counts as it is now, others' work as smoothed over the reports.
    """
    return (server.load.others + server.in_flight) / server.load.slots


def estimate_relative_wait(server, pace):
    """Return the relative time until a server ends one more request.

    It is 1 for an idle server at its pool's pace.
    """
    return (1.0 + estimate_load(server)) * pace.get_slowdown(server.name)


def choose_server(servers, pace, random, is_open=None):
    """Return the best of ``MAX_CANDIDATES`` random servers, or None.

    The sample bounds the cost of a choice among many servers.
    ``is_open(server)`` is whether a server may get new work.
    """
    best = None
    lowest = float('inf')
    for server in _sample(servers, random, is_open):
        wait = estimate_relative_wait(server, pace)
        if wait < lowest or (wait == lowest and random.random() < 0.5):
            best, lowest = server, wait
    return best


def _sample(servers, random, is_open):
    count = len(servers)
    if count > MAX_SAMPLES:
        sampled = {}
        for _ in range(MAX_SAMPLES):
            server = servers[int(random.random() * count)]
            if is_open is None or is_open(server):
                sampled[server.name] = server
                if len(sampled) == MAX_CANDIDATES:
                    break
        if sampled:
            return sampled.values()
    usable = [s for s in servers if is_open is None or is_open(s)]
    if len(usable) > MAX_CANDIDATES:
        return random.sample(usable, MAX_CANDIDATES)
    return usable
