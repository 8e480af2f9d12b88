"""Servers that are silent or slow to report while they work.

Guards against beginning their work elsewhere, or giving it up, as long as
their answer can still come.
"""

import asyncio

import pytest

from tests.platform import conftest
from tests.platform import standin

WORK_S = 1.5


async def work(engine, request, body):
    await asyncio.sleep(WORK_S)
    return await standin.answer_ok(engine, request, body)


async def stream(engine, request, body):
    answer = standin.make_stream(4, gap_s=WORK_S / 4)
    return await answer(engine, request, body)


async def call(world, path):
    async with world.call(path, deadline_ms=8000) as response:
        return response.status, await response.read()


async def run_while(world, path, disturb):
    """Return the answer to a request; disturb its server meanwhile."""
    calling = asyncio.ensure_future(call(world, path))
    await conftest.wait_for(lambda: world.count_arrivals() == 1)
    disturb()
    return await calling


def list_lapse(world):
    """The entries of servers that don't report lapse."""
    for name in world.engines:
        world.store.put('keyed.servers', name, None)


def lose_store(world):
    world.store.fault = 'silent'


def list_other_state(world):
    for engine in world.engines.values():
        world.list_engine(engine, sequence=2, state='draining')


# A booking is made twice, since its server did not report for a while.
@pytest.mark.parametrize('disturb', [list_lapse, lose_store, list_other_state])
async def test_work_that_may_run_once_ends_at_its_server(world, disturb):
    await world.start([work] * 2)
    status, _ = await run_while(world, '/once/x', lambda: disturb(world))
    assert status == 200
    assert world.count_arrivals() == 1


# A stream breaks off, or runs at two servers, for the same reason.
@pytest.mark.parametrize('disturb', [list_lapse, lose_store, list_other_state])
async def test_stream_goes_on_at_its_server(world, disturb):
    await world.start([stream] * 2)
    status, body = await run_while(world, '/stream/x', lambda: disturb(world))
    assert status == 200
    assert body.count(b'data: ') == 4
    assert world.count_arrivals() == 1


# A server says nothing for longer than any limit on its silence.
async def test_silence_starts_work_that_may_run_once_nowhere_else(world):
    async def work_long(engine, request, body):
        await asyncio.sleep(3 * WORK_S)
        return await standin.answer_ok(engine, request, body)

    await world.start([work_long] * 2)
    world.store.put('keyed.op', 'config', conftest.make_configuration(2, [
        conftest.make_route('long', 'non_idempotent', timeoutMs=8000)
    ]))  # fmt: skip
    await conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )
    assert (await call(world, '/long/x'))[0] == 200
    assert world.count_arrivals() == 1
