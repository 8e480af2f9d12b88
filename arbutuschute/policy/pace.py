"""How fast each backend server is, relative to the others of its pool.

A server that an unseen neighbour slows keeps accepting work, and its load
report shows it late. What shows it early is the pace of answers: time
spent per token between tokens, summed over all requests of an instance
and, with the sums that peers tell, over all instances.
"""

import math
import statistics

HALF_LIFE_S = 2.0
PRIOR_TOKENS = 20.0
MAX_SLOWDOWN = 20.0
TOLERATED_SLOWDOWN = 1.3


class Sums:
    """Decaying sums of seconds and tokens for one server."""

    __slots__ = ('at', 'seconds', 'tokens')

    def __init__(self):
        self.seconds = 0.0
        self.tokens = 0.0
        self.at = 0.0

    def decay(self, now):
        """Let older observations count for less."""
        if now > self.at:
            left = math.exp2((self.at - now) / HALF_LIFE_S)
            self.seconds *= left
            self.tokens *= left
            self.at = now

    def add(self, seconds, tokens, now):
        """Add one observation."""
        self.decay(now)
        self.seconds += seconds
        self.tokens += tokens


class Pace:
    """Own and peers' observations, and the factors that follow from them."""

    __slots__ = ('_slowdowns', '_own', '_peers')

    def __init__(self):
        self._own = {}
        self._peers = {}
        self._slowdowns = {}

    def observe(self, server, seconds, tokens, now):
        """Take in that a server took ``seconds`` for ``tokens`` tokens."""
        sums = self._own.get(server)
        if sums is None:
            sums = self._own[server] = Sums()
        sums.add(seconds, tokens, now)

    def export(self, now):
        """Return the own sums as (server, seconds, tokens), for peers."""
        exported = []
        for server, sums in self._own.items():
            sums.decay(now)
            if sums.tokens > 0.5:
                exported.append((server, sums.seconds, sums.tokens))
        return tuple(exported)

    def merge_peer(self, peer, exported, now):
        """Replace what a peer last told; it decays from now on."""
        received = {}
        for server, seconds, tokens in exported:
            sums = received[server] = Sums()
            sums.add(seconds, tokens, now)
        self._peers[peer] = received

    def update(self, now):
        """Work out the factors anew, each against the pool's median."""
        totals = {}
        for table in (self._own, *self._peers.values()):
            for server, sums in table.items():
                sums.decay(now)
                seconds, tokens = totals.get(server, (0.0, 0.0))
                totals[server] = (
                    seconds + sums.seconds,
                    tokens + sums.tokens,
                )
        paces = [s / t for s, t in totals.values() if t > PRIOR_TOKENS]
        if not paces:
            self._slowdowns = {}
            return
        median = statistics.median(paces)
        self._slowdowns = {
            server: _compute_slowdown(seconds, tokens, median)
            for server, (seconds, tokens) in totals.items()
        }

    def get_slowdown(self, server):
        """Return how many times slower than usual a server is, at least 1."""
        return self._slowdowns.get(server, 1.0)


class Paces:
    """One ``Pace`` for each pool: versions differ in pace by nature."""

    __slots__ = ('_by_pool',)

    def __init__(self):
        self._by_pool = {}

    def get(self, pool):
        """Return the pace of a pool."""
        found = self._by_pool.get(pool)
        if found is None:
            found = self._by_pool[pool] = Pace()
        return found

    def update(self, now):
        """Work out the factors of all pools anew."""
        for pace in self._by_pool.values():
            pace.update(now)


def _compute_slowdown(seconds, tokens, median):
    """Shrink towards 1 where there is little to judge by."""
    prior_s = PRIOR_TOKENS * median
    slowdown = (seconds + prior_s) / (tokens * median + prior_s)
    if slowdown < TOLERATED_SLOWDOWN:
        return 1.0
    return min(slowdown, MAX_SLOWDOWN)
