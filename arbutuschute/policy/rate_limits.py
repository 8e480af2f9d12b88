"""Division of a server's rate limit among the instances that send to it.

A server in need states how many requests a second it accepts from all
instances together. Instances tell each other of such limits and of their
demand. Each computes its own share from the same reports, so that the shares
add up to the limit.
"""

import collections
import copy
import math
import typing

import msgspec

from arbutuschute.zones import rendezvous

# With a smaller share an instance would let callers wait for seconds. Then
# fewer instances share the limit, and the others use other servers.
MIN_SHARE_PER_S = 1.0
# Requests of a share that were not sent may be sent later, at most this many
# seconds of it.
BURST_S = 1.0
# Demand of an instance that has had no requests lately, as it may get some at
# any moment.
MIN_DEMAND_PER_S = 0.1
# All instances have received a report by then. Until then the larger of an
# instance's old and new demand counts for others, and the smaller for itself,
# so that the shares don't add up to more than the limit.
SETTLE_S = 1.0
# Each instance renews its report after this time, or less often if there are
# more instances than this many reports a second allow: all receive each.
MIN_REPORT_PERIOD_S = 4.0
MAX_REPORTS_PER_S = 25.0
# An instance that has not renewed its report for this many periods is gone.
REPORT_LIFETIME_PERIODS = 3
# A statement of a server that hasn't been heard since is dropped.
STATEMENT_LIFETIME_S = 60.0
# Others have been told of the end of a limit by then.
END_LIFETIME_S = 10.0
# Shares are computed again after this time.
SHARES_LIFETIME_S = 0.5
# The rate of requests is that of one to two of these.
DEMAND_PERIOD_S = 4.0
NO_LIMIT = 0.0
# A server that accepts no requests is asked again after this many seconds.
MIN_LIMIT_PER_S = 1 / 60


def parse(text):
    """Return the limit in a header, in requests a second.

    None if there is no header or no usable number in it.
    """
    try:
        per_s = float(text or '')
    except ValueError:
        return None
    if not math.isfinite(per_s):
        return None
    return max(per_s, MIN_LIMIT_PER_S)


_NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class LimitReport(msgspec.Struct, frozen=True, tag='limits'):
    """What one instance has heard of limits, and its demand.

    ``demand`` is in requests a second by pool. ``limits`` maps a server's
    incarnation to (requests a second or ``NO_LIMIT``, age of the statement in
    seconds).
    """

    instance: str
    region: str
    demand: dict[str, _NotNegative] = {}
    limits: dict[str, tuple[_NotNegative, _NotNegative]] = {}

    def make_older(self, seconds):
        """Return this report as of ``seconds`` later."""
        limits = {
            server: (per_s, round(age_s + seconds, 3))
            for server, (per_s, age_s) in self.limits.items()
        }
        return msgspec.structs.replace(self, limits=limits)


class _Reported:
    """The demand in an instance's newest report and in the one before."""

    __slots__ = ('at', 'before', 'report')

    def __init__(self, report, at, known):
        self.report = report
        self.at = at
        self.before = known.report.demand if known is not None else {}

    def list_demand(self, pool, now):
        """Return the new demand, and the old one until all know the new."""
        new = self.report.demand.get(pool, 0.0)
        if now - self.at < SETTLE_S:
            return new, self.before.get(pool, 0.0)
        return new, new


class Demand:
    """Counts requests by pool, for their rate over the last seconds."""

    __slots__ = ('_began_at', '_counts', '_last_counts', '_now')

    def __init__(self, now):
        self._now = now
        self._began_at = now()
        self._counts = collections.Counter()
        self._last_counts = collections.Counter()

    def record(self, pool):
        """Count a request."""
        self._roll()
        self._counts[pool] += 1

    def get_rates(self):
        """Return the requests a second of each pool that has any."""
        self._roll()
        seconds = DEMAND_PERIOD_S + self._now() - self._began_at
        total = self._last_counts + self._counts
        return {
            pool: round(count / seconds, 2) for pool, count in total.items()
        }

    def _roll(self):
        passed_s = self._now() - self._began_at
        if passed_s < DEMAND_PERIOD_S:
            return
        is_recent = passed_s < 2 * DEMAND_PERIOD_S
        self._last_counts = (
            self._counts if is_recent else collections.Counter()
        )
        self._counts = collections.Counter()
        self._began_at += DEMAND_PERIOD_S * int(passed_s / DEMAND_PERIOD_S)


