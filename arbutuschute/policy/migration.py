"""When a stream leaves a slowed server and goes on at another one.

A stream resumes at its exact offset on any server with the same version,
at the price of reading its prompt once more. That is worth it where the
server has become several times slower than its pool, within a budget, so
that a slow pool does not double its own load.
"""

MIN_SLOWDOWN = 2.0
MOVES_PER_REQUEST = 0.1
MAX_BUDGET = 20.0


class Budget:
    """Moves may be a share of requests."""

    __slots__ = ('_left',)

    def __init__(self):
        self._left = MAX_BUDGET

    def deposit(self):
        """Count a request."""
        self._left = min(MAX_BUDGET, self._left + MOVES_PER_REQUEST)

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
    slowness = pace.get_slowdown(server.name)
    return (
        slowness >= MIN_SLOWDOWN
        and pace.get_slowdown(target.name) * MIN_SLOWDOWN <= slowness
    )
