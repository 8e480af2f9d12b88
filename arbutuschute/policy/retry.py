"""Whether a failed attempt is retried, within a budget."""

from arbutuschute import errors

RETRIES_PER_REQUEST = 0.1
MAX_BUDGET = 10.0
MAX_ATTEMPTS = 3
# Attempts beyond the limit of those that count.
MAX_EXCUSED_ATTEMPTS = 4


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


def has_attempts_left(attempts, excused, max_attempts):
    """Return whether a request may be sent once more, by its attempts.

    ``excused`` of them don't count against ``max_attempts``, as they did not
    run or their server has ended.
    """
    return (
        attempts - excused < max_attempts
        and attempts < max_attempts + MAX_EXCUSED_ATTEMPTS
    )


def may_retry(failure, attempts, excused, idempotent, answer_started):
    """Return whether the request may be sent once more.

    ``excused`` counts those of the attempts that certainly did not run.
    Work that must not run twice is retried only if it certainly never ran.
    """
    if answer_started or not has_attempts_left(
        attempts, excused, MAX_ATTEMPTS
    ):
        return False
    return idempotent or failure.ran is errors.Ran.NO
