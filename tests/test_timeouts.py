"""How long a silent server is waited for.

The load: many instances, each with one or two requests at an engine at a
time, so that nothing else is heard from it while it reads a long prompt.
"""

import asyncio
import types

import pytest

from arbutuschute import errors
from arbutuschute.traffic import sending
from arbutuschute.traffic import timeouts
from tests import test_traffic


class QuickClock:
    """Seconds of a loop whose sleeps take a hundredth of their time."""

    FACTOR = 100.0

    def __init__(self):
        self._began = asyncio.get_running_loop().time()

    def __call__(self):
        passed_s = asyncio.get_running_loop().time() - self._began
        return self.FACTOR * passed_s


@pytest.fixture
def quick(monkeypatch):
    """Check a hundred times as often, on a clock that runs as fast."""
    monkeypatch.setattr(
        timeouts, 'CHECK_PERIOD_S', timeouts.CHECK_PERIOD_S / QuickClock.FACTOR
    )
    monkeypatch.setattr(sending, 'may_retry', lambda *_: True)


async def wait_in_vain(reading_s, patience_s=99.0):
    """Wait for a server that says nothing; return when it is left."""
    clock = QuickClock()
    request = test_traffic.make_request()
    request.route = types.SimpleNamespace(is_retryable=True)
    server = test_traffic.make_server('s')
    began = clock()
    with pytest.raises(errors.ServerSilent):
        await timeouts.wait_for_task(
            types.SimpleNamespace(now=clock), request, server,
            asyncio.sleep(99.0),
            timeouts.compute_first_event_limits(patience_s, reading_s),
        )  # fmt: skip
    return clock() - began


async def test_dark_server_is_left_soon_where_the_prompt_is_short(quick):
    left_after_s = await wait_in_vain(reading_s=0.02)
    assert left_after_s >= timeouts.UNRESPONSIVE_AFTER_S


async def test_server_that_reads_a_long_prompt_is_not_taken_for_dark(quick):
    reading_s = 1.5
    left_after_s = await wait_in_vain(reading_s)
    assert left_after_s >= timeouts.READING_FACTOR * reading_s


async def test_patience_ends_also_where_a_long_prompt_is_read(quick):
    assert await wait_in_vain(1.5, patience_s=1.0) < 3.0


@pytest.mark.parametrize('reading_s', [0.0, 0.1, 0.3, 0.5, 1.0, 2.0])
def test_limit_grows_with_the_prompt_and_never_falls_short(reading_s):
    limit_s = timeouts.compute_first_event_limits(99.0, reading_s).silence_s
    assert limit_s >= max(
        timeouts.UNRESPONSIVE_AFTER_S, timeouts.READING_FACTOR * reading_s
    )
    half = timeouts.compute_first_event_limits(99.0, reading_s / 2)
    assert limit_s >= half.silence_s