class RateLimits:
    """The limits of servers, and when this instance may send to each.

    Servers are named by their incarnation; a pool is what servers are chosen
    from, such as a service. ``count_instances(region)`` returns how many
    instances are known to run in a region, or in all for None.

    With ``turn_lifetime_s``, a turn that isn't used by then is lost, and the
    first turns of instances are spread over the time between two.
    """

    __slots__ = ('_buckets', '_computed_at', '_count_instances', '_limits',
                 '_name', '_now', '_own', '_region', '_reports', '_shares',
                 '_statements', '_turn_lifetime_s')  # fmt: skip

    def __init__(self, now, name, region, count_instances=lambda region: 0,
                 turn_lifetime_s=None):  # fmt: skip
        self._turn_lifetime_s = turn_lifetime_s
        self._now = now
        self._count_instances = count_instances
        self._name = name
        self._region = region
        # This instance's last report, once the others can know of it.
        self._own = None
        # This instance's statements: server to (limit, time of hearing it).
        self._statements = {}
        # Other instances' reports, with the time of receiving them.
        self._reports = {}
        # Requests that may be sent to each server, and when that was so.
        self._buckets = {}
        # The limits and own shares, computed from the above.
        self._computed_at = float('-inf')
        self._limits = {}
        self._shares = {}

    def copy(self):
        """Return a copy whose turns are reserved apart from these."""
        made = copy.copy(self)
        made._statements = dict(self._statements)
        made._reports = dict(self._reports)
        made._buckets = dict(self._buckets)
        made._limits = dict(self._limits)
        made._shares = dict(self._shares)
        return made

    def record(self, server, per_s):
        """Record the limit in a response, or None for no limit.

        Return whether no instance has told it before.
        """
        known = self._find_limits().get(server)
        if per_s is None and known is None:
            return False
        self._statements[server] = per_s or NO_LIMIT, self._now()
        if known == per_s:
            return False
        self._computed_at = float('-inf')
        return True

    def apply(self, report):
        """Apply a report; return whether it changes the known limits.

        This instance's own report tells that the others can know of it.
        """
        if report.instance == self._name:
            self._own = _Reported(report, self._now(), self._own)
            self._computed_at = float('-inf')
            return False
        before = dict(self._find_limits())
        known = self._reports.get(report.instance)
        self._reports[report.instance] = _Reported(report, self._now(), known)
        self._computed_at = float('-inf')
        return before != self._find_limits()

    @property
    def report_period_s(self):
        """The seconds after which each instance renews its report."""
        return max(MIN_REPORT_PERIOD_S, len(self._reports) / MAX_REPORTS_PER_S)

    def make_report(self, demand):
        """Return the report of this instance; None if it has none to make."""
        now = self._now()
        self._forget_old()
        limits = {
            server: (per_s, round(now - at, 3))
            for server, (per_s, at) in self._statements.items()
        }
        if not limits and not self._find_limits():
            return None
        return LimitReport(self._name, self._region, demand, limits)

    def make_empty_report(self):
        """Return the report of an instance that knows of no limits."""
        return LimitReport(self._name, self._region)

    def list_limits(self):
        """Return the requests a second of each server that has a limit."""
        return dict(self._find_limits())

    def has_limit(self, server):
        """Return whether a server accepts few requests at the moment."""
        return server in self._find_limits()

    def get_wait_s(self, server, pool, region):
        """Return the seconds until the next request may be sent to a server.

        Infinite if other instances share the server's limit.
        """
        if server not in self._find_limits():
            return 0.0
        share = self._get_share(server, pool, region)
        if share <= 0.0:
            return float('inf')
        return max(0.0, 1.0 - self._refill(server, share)) / share

    def reserve(self, server, pool, region):
        """Count a request that is sent after ``get_wait_s``."""
        if server not in self._find_limits():
            return
        share = self._get_share(server, pool, region)
        if share <= 0.0:
            return
        tokens = self._refill(server, share)
        self._buckets[server] = tokens - 1.0, self._now()

    def _refill(self, server, share):
        """Return how many requests may be sent; below 0 if turns are taken."""
        now = self._now()
        if server not in self._buckets:
            self._buckets[server] = self._get_first_tokens(server, share), now
        tokens, at = self._buckets[server]
        tokens = self._limit_tokens(tokens + share * (now - at), share)
        self._buckets[server] = tokens, now
        return tokens

    def _limit_tokens(self, tokens, share):
        if self._turn_lifetime_s is None:
            return min(tokens, 1.0 + share * BURST_S)
        most = 1.0 + share * self._turn_lifetime_s
        return tokens - max(0, math.ceil(tokens - most))

    def _get_first_tokens(self, server, share):
        """Return how much of a turn is saved when a limit is first heard.

        All instances hear of it at about the same time. With small shares
        their turns would come at the same moment again and again.
        """
        if share >= MIN_SHARE_PER_S and self._turn_lifetime_s is None:
            return 1.0
        return rendezvous.hash_to_unit_interval(f'{server}\0{self._name}')

    def _find_limits(self):
        """Return the newest statement on each server that has a limit."""
        now = self._now()
        if now - self._computed_at < SHARES_LIFETIME_S:
            return self._limits
        self._forget_old()
        newest = dict(self._statements)
        for reported in self._reports.values():
            for server, (per_s, age_s) in reported.report.limits.items():
                at = reported.at - age_s
                if server not in newest or at > newest[server][1]:
                    newest[server] = per_s, at
        self._computed_at = now
        self._shares.clear()
        self._limits = {
            server: per_s
            for server, (per_s, _) in newest.items()
            if per_s > NO_LIMIT
        }
        for server in self._buckets.keys() - self._limits.keys():
            del self._buckets[server]
        return self._limits

    def _forget_old(self):
        now = self._now()
        lifetime_s = REPORT_LIFETIME_PERIODS * self.report_period_s
        for name, reported in list(self._reports.items()):
            if now - reported.at > lifetime_s:
                del self._reports[name]
        if self._own is not None and now - self._own.at > lifetime_s:
            self._own = None
        for server, (per_s, at) in list(self._statements.items()):
            lifetime_s = STATEMENT_LIFETIME_S if per_s else END_LIFETIME_S
            if now - at > lifetime_s:
                del self._statements[server]

    def _get_share(self, server, pool, region):
        if server not in self._shares:
            self._shares[server] = self._compute_share(server, pool, region)
        return self._shares[server]

    def _compute_share(self, server, pool, region):
        """Return this instance's part of a limit, in requests a second.

        Instances of the server's region share it, if there are any.
        """
        limit = self._limits[server]
        demand = self._list_demand(pool, region)
        if not demand:
            if self._own is None and self._count_instances(region):
                return 0.0  # Those of the region can't be heard.
            region, demand = None, self._list_demand(pool)
        unheard = max(0, self._count_instances(region) - len(demand))
        if unheard:
            return self._compute_share_beside(limit, demand, unheard)
        count = max(1, int(limit / MIN_SHARE_PER_S))
        names = demand
        if len(demand) > count:
            names = rendezvous.rank(server, demand)[:count]
        if self._name not in names:
            return 0.0
        return limit * demand[self._name] / sum(demand[n] for n in names)

    def _compute_share_beside(self, limit, demand, unheard):
        """Return this instance's part beside instances it can't hear.

        They may not hear it either, so each of them is taken to have as much
        demand as the busiest that is known.
        """
        own = demand.get(self._name, 0.0)
        busiest = max(demand.values())
        return limit * own / (sum(demand.values()) + unheard * busiest)

    def _list_demand(self, pool, region=None):
        """Return the demand on a pool by instance, of one region or all."""
        now = self._now()
        found = {}
        if region in (None, self._region):
            own = min(self._own.list_demand(pool, now)) if self._own else 0.0
            found[self._name] = max(own, MIN_DEMAND_PER_S)
        for name, reported in self._reports.items():
            if region in (None, reported.report.region):
                demand = max(reported.list_demand(pool, now))
                found[name] = max(demand, MIN_DEMAND_PER_S)
        return found
