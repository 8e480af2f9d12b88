"""A process that was paused, or a request that waited, on the platform.

Guards against acting on a lease, a key, a deadline or a position that ran
out meanwhile.
"""

import asyncio
import json

import pytest

from tests.platform import conftest
from tests.platform import standin


async def call(world, path, **more):
    async with world.call(path, **more) as response:
        return response.status, await response.read()


def make_late_failure(gate):
    """Return a handler that fails once the event ``gate`` is set."""

    async def answer(engine, request, body):
        await gate.wait()
        return await standin.answer_error(engine, request, body)

    return answer


def revoke_key(world):
    world.store.put(
        'keyed.op', 'config', conftest.make_configuration(2, keys=['another'])
    )
    return conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )


# A request with a key that was revoked while it waited runs all the same.
@pytest.mark.parametrize('path', ['/again/x', '/stream/x'])
async def test_key_that_was_revoked_meanwhile_sends_no_further_attempt(
    world, path
):
    gate = asyncio.Event()
    await world.start([make_late_failure(gate)] * 3)
    calling = asyncio.ensure_future(call(world, path))
    await conftest.wait_for(lambda: world.count_arrivals() == 1)
    await revoke_key(world)
    gate.set()
    status, _ = await calling
    assert world.count_arrivals() == 1
    assert status in (401, 500)


# A stream under way is broken off beside a change of the configuration.
async def test_stream_that_has_begun_goes_on_after_its_key_was_revoked(world):
    gate = asyncio.Event()
    breaking = standin.make_stream(4, break_after=3)

    async def break_late(engine, request, body):
        if 'Last-Event-Id' not in request.headers:
            response = standin.web.StreamResponse(
                headers=standin.make_headers(request)
            )
            await response.prepare(request)
            await response.write(b'id: 1\ndata: 1\n\n')
            await gate.wait()
            request.transport.abort()
            return response
        return await breaking(engine, request, body)

    await world.start([break_late] * 2)
    calling = asyncio.ensure_future(call(world, '/stream/x'))
    await conftest.wait_for(lambda: world.count_arrivals() == 1)
    await asyncio.sleep(0.1)
    await revoke_key(world)
    gate.set()
    status, body = await calling
    assert status == 200
    assert body.count(b'data: ') == 4


# A request that waited for its turn at a server runs with a revoked key.
async def test_key_that_was_revoked_before_the_turn_runs_nothing(world):
    async def answer(engine, request, body):
        headers = standin.make_headers(request, **{'Server-Limit': '2'})
        return standin.web.Response(body=b'done', headers=headers)

    await world.start([answer])
    await call(world, '/again/x')
    calls = [asyncio.ensure_future(call(world, '/again/x')) for _ in range(2)]
    await asyncio.sleep(0.02)
    before = world.count_arrivals()
    table = world.instance.environment.table
    table._by_key.clear()
    table._by_key['another'] = None
    table.version += 1
    statuses = {status for status, _ in await asyncio.gather(*calls)}
    assert statuses <= {200, 401, 503}
    assert world.count_arrivals() == before


# An instance that was suspended serves with a configuration that may be out
# of date by now, and sends requests whose deadline has passed.
async def test_suspended_instance_sends_nothing_that_has_run_out(
    world, suspend
):
    gate = asyncio.Event()
    await world.start([make_late_failure(gate)] * 3)
    calling = asyncio.ensure_future(call(world, '/again/x'))
    await conftest.wait_for(lambda: world.count_arrivals() == 1)
    world.store.fault = 'busy'
    suspend()
    gate.set()
    assert (await calling)[0] in (500, 504)
    status, body = await call(world, '/again/y')
    assert (status, json.loads(body)['code']) == (503, 'cut-off')
    assert world.count_arrivals() == 1
