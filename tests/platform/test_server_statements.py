"""Servers that state in their responses that they leave or want a pause."""

import asyncio
import json

import pytest

from tests.platform import conftest
from tests.platform import standin

LEAVING = {'Server-Leaving': '1'}
HOLD_S = 1.2
# A request is answered within a few milliseconds.
SLACK_S = 0.1


def answer_with(**headers):
    async def answer(engine, request, body):
        return standin.web.Response(
            body=b'done', headers=standin.make_headers(request, **headers)
        )

    return answer


def refuse_with(status, **headers):
    async def refuse(engine, request, body):
        return standin.web.Response(
            status=status,
            headers={'Arbutuschute-Not-Executed': '1', **headers},
        )

    return refuse


async def send(world, number=0, path='/again/x'):
    headers = {'Arbutuschute-Attempt-Id': f'r-{number}'}
    async with world.call(path, headers=headers) as response:
        response.document = await response.read()
        return response


def count(world, name):
    return len(world.engines[name].seen)


async def send_until_reached(world, name):
    for number in range(60):
        await send(world, number)
        if count(world, name):
            return
    raise AssertionError(f'{name} not reached')


# Guards against sending a server requests until its entry says that it leaves.
@pytest.mark.parametrize(
    'answer',
    [
        answer_with(**LEAVING),
        refuse_with(503, **LEAVING),
        refuse_with(429, **LEAVING),
    ],
)
async def test_server_that_states_its_leaving_gets_no_more_requests(
    world, answer
):
    await world.start([answer, standin.answer_ok])
    await send_until_reached(world, 'i-0')
    for number in range(12):
        assert (await send(world, number)).status == 200
    assert count(world, 'i-0') == 1
    # Its entry may come late, and says that it is ready.
    world.list_engine(world.engines['i-0'], sequence=2)
    directory = world.instance.environment.directory
    await asyncio.sleep(0.1)
    assert directory.servers['i-0'].leaving
    world.engines['i-0'].answer = standin.answer_ok
    world.list_engine(world.engines['i-0'], born=2)
    await conftest.wait_for(lambda: not directory.servers['i-0'].leaving)
    await send_until_reached(world, 'i-0')


async def test_server_on_hold_gets_no_requests_until_its_end(world):
    refuse = refuse_with(503, **{'Retry-After': str(HOLD_S)})
    await world.start([refuse, standin.answer_ok])
    loop = asyncio.get_running_loop()
    await send_until_reached(world, 'i-0')
    refused_at = loop.time()
    while loop.time() < refused_at + HOLD_S - SLACK_S:
        assert (await send(world)).status == 200
    assert count(world, 'i-0') == 1
    world.engines['i-0'].answer = standin.answer_ok
    await asyncio.sleep(2 * SLACK_S)
    world.engines['i-1'].answer = refuse_with(503, **{'Retry-After': '30'})
    assert (await send(world)).status == 200
    assert (await send(world)).status == 200
    assert count(world, 'i-0') > 1


async def test_callers_are_told_when_the_servers_may_be_asked_again(world):
    refuse = refuse_with(503, **{'Retry-After': str(HOLD_S)})
    await world.start([refuse])
    assert (await send(world)).status == 503
    for number in range(5):
        response = await send(world, number, '/once/x')
        assert response.status == 503
        assert 0.0 < float(response.headers['Retry-After']) <= HOLD_S
    assert count(world, 'i-0') == 1


# Another server has the address: what it states is not about this one.
async def test_statement_of_another_server_is_left_alone(world):
    moved = refuse_with(421, **LEAVING, **{'Retry-After': '30'})
    await world.start([moved, standin.answer_ok])
    await send_until_reached(world, 'i-0')
    server = world.instance.environment.directory.servers['i-0']
    assert server.is_available(world.instance.environment.now())


@pytest.mark.parametrize(
    'text', ['', 'soon', '-1', 'nan', 'inf', '0', '1e999', 'Wed, 21 Oct']
)
async def test_odd_pause_is_none(world, text):
    await world.start([refuse_with(503, **{'Retry-After': text})])
    response = await send(world, path='/once/x')
    assert json.loads(response.document)['code'] == 'no-backend-server'
    server = world.instance.environment.directory.servers['i-0']
    assert server.is_available(world.instance.environment.now())
