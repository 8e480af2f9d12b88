"""How many requests a cold server may get, from all instances together.

A cold server says how much longer it is slow, in records that all instances
read. Each takes an equal share of what the server tolerates, by the number of
instances alone, so that it needs no reports of the others.
"""

import copy
import math

from arbutuschute.policy import rate_limits

# A request may use a turn for this long. Turns that are saved for longer let
# all instances send in the same moment.
TURN_LIFETIME_S = 0.1
# Instances take their turns independently of each other, so that the turns in
# a second scatter like a Poisson variable. At this distance from the mean, in
# standard deviations, a given second exceeds the bound with a probability of
# 5.1e-5 at most (docs/design/cold-servers.md).
MARGIN_DEVIATIONS = 5.0
# For small rates the scatter isn't normal, and the number of instances is
# known 2 s late while it grows.
MAX_USED_PART = 0.75


def compute_used_rate(per_s, bounds):
    """Return the mean requests a second that keep a server's bound.

    ``bounds`` has ``cold_factor`` and ``cold_slack``: in no second may there
    be more than ``per_s`` times the factor, plus the slack.
    """
    most = per_s * bounds.cold_factor + bounds.cold_slack
    # The mean m for which m + MARGIN_DEVIATIONS * sqrt(m) is the most.
    root = math.sqrt(MARGIN_DEVIATIONS**2 + 4 * most)
    mean = ((root - MARGIN_DEVIATIONS) / 2) ** 2
    used_per_s = min(mean / (1.0 + TURN_LIFETIME_S), MAX_USED_PART * per_s)
    return max(used_per_s, rate_limits.MIN_LIMIT_PER_S)


class ColdLimits:
    """When this instance may send to each cold server.

    ``count_instances(region)`` returns how many instances there are, or more;
    ``find_per_s(pool)`` what a cold server of a pool tolerates in requests a
    second, 0 for any number. A server says whether it is cold by
    ``is_cold(now)``.
    """

    __slots__ = ('_find_per_s', '_limits', '_now', 'bounds')

    def __init__(self, now, name, region, count_instances, find_per_s, bounds):
        self._now = now
        self._find_per_s = find_per_s
        self.bounds = bounds
        self._limits = rate_limits.RateLimits(
            now, name, region, count_instances, TURN_LIFETIME_S
        )

    def copy(self):
        """Return a copy whose turns are reserved apart from these."""
        made = copy.copy(self)
        made._limits = self._limits.copy()
        return made

    def get_wait_s(self, server, pool, region):
        """Return the seconds until a request may be sent to a server.

        0 if it isn't cold, infinite if it is left to other instances.
        """
        if not self._is_limited(server, pool):
            return 0.0
        return self._limits.get_wait_s(server.incarnation, pool, region)

    def reserve(self, server, pool, region):
        """Count a request that is sent after ``get_wait_s``.

        Return whether the server's limit applies to it.
        """
        is_limited = self._is_limited(server, pool)
        if is_limited:
            self._limits.reserve(server.incarnation, pool, region)
        return is_limited

    def _is_limited(self, server, pool):
        """Return whether a server has a limit now, and put it in force.

        The limit of one that is warm again isn't asked for. It is kept for a
        while, so that its turns go on if the server becomes cold again.
        """
        if not server.is_cold(self._now()):
            return False
        per_s = self._find_per_s(pool)
        if per_s <= 0.0:
            return False
        used_per_s = compute_used_rate(per_s, self.bounds)
        self._limits.record(server.incarnation, used_per_s)
        return True
