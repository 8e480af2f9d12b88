"""Whether a failed attempt is retried, within a budget."""

from arbutuschute import errors

RETRIES_PER_REQUEST = 0.1
MAX_BUDGET = 10.0
MAX_ATTEMPTS = 3


class Budget:
    """A budget of retries as a share of requests.

    It starts full, so that retries are possible at low rates.
    """

    __slots__ = ('_balance',)

    def __init__(self):
        self._balance = MAX_BUDGET

    def deposit(self):
        """Add a request's share to the budget."""
        self._balance = min(MAX_BUDGET, self._balance + RETRIES_PER_REQUEST)

    def try_spend(self):
        """Spend one retry; return False if the budget is used up."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def may_retry(failure, attempts, idempotent, answer_started):
    """Return whether the request may be sent once more.

    Work that must not run twice is retried only if it certainly never ran.
    """
    if attempts >= MAX_ATTEMPTS or answer_started:
        return False
    return idempotent or failure.ran is errors.Ran.NO
