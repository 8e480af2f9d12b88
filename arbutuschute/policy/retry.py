"""Whether a failed attempt is tried again, so that retries stay few."""

from arbutuschute import errors

RETRIES_PER_REQUEST = 0.1
BUDGET_FLOOR = 10.0
MAX_ATTEMPTS = 3


class Budget:
    """Retries may be a share of requests, with a floor for quiet times."""

    __slots__ = ('_left',)

    def __init__(self):
        self._left = BUDGET_FLOOR

    def deposit(self):
        """Count a request."""
        self._left = min(BUDGET_FLOOR, self._left + RETRIES_PER_REQUEST)

    def try_spend(self):
        """Tell whether one more retry is within the budget."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


def may_retry(failure, attempts, idempotent, answer_started):
    """Tell whether it is right to send the request once more.

    Work that may run once only goes again only if it surely never ran.
    """
    if attempts >= MAX_ATTEMPTS or answer_started:
        return False
    return idempotent or failure.ran is errors.Ran.NO
