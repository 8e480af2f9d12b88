"""Which routers are alive, by the platform's list and by heartbeats.

The list lags behind the routers' real state.
"""

import enum

import msgspec

from arbutuschute.zones import rendezvous

DEAD_AFTER_SUSPECT_PERIODS = 3.0
UNKNOWN_AFTER_SUSPECT_PERIODS = 5.0
RELAYS_PER_ZONE = 2


class Liveness(enum.Enum):
    """Whether a member is alive, by the time since its last heartbeat."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class Member(msgspec.Struct):
    """A router as its heartbeats describe it.

    ``sent_at`` is on the sender's clock, the other times on ours:
    ``stated_at`` is our own send time that the last heartbeat echoed.
    """

    name: str
    zone: str
    region: str
    incarnation: int = 0
    last_incarnation: int = 0
    state: str = 'live'
    last_heard_at: float = float('-inf')
    sent_at: float | None = None
    stated_at: float | None = None
    offset: int = -1
    confirmed_age_s: float | None = None
    store_down: bool = False
    in_flight: int = 0


class Membership:
    """Members by name; the own instance is not among them."""

    __slots__ = (
        '_dead',
        '_neighbours',
        'members',
        'own_name',
        'region',
        'suspect_s',
        'zone',
    )

    def __init__(self, own_name, zone, region, suspect_s):
        self.own_name = own_name
        self.zone = zone
        self.region = region
        self.suspect_s = suspect_s
        self.members = {}
        self._dead = []
        self._neighbours = None

    def update_listed(self, instances):
        """Add the members on the platform's list; return its entries by name.

        A member that left the list stays until it falls silent: the list
        lags, and a peer that sends heartbeats is alive.
        """
        listed = {entry.name: entry for entry in instances}
        listed.pop(self.own_name, None)
        for name, entry in listed.items():
            member = self.members.get(name)
            if member is None:
                self.members[name] = Member(name, entry.zone, entry.region)
                self._neighbours = None
        return listed

    def remove_unlisted(self, listed, now):
        """Remove members that are neither listed nor live."""
        for name, member in list(self.members.items()):
            if (
                name not in listed
                and self.get_liveness(member, now) != Liveness.LIVE
            ):
                self._mark_dead(member)
                del self.members[name]
                self._neighbours = None

    def handle_heartbeat(self, heartbeat, now):
        """Update the sender; ignore older heartbeats and incarnations."""
        member = self.members.get(heartbeat.sender)
        if member is None:
            member = Member(heartbeat.sender, heartbeat.zone, heartbeat.region)
            self.members[heartbeat.sender] = member
            self._neighbours = None
        if heartbeat.incarnation < member.incarnation:
            return
        if heartbeat.incarnation > member.incarnation:
            self._mark_dead(member)
            member.incarnation = heartbeat.incarnation
            member.last_incarnation = heartbeat.incarnation
            member.sent_at = None
            member.stated_at = None
        if member.sent_at is not None and heartbeat.sent_at < member.sent_at:
            return
        member.last_heard_at = now
        member.sent_at = heartbeat.sent_at
        member.state = heartbeat.state
        member.offset = heartbeat.offset
        member.confirmed_age_s = heartbeat.confirmed_age_s
        member.store_down = heartbeat.store_down
        member.stated_at = heartbeat.echo
        member.in_flight = heartbeat.in_flight

    @property
    def dead_s(self):
        """Seconds of silence after which a member counts as dead."""
        return self.suspect_s * DEAD_AFTER_SUSPECT_PERIODS

    def get_liveness(self, member, now):
        """Return the member's ``Liveness``."""
        silent_s = now - member.last_heard_at
        if silent_s <= self.suspect_s:
            return Liveness.LIVE
        if silent_s <= self.dead_s:
            return Liveness.SUSPECT
        return Liveness.DEAD

    def find_live(self, now):
        """Return the live members."""
        return [
            member
            for member in self.members.values()
            if self.get_liveness(member, now) is Liveness.LIVE
        ]

    def find_silent(self, now):
        """Return the sorted names of neighbours that are not live."""
        return sorted(
            member.name
            for member in self.find_neighbours()
            if self.get_liveness(member, now) is not Liveness.LIVE
        )

    def pop_dead(self, now):
        """Return (name, incarnation) pairs of dead members, each pair once.

        An incarnation is dead after long silence, when a newer one appears
        or when an unlisted member is removed.
        """
        for member in self.members.values():
            if (
                member.incarnation
                and self.get_liveness(member, now) is Liveness.DEAD
            ):
                self._mark_dead(member)
        dead, self._dead = self._dead, []
        return dead

    def _mark_dead(self, member):
        if member.incarnation:
            self._dead.append((member.name, member.incarnation))
            member.incarnation = 0

    def rank_replicas(self, now):
        """Return peers' names in order of preference as holders of our bills.

        Peers in other zones of the own region come first: they survive the
        loss of our zone and answer without crossing the region link. Silent
        peers come last: a slow replica holder is better than none, and only
        its acknowledgement counts.
        """

        def distance(member):
            if member.region != self.region:
                return 2
            return 1 if member.zone == self.zone else 0

        usable = {member.name for member in self._find_usable(now)}
        staying = {
            member.name: member
            for member in self.members.values()
            if member.state == 'live'
        }
        ranked = rendezvous.rank(self.own_name, staying)
        ranked.sort(
            key=lambda name: (name not in usable, distance(staying[name]))
        )
        return ranked

    def is_in_other_zone(self, name):
        """Return whether a member is known and in another zone."""
        member = self.members.get(name)
        return member is not None and member.zone != self.zone

    def _find_usable(self, now):
        """Return the members that requests may be sent to.

        A member that isn't a neighbour sends us no heartbeats, so its long
        silence means nothing: it counts as usable while it is listed. A
        caller that gets no response tries the next one.
        """
        neighbours = {member.name for member in self.find_neighbours()}
        unknown_s = self.suspect_s * UNKNOWN_AFTER_SUSPECT_PERIODS
        return [
            member
            for member in self.members.values()
            if member.state == 'live'
            and (
                self.get_liveness(member, now) is Liveness.LIVE
                or (
                    member.name not in neighbours
                    and now - member.last_heard_at > unknown_s
                )
            )
        ]

    def count_known(self, region=None):
        """Return the number of known instances in a region, or of all.

        This one and silent ones are among them.
        """
        return (region in (None, self.region)) + sum(
            region in (None, member.region) for member in self.members.values()
        )

    def count_live(self, region):
        """Return the number of live members in a region, without ourselves."""
        return sum(
            member.region == region and member.state == 'live'
            for member in self.members.values()
        )

    def is_unheard(self, name):
        """Return whether a member was never heard from, or is marked dead."""
        member = self.members.get(name)
        return member is None or not member.incarnation

    def is_restarted(self, heartbeat):
        """Return whether a heartbeat shows a newer incarnation of a member."""
        member = self.members.get(heartbeat.sender)
        known = member.last_incarnation if member else 0
        return 0 < known < heartbeat.incarnation

    def find_relays(self):
        """Return the names of each zone's relays, by zone.

        Every router computes them from the same list. A silent relay is
        replaced when the list drops it; until then the zone's other relay
        does the work.
        """
        zones = {self.zone: [self.own_name]}
        for member in self.members.values():
            zones.setdefault(member.zone, []).append(member.name)
        return {
            zone: rendezvous.rank(zone, names)[:RELAYS_PER_ZONE]
            for zone, names in zones.items()
        }

    def find_neighbours(self):
        """Return the members that we exchange heartbeats with.

        These are all members in our zone and, if we are one of its relays,
        the relays of the other zones. A relay's own heartbeats carry what
        it learned to its zone.
        """
        if self._neighbours is None:
            self._neighbours = self._choose_neighbours()
        return self._neighbours

    def _choose_neighbours(self):
        relays = self.find_relays()
        wanted = {
            name
            for name, member in self.members.items()
            if member.zone == self.zone
        }
        if self.own_name in relays[self.zone]:
            for names in relays.values():
                wanted.update(names)
        wanted.discard(self.own_name)
        return [self.members[name] for name in sorted(wanted)]

    def rank_owners(self, key, now):
        """Return routers' names, our own included, by rank for ``key``."""
        names = [member.name for member in self._find_usable(now)]
        return rendezvous.rank(key, [*names, self.own_name])
