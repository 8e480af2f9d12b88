"""Zones that an operator evacuates: whose servers may get new requests.

Load leaves a zone, and comes back, in a shift of some seconds, so that
servers elsewhere aren't overloaded at once and those that come back are not
flooded. Times are seconds of the clock that is passed in.
"""

import copy

EVACUATE_S = 5.0
# Part of the bound within which load leaves a zone; the rest is for an order
# that is heard late, and for connections that are being made.
SHIFT_SHARE = 0.3
# A shift ends this long before the bound, as an attempt may connect for 0.4 s.
MARGIN_S = 0.5
RETURN_S = 4.0


class _Zone:
    """A zone's position, 1.0 in use and 0.0 empty, during a shift."""

    __slots__ = ('began_at', 'ends_at', 'is_ordered', 'start')

    def __init__(self, start, began_at, ends_at, is_ordered):
        self.start = start
        self.began_at = began_at
        self.ends_at = ends_at
        self.is_ordered = is_ordered

    def get_position(self, now):
        end = 0.0 if self.is_ordered else 1.0
        if now >= self.ends_at:
            return end
        done = (now - self.began_at) / (self.ends_at - self.began_at)
        return self.start + (end - self.start) * done


class Evacuations:
    """The orders in force, and the shifts that they cause.

    After the store was restored from a copy, an order may be missing there
    although it has not ended, or be there although it has. The change that
    follows from the copy is deferred, for the operator to write again.
    """

    __slots__ = ('_deferred', '_ended', '_now', '_zones', 'evacuate_s')

    def __init__(self, now, evacuate_s=EVACUATE_S):
        self._now = now
        # The time from an order until nothing new may reach the zone.
        self.evacuate_s = evacuate_s
        self._zones = {}
        # Zones whose order has ended.
        self._ended = set()
        # Zones whose order begins or ends at a later time, with the time.
        self._deferred = {}

    def copy(self):
        """Return a copy that forgets ended shifts apart from this one."""
        made = copy.copy(self)
        made._zones = dict(self._zones)
        return made

    def is_ordered(self, zone):
        """Return whether an order for the zone is in force."""
        return zone in self._zones and self._zones[zone].is_ordered

    def has_ended(self, zone):
        """Return whether an order was in force before, and none is now."""
        return zone in self._ended

    def order(self, zone, absent_at):
        """Begin to evacuate a zone; return the seconds until it is empty.

        ``absent_at`` is when the order had certainly not been given: the
        bound may run since then. None if the zone is being evacuated.
        """
        self._deferred.pop(zone, None)
        if self.is_ordered(zone):
            return None
        now = self._now()
        latest_at = absent_at + self.evacuate_s - MARGIN_S
        ends_at = min(now + SHIFT_SHARE * self.evacuate_s, latest_at)
        position = self._get_position(zone)
        self._ended.discard(zone)
        self._zones[zone] = _Zone(position, now, ends_at, True)
        return max(0.0, ends_at - now)

    def end(self, zone):
        """Put a zone into service again; return whether it was evacuated."""
        self._deferred.pop(zone, None)
        if not self.is_ordered(zone):
            return False
        now = self._now()
        position = self._get_position(zone)
        ends_at = now + RETURN_S * (1.0 - position)
        self._ended.add(zone)
        self._zones[zone] = _Zone(position, now, ends_at, False)
        return True

    def defer(self, zone, seconds):
        """Change the state of a zone after ``seconds``.

        ``order`` and ``end`` cancel that.
        """
        self._deferred[zone] = self._now() + seconds

    def list_due(self):
        """Return the zones whose deferred change is due."""
        now = self._now()
        return [zone for zone, at in self._deferred.items() if at <= now]

    def list_known(self):
        """Return the zones with an order in force or a deferred change."""
        ordered = {z for z in self._zones if self.is_ordered(z)}
        return ordered | self._deferred.keys()

    def follow(self, zones, absent_at):
        """Make the orders for ``zones`` the only ones.

        Return the zones that are new and those whose order has ended.
        """
        known = {zone for zone in self._zones if self.is_ordered(zone)}
        begun, ended = set(zones) - known, known - set(zones)
        for zone in begun:
            self.order(zone, absent_at)
        for zone in ended:
            self.end(zone)
        return sorted(begun), sorted(ended)

    @property
    def is_shifting(self):
        """Whether a zone may get less than its usual load."""
        return bool(self._zones)

    def get_share(self, zone):
        """Return the share of the choices that may use the zone's servers.

        The square of the position: servers are chosen by load, so a zone
        that did a third of the work goes on doing it while a third of the
        choices may use it. An even share would move all of the load in the
        last third of the shift.
        """
        return self._get_position(zone) ** 2

    def _get_position(self, zone):
        found = self._zones.get(zone)
        if found is None:
            return 1.0
        position = found.get_position(self._now())
        if position >= 1.0 and not found.is_ordered:
            del self._zones[zone]
        return position

    def select(self, servers):
        """Return the servers that are in no empty zone."""
        if not self._zones:
            return servers
        return [s for s in servers if self.get_share(s.instance.zone) > 0.0]

    def thin_out(self, servers, random):
        """Return the servers to choose from, without zones by their share.

        All of them if none would be left.
        """
        if not self._zones:
            return servers
        drawn = {
            zone: random.random() < self.get_share(zone)
            for zone in sorted({server.instance.zone for server in servers})
        }
        return [s for s in servers if drawn[s.instance.zone]] or servers
