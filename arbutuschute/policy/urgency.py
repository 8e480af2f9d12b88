"""How urgent a request is to a backend server, from the ranks it has.

A server admits more urgent requests first, and they preempt others. It counts
ten levels; the ranks of organisations and routes are any numbers.
"""

import bisect

MOST_URGENT = 0
LEAST_URGENT = 9


def rank(route, organisation):
    """Return a value that is lower for more urgent requests.

    The organisation's priority goes before that of the route.
    """
    if organisation is None:
        return route.priority, route.priority
    return organisation.priority, route.priority


class UrgencyLevels:
    """The level of each rank that occurs in a configuration.

    Ranks are levelled by their order, so that all of them are told apart if
    there are ten or fewer. All instances find the same levels.
    """

    __slots__ = ('_ranks',)

    def __init__(self, routes, organisations):
        groups = [*(organisations or ()), None]
        self._ranks = sorted(
            {rank(route, group) for route in routes for group in groups}
        )

    def find(self, route, organisation):
        """Return the level of a request, None if all are equally urgent."""
        if len(self._ranks) < 2:
            return None
        position = bisect.bisect_left(self._ranks, rank(route, organisation))
        highest = len(self._ranks) - 1
        position = min(position, highest)
        if highest <= LEAST_URGENT:
            return position
        return position * LEAST_URGENT // highest
