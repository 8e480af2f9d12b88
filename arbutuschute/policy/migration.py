"""When a stream migrates from a slowed server to another one.

A stream resumes at its exact offset on any server with the same version,
which reads the prompt once more. That pays off where the first server is
several times slower than its pool. A budget keeps a slow pool from
doubling its own load.
"""

# Streams migrate from a server that is this much slower than its pool's median
# and than the target.
MIN_SLOWDOWN = 2.0
MIGRATIONS_PER_REQUEST = 0.1
MAX_BUDGET = 20.0


class Budget:
    """A budget of migrations as a share of requests."""

    __slots__ = ('_balance',)

    def __init__(self):
        self._balance = MAX_BUDGET

    def deposit(self):
        """Add a request's share to the budget."""
        self._balance = min(MAX_BUDGET, self._balance + MIGRATIONS_PER_REQUEST)

    def try_spend(self):
        """Spend one migration; return False if the budget is used up."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def should_leave(server, target, pace):
    """Return whether a stream should move from ``server`` to ``target``."""
    if target is None or target is server:
        return False
    slowdown = pace.get_slowdown(server.name)
    return (
        slowdown >= MIN_SLOWDOWN
        and pace.get_slowdown(target.name) * MIN_SLOWDOWN <= slowdown
    )
