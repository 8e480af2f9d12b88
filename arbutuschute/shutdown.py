"""Graceful shutdown: which requests are admitted, and how the last ones end.

A request that still runs at the end of the grace period gets a typed failure
that says whether it may have run, not a closed connection.
"""

import asyncio
import contextlib

from arbutuschute import errors


class Shutdown:
    """The requests that run in this process, and whether more may begin."""

    __slots__ = ('_limits', '_name', 'is_admission_closed')

    def __init__(self, name):
        self._name = name
        self._limits = set()
        self.is_admission_closed = False

    def close_admission(self):
        """Admit no more requests."""
        self.is_admission_closed = True

    def end_running(self):
        """End all running requests now, each with a failure."""
        self.is_admission_closed = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)

    @contextlib.asynccontextmanager
    async def run_request(self, get_ran):
        """Run a request in this context.

        ``get_ran()`` returns whether it has run, as far as is known. Raise
        ``Stopping`` if it is refused or ended before that, ``Interrupted`` if
        it is ended later.
        """
        if self.is_admission_closed:
            raise errors.Stopping(self._name)
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                try:
                    yield
                finally:
                    self._limits.discard(limit)
        except TimeoutError:
            if not limit.expired():
                raise
            ran = get_ran()
            if ran is errors.Ran.NO:
                raise errors.Stopping(self._name) from None
            raise errors.Interrupted(self._name).mark_ran(ran) from None
