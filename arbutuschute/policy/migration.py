"""When a stream leaves a slowed server and goes on at another one.

A stream resumes at its exact offset on any server with the same version,
at the price of reading its prompt once more. That is worth it where the
server has become several times slower than its pool, within a budget, so
that a slow pool does not double its own load.
"""

SLOW_FACTOR = 2.0
MOVES_PER_REQUEST = 0.1
BUDGET_MOST = 20.0


class Budget:
    """Moves may be a share of requests."""

    __slots__ = ('_left',)

    def __init__(self):
        self._left = BUDGET_MOST

    def deposit(self):
        """Count a request."""
        self._left = min(BUDGET_MOST, self._left + MOVES_PER_REQUEST)

    def try_spend(self):
        """Tell whether one more move is within the budget."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


def should_leave(server, target, pace):
    """Tell whether a stream does better at ``target`` than at ``server``."""
    if target is None or target is server:
        return False
    slowness = pace.find_factor(server.name)
    return (
        slowness >= SLOW_FACTOR
        and pace.find_factor(target.name) * SLOW_FACTOR <= slowness
    )
