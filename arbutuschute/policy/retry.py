"""Whether a failed attempt is tried again, so that retries stay few."""

from arbutuschute import errors

RETRIES_PER_REQUEST = 0.1
BUDGET_FLOOR = 10.0
MAX_ATTEMPTS = 3


class Budget:
    """Retries may be a share of requests, with a floor for quiet times."""

    __slots__ = ('_balance',)

    def __init__(self):
        self._balance = BUDGET_FLOOR

    def deposit(self):
        """Count a request."""
        self._balance = min(BUDGET_FLOOR, self._balance + RETRIES_PER_REQUEST)

    def try_spend(self):
        """Return whether one more retry is within the budget."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def may_retry(failure, attempts, idempotent, answer_started):
    """Return whether it is right to send the request once more.

    Work that may run once only goes again only if it surely never ran.
    """
    if attempts >= MAX_ATTEMPTS or answer_started:
        return False
    return idempotent or failure.ran is errors.Ran.NO
