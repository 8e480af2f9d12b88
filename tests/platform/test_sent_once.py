"""Requests reach as many servers as their route's kind allows, not more.

Guards against repeats by the HTTP client, which go by the method: engines run
a request and lose its response.
"""

from aiohttp import web
import pytest
from returns import result

from arbutuschute import errors
from arbutuschute.platform import store
from tests.platform import standin
from tests import test_large_records

METHODS = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST']
MAX_ATTEMPTS = 3


async def call(world, path, method):
    async with world.call(path, method) as response:
        await response.read()
        return response.status


@pytest.mark.parametrize('method', METHODS)
async def test_request_that_may_run_once_is_sent_once(world, method):
    await world.start([standin.reset] * 2)
    assert await call(world, '/once/x', method) == 502
    assert world.count_arrivals() == 1


@pytest.mark.parametrize('method', METHODS)
async def test_repeats_count_as_attempts(world, method):
    await world.start([standin.reset] * 8)
    assert await call(world, '/again/x', method) == 502
    assert world.count_arrivals() == MAX_ATTEMPTS


# The engine crashes with the request: its second sending was refused, which
# looked like a request that had reached no engine.
@pytest.mark.parametrize('method', METHODS)
async def test_request_at_a_crash_is_not_sent_elsewhere(world, method):
    crashing = standin.make_crashing('', sends_head=False, down_s=1.0)

    async def crash(engine, request, body):
        headers = request.headers.copy()
        headers['Arbutuschute-Prompt-Prefix'] = ':'
        return await crashing(engine, request.clone(headers=headers), body)

    await world.start([crash, crash])
    assert await call(world, '/once/x', method) == 502
    assert world.count_arrivals() == 1


# The library's repeats are off for the store, too; a read may be repeated.
@pytest.mark.parametrize('lost, expected', [(1, 200), (2, None)])
async def test_read_of_the_store_is_repeated_once(lost, expected):
    seen, answer = await call_store(lost, lambda found: found.read('t', 0))
    assert isinstance(answer, result.Success) is bool(expected)
    assert seen == ['GET', 'GET']


async def test_append_to_the_store_is_not_repeated():
    seen, answer = await call_store(1, lambda found: found.put('t', 'k', b''))
    assert isinstance(answer.failure(), errors.StoreDown)
    assert seen == ['POST']


async def call_store(lost, call):
    """Call a store that loses responses; return (methods, the result)."""
    seen = []

    async def handle(request):
        seen.append(request.method)
        if len(seen) <= lost:
            request.transport.abort()
        return web.Response(body=bytes(16))

    async with test_large_records.serve(handle) as (session, address):
        return seen, await call(store.Store(session, address))
