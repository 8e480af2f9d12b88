"""How many instances run, as each of them knows it without asking.

The instance that reads the store for its zone sees its zone peers' queries.
It tells the others how many there are, so that an instance which can't hear
from anyone, as in an outage of the store, still divides what all of them
share.
"""

import typing

import msgspec

# Instances in a zone before any zone's number is known: the planned size of
# 410 instances in 25 zones. A share is then too small rather than too large.
UNKNOWN_ZONE_INSTANCES = 16
# A zone peer queries the reader about once a second; a killed process is back
# within a few seconds.
PEER_MEMORY_S = 10.0
# The addresses of peers are kept for longer: an instance that is started anew
# in an outage of the store has to be found.
ADDRESS_MEMORY_S = 60.0
CHECK_PERIOD_S = 1.0
# Instances that start together are counted together.
GROWTH_SETTLE_S = 2.0
# Instances that were killed or cut off come back. Counting them for too long
# makes shares smaller than they could be, which does no harm.
DECLINE_SETTLE_S = 30.0


class ZoneSize(msgspec.Struct, frozen=True, tag='zone-size'):
    """The number of instances in a zone, as counted by its reader."""

    zone: str
    region: str
    instances: typing.Annotated[int, msgspec.Meta(ge=1)]


class FleetSize:
    """The last known number of instances, by zone.

    ``regions_by_zone`` names the zones of the deployment; ``hears_others()``
    says whether this instance hears what others report at the moment.
    """

    __slots__ = ('_hears_others', '_instances', '_regions')

    def __init__(self, regions_by_zone, hears_others):
        self._regions = dict(regions_by_zone)
        self._hears_others = hears_others
        self._instances = {}

    def apply(self, size):
        """Record the number of a zone's instances."""
        self._regions[size.zone] = size.region
        self._instances[size.zone] = size.instances

    def get(self, zone):
        """Return the known number of a zone's instances, or None."""
        return self._instances.get(zone)

    def count(self, region=None):
        """Return the least number of instances in a region, or of all.

        A zone whose number isn't known counts as much as the largest one.
        Before any is known, an instance that hears the others needs no
        number, as those that report are known to it: 0 is returned.
        """
        if not self._instances and self._hears_others():
            return 0
        largest = max(self._instances.values(), default=UNKNOWN_ZONE_INSTANCES)
        return self._add_up(region, largest)

    def count_cautiously(self, region=None):
        """Return the most instances in a region, or in all, to be expected.

        For shares that nobody reports: a zone whose number isn't known has
        the planned one at least, also while others are heard.
        """
        largest = max(self._instances.values(), default=0)
        return self._add_up(region, max(largest, UNKNOWN_ZONE_INSTANCES))

    def _add_up(self, region, unknown):
        return sum(
            self._instances.get(zone, unknown)
            for zone, of_region in self._regions.items()
            if region in (None, of_region)
        )


class PeerCounter:
    """Counts the zone peers that have sent a query lately."""

    __slots__ = ('_now', '_queried_at')

    def __init__(self, now):
        self._now = now
        self._queried_at = {}

    def record(self, peer):
        """Record a query of a zone peer."""
        self._queried_at.pop(peer, None)
        self._queried_at[peer] = self._now()

    def count(self):
        """Return the number of zone peers."""
        since = self._now() - ADDRESS_MEMORY_S
        self._queried_at = {
            peer: at for peer, at in self._queried_at.items() if at >= since
        }
        return len(self.list_heard(0.0, PEER_MEMORY_S))

    def list_heard(self, min_age_s, max_age_s):
        """Return the peers last heard so long ago, the newest one last."""
        now = self._now()
        return [
            peer
            for peer, at in self._queried_at.items()
            if min_age_s <= now - at <= max_age_s
        ]


class SizeReports:
    """Tells the number of a zone's instances while this one is its reader.

    ``is_reader()`` says whether it is; ``publish(size)`` sends a ``ZoneSize``
    to the other instances.
    """

    __slots__ = ('_fleet_size', '_is_reader', '_peers', '_pending',
                 '_pending_since', '_publish', '_region',
                 '_zone')  # fmt: skip

    def __init__(self, fleet_size, peers, timer, location, is_reader,
                 publish):  # fmt: skip
        self._fleet_size = fleet_size
        self._peers = peers
        self._zone, self._region = location
        self._is_reader = is_reader
        self._publish = publish
        # A number that isn't told yet, and since when it has been so.
        self._pending = None
        self._pending_since = timer.now()
        timer.every(CHECK_PERIOD_S).subscribe(self._check)

    def _check(self, now):
        found = 1 + self._peers.count()
        known = self._fleet_size.get(self._zone)
        if not self._is_reader() or found == known:
            self._pending = None
            return
        if found != self._pending:
            self._pending, self._pending_since = found, now
        grows = known is None or found > known
        settle_s = GROWTH_SETTLE_S if grows else DECLINE_SETTLE_S
        if now - self._pending_since < settle_s:
            return
        size = ZoneSize(self._zone, self._region, found)
        self._fleet_size.apply(size)
        self._publish(size)
