"""Retries of one instance's topics while the store is unavailable."""

import asyncio

# Spreads the retries of instances that lost the store at the same moment.
SPREAD = (0.75, 1.0)
# After a call that has waited for a silent store for longer than a pause.
MIN_PAUSE_S = 0.1


class Retries:
    """Lets the failing topics of an instance take turns.

    Together they retry about once in a period, however many there are. As
    soon as one of them can be read, all others are retried at once.
    """

    __slots__ = ('_last_turn_at', '_random', '_readable', '_readable_at',
                 '_timer', 'is_failing')  # fmt: skip

    def __init__(self, timer, random):
        self._timer = timer
        self._random = random
        self._readable = asyncio.Event()
        # When the last turn that is given away begins.
        self._last_turn_at = float('-inf')
        # When records were last found to be readable again.
        self._readable_at = float('-inf')
        # Whether the newest call to the store failed.
        self.is_failing = False

    def record_failure(self):
        """Record that a call to the store failed."""
        self.is_failing = True

    def record_success(self):
        """Record that a call to the store succeeded."""
        self.is_failing = False
        self.end_pauses()

    def end_pauses(self):
        """Retry all topics now: records can be read again."""
        self._readable_at = self._timer.now()
        self._last_turn_at = float('-inf')
        readable, self._readable = self._readable, asyncio.Event()
        readable.set()

    def spread(self, pause_s):
        """Return a random pause, ``pause_s`` at most."""
        return pause_s * self._random.uniform(*SPREAD)

    async def wait(self, period_s, tried_at, takes_turns=True):
        """Wait for a topic's turn, or until records can be read.

        ``tried_at`` is when the read that failed began. Without turns each
        topic is retried once in the period.
        """
        if self._readable_at > tried_at:
            return
        turn_at = tried_at + self.spread(period_s)
        if takes_turns:
            turn_at += max(0.0, self._last_turn_at - tried_at)
            self._last_turn_at = turn_at
        pause_s = max(turn_at - self._timer.now(), MIN_PAUSE_S)
        await wait_for_any(self._timer, pause_s, (self._readable,))


async def wait_for_any(timer, seconds, events):
    """Wait until one of ``events`` is set, ``seconds`` at most."""
    waiting = [asyncio.ensure_future(timer.sleep(seconds))]
    waiting += [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in waiting:
            task.cancel()
