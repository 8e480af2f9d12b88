"""How slow each backend server is, relative to the others of its pool.

A server slowed by other work on its machine keeps accepting requests, and
its load report shows the slowdown late. The time between tokens shows it
early. It is summed over all requests of an instance and, with the sums
that peers export, over all instances.
"""

import math
import statistics

HALF_LIFE_S = 2.0
# Tokens at the median's pace that are added to those of each server.
PRIOR_TOKENS = 20.0
MAX_SLOWDOWN = 20.0
# Slowdowns below this count as 1.
TOLERATED_SLOWDOWN = 1.3


class Sums:
    """Decaying sums of seconds and tokens for one server."""

    __slots__ = ('at', 'seconds', 'tokens')

    def __init__(self):
        self.seconds = 0.0
        self.tokens = 0.0
        self.at = 0.0

    def decay(self, now):
        """Reduce the weight of older observations."""
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
    """Own and peers' observations, and the slowdowns computed from them."""

    __slots__ = ('_own', '_peers', '_slowdowns')

    def __init__(self):
        self._own = {}
        self._peers = {}
        self._slowdowns = {}

    def observe(self, server, seconds, tokens, now):
        """Record that a server took ``seconds`` for ``tokens`` tokens."""
        sums = self._own.get(server)
        if sums is None:
            sums = self._own[server] = Sums()
        sums.add(seconds, tokens, now)

    def export(self, now):
        """Return the own sums as (server, seconds, tokens) for peers."""
        exported = []
        for server, sums in self._own.items():
            sums.decay(now)
            if sums.tokens > 0.5:
                exported.append((server, sums.seconds, sums.tokens))
        return tuple(exported)

    def merge_peer(self, peer, exported, now):
        """Replace the sums of a peer; they decay from now on."""
        received = {}
        for server, seconds, tokens in exported:
            sums = received[server] = Sums()
            sums.add(seconds, tokens, now)
        self._peers[peer] = received

    def update(self, now):
        """Recompute the slowdowns against the pool's median."""
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
        """Return a server's slowdown against the median, at least 1."""
        return self._slowdowns.get(server, 1.0)


class Paces:
    """One ``Pace`` for each pool, as versions differ in pace."""

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
        """Recompute the slowdowns of all pools."""
        for pace in self._by_pool.values():
            pace.update(now)


def _compute_slowdown(seconds, tokens, median):
    """Return a slowdown, shrunk towards 1 where few tokens were seen."""
    prior_s = PRIOR_TOKENS * median
    slowdown = (seconds + prior_s) / (tokens * median + prior_s)
    if slowdown < TOLERATED_SLOWDOWN:
        return 1.0
    return min(slowdown, MAX_SLOWDOWN)
