"""Which servers a request may go to, by the regions that are allowed."""


def intersect(*lists):
    """Return the regions that all lists allow; None if that is anywhere.

    An empty list allows any region, an empty set none.
    """
    given = [frozenset(regions) for regions in lists if regions]
    return frozenset.intersection(*given) if given else None


def get_region(zone, location):
    """Return the region of a zone, None if it isn't known.

    ``location`` is (own zone, own region, regions by zone).
    """
    own_zone, own_region, regions = location
    return own_region if zone == own_zone else regions.get(zone)


def select(servers, regions, find_region):
    """Return the servers in one of ``regions``; None allows all.

    ``find_region(server)`` returns a server's region, None if not known.
    """
    if regions is None:
        return servers
    return [server for server in servers if find_region(server) in regions]
