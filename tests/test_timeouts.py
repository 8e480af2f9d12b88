"""Time limits for silent servers.

Guards against abandoning a server that reads a long prompt: with many
instances, each has only one or two requests at an engine, so that nothing
else arrives from it meanwhile.
"""

import asyncio
import types

import pytest

from arbutuschute import errors
from arbutuschute.policy import quarantine
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
    """Check a hundred times as often, for a clock a hundred times as fast."""
    monkeypatch.setattr(
        timeouts, 'CHECK_PERIOD_S', timeouts.CHECK_PERIOD_S / QuickClock.FACTOR
    )
    monkeypatch.setattr(sending, 'may_retry', lambda *_: True)


async def measure_abandon_s(reading_s, total_s=99.0):
    """Wait for a silent server; return the seconds until it is abandoned."""
    clock = QuickClock()
    request = test_traffic.make_request()
    request.route = types.SimpleNamespace(is_retryable=True)
    server = test_traffic.make_server('s')
    began = clock()
    with pytest.raises(errors.ServerSilent):
        await timeouts.wait_for_task(
            types.SimpleNamespace(
                now=clock, quarantine=quarantine.Quarantine(clock, clock)
            ),
            request, server, asyncio.sleep(99.0),
            timeouts.compute_first_event_limits(total_s, reading_s),
        )  # fmt: skip
    return clock() - began


async def test_unresponsive_server_is_abandoned_soon_for_a_short_prompt(quick):
    abandoned_s = await measure_abandon_s(reading_s=0.02)
    assert abandoned_s >= timeouts.UNRESPONSIVE_AFTER_S


async def test_server_reading_a_long_prompt_is_not_unresponsive(quick):
    reading_s = 1.5
    abandoned_s = await measure_abandon_s(reading_s)
    assert abandoned_s >= timeouts.READING_FACTOR * reading_s


async def test_total_limit_applies_also_to_a_long_prompt(quick):
    assert await measure_abandon_s(1.5, total_s=1.0) < 3.0


@pytest.mark.parametrize('reading_s', [0.0, 0.1, 0.3, 0.5, 1.0, 2.0])
def test_silence_limit_grows_with_the_prompt_and_has_a_minimum(reading_s):
    limit_s = timeouts.compute_first_event_limits(99.0, reading_s).silence_s
    assert limit_s >= max(
        timeouts.UNRESPONSIVE_AFTER_S, timeouts.READING_FACTOR * reading_s
    )
    half = timeouts.compute_first_event_limits(99.0, reading_s / 2)
    assert limit_s >= half.silence_s
