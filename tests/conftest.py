import time

import pytest
import pytest_asyncio

from tests import deployment

PAUSE_S = 60.0


@pytest_asyncio.fixture
async def deployed():
    """Yield a deployment with its platform running."""
    async with deployment.Deployment() as made:
        yield made


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that suspends the machine for a minute.

    The clock that timers run on doesn't count that time.
    """
    read = time.clock_gettime
    passed_s = [0.0]

    def read_with_suspend(clock):
        counts = clock == time.CLOCK_BOOTTIME
        return read(clock) + (passed_s[0] if counts else 0.0)

    monkeypatch.setattr(time, 'clock_gettime', read_with_suspend)

    def suspend_machine():
        passed_s[0] += PAUSE_S

    return suspend_machine
