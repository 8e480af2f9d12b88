"""Streams that are slow but sound, and streams that have stalled.

What counts as progress is whole events: bytes now and then are none.
"""

import asyncio

import pytest

from arbutuschute.traffic import timeouts
from tests.platform import conftest
from tests.platform import standin


async def start(world, answers, **route):
    await world.start(answers)
    route = conftest.make_route(
        'slow', 'streaming', resumable=True, timeoutMs=20_000,
        targetLatencyMs=4000, **route,
    )  # fmt: skip
    world.store.put(
        'keyed.op', 'config', conftest.make_configuration(2, [route])
    )
    await conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )


async def read(world, **more):
    async with world.call('/slow/x', deadline_ms=15_000, **more) as response:
        return response.status, await response.read()


def make_events(count):
    return b''.join(
        b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, count + 1)
    )


# A stream whose pauses are as long as its route allows is cut and begun
# again at other servers.
@pytest.mark.parametrize('gap_s', [0.95, 1.15])
async def test_slow_but_sound_stream_stays_at_its_server(world, gap_s):
    assert gap_s > timeouts.UNRESPONSIVE_AFTER_S
    answers = [standin.make_stream(4, gap_s=gap_s)] * 3
    await start(world, answers, gapTargetMs=1000)
    assert await read(world) == (200, make_events(4))
    assert world.count_arrivals() == 1


# The pauses of a stream at a busy server grow beyond what the route allows.
async def test_stream_that_becomes_slower_stays_at_its_server(world):
    async def slow_down(engine, request, body):
        response = standin.web.StreamResponse(
            headers=standin.make_headers(request)
        )
        await response.prepare(request)
        for number, gap_s in enumerate((0.3, 0.6, 1.1, 1.6, 1.6), 1):
            await response.write(b'id: %d\ndata: %d\n\n' % (number, number))
            await asyncio.sleep(gap_s)
        return response

    await start(world, [slow_down] * 3, gapTargetMs=700)
    assert await read(world) == (200, make_events(5))
    assert world.count_arrivals() == 1


# A stream that sends a byte now and then never ends.
async def test_stalled_stream_with_single_bytes_goes_on_elsewhere(world):
    async def trickle(engine, request, body):
        if 'Last-Event-Id' in request.headers:
            return await standin.make_stream(4)(engine, request, body)
        response = standin.web.StreamResponse(
            headers=standin.make_headers(request)
        )
        await response.prepare(request)
        await response.write(make_events(2) + b'id: 3\ndata: ')
        while True:
            await asyncio.sleep(0.1)
            await response.write(b'x')

    await start(world, [trickle] * 2, gapTargetMs=300)
    began = asyncio.get_running_loop().time()
    assert await read(world) == (200, make_events(4))
    assert asyncio.get_running_loop().time() - began < 5.0
    assert world.count_arrivals() == 2
