"""Which attempts count against a route's limit, on a stand-in platform.

Pattern: a server crashes, the next ones are gone or full, and nobody asks
further although there is time left and sound servers are idle.
"""

import asyncio
import json
import types

import pytest

from tests.platform import conftest
from tests.platform import standin

GONE = 5


async def call(world, path, deadline_ms=4000):
    async with world.call(path, deadline_ms=deadline_ms) as response:
        return response.status, await response.read()


async def list_gone(world, count):
    """List servers whose addresses refuse connections, and prefer them."""
    directory = world.instance.environment.directory
    for number in range(count):
        engine = standin.Engine(f'gone-{number}')
        engine.address = f'127.0.0.1:{conftest.cluster.find_free_ports(1)[0]}'
        world.list_engine(engine)
    await conftest.wait_for(lambda: len(directory.find('plain')) == count + 1)
    directory.servers['i-0'].failure_rate = 0.9


# Callers get 502 from an instance that has asked three servers which are
# gone, and none of those that are there.
@pytest.mark.parametrize('path', ['/again/x', '/once/x', '/stream/x'])
async def test_servers_that_are_gone_use_up_no_attempts(world, path):
    await world.start([standin.make_stream(2)])
    await list_gone(world, GONE)
    status, _ = await call(world, path)
    assert status == 200
    assert world.count_arrivals() == 1


async def test_full_servers_use_up_no_attempts(world):
    await world.start([standin.refuse_full] * 4 + [standin.answer_ok])
    world.instance.environment.directory.servers['i-4'].failure_rate = 0.9
    assert (await call(world, '/once/x'))[0] == 200


# The limit holds for servers that may have run the request.
async def test_attempts_that_may_have_run_are_limited(world):
    await world.start([standin.reset] * 6)
    status, body = await call(world, '/again/x')
    assert status == 502
    assert json.loads(body)['ran'] == 'unknown'
    assert world.count_arrivals() == 3


# Requests for which all servers are full don't go round them for ever.
async def test_attempts_that_did_not_run_are_limited_as_well(world):
    await world.start([standin.refuse_full] * 12)
    status, body = await call(world, '/stream/x')
    assert status == 503
    assert json.loads(body)['ran'] == 'no'
    assert world.count_arrivals() <= 7


# The first servers fall silent and end; the last one is never asked.
async def test_server_that_has_ended_silently_uses_up_no_attempt(world):
    async def end_silently(engine, request, body):
        (site,) = engine.runner.sites
        await site.stop()
        await asyncio.sleep(60)
        return standin.web.Response()

    await world.start([end_silently] * 4 + [standin.make_stream(2)])
    world.instance.environment.directory.servers['i-4'].failure_rate = 0.99
    route = conftest.make_route('long', 'streaming', resumable=True,
                                timeoutMs=20_000)  # fmt: skip
    world.store.put(
        'keyed.op', 'config', conftest.make_configuration(2, [route])
    )
    await conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )
    status, _ = await call(world, '/long/x', 15_000)
    assert status == 200
    assert world.count_arrivals() == 5


# Clients repeat a booking only if they are told that it has not run.
async def test_request_that_reached_no_server_is_said_not_to_have_run(world):
    await world.start(())
    engine = standin.Engine('gone')
    (port,) = conftest.cluster.find_free_ports(1)
    engine.address = f'127.0.0.1:{port}'
    world.list_engine(engine)
    directory = world.instance.environment.directory
    await conftest.wait_for(lambda: directory.find('plain'))
    status, body = await call(world, '/once/x')
    assert (status, json.loads(body)['ran']) == (503, 'no')


# Attempts that reached no server are no repeats for the service.
async def test_retry_budget_is_not_charged_for_servers_that_are_gone(world):
    await world.start([standin.make_stream(2)])
    await list_gone(world, GONE)
    world.instance.environment.retry_budget = types.SimpleNamespace(
        record_request=lambda service: None, try_spend=lambda service: False
    )
    assert (await call(world, '/again/x'))[0] == 200
