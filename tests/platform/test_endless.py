"""The platform's link against servers that send bytes without end.

Guards against reading until memory or time is gone: each request ends in a
typed failure in time, and its ``ran`` says no more than is known.
"""

import asyncio

import aiohttp
import pytest
import pytest_asyncio

from tests import endless
from tests.platform import conftest
from tests.platform import standin

DEADLINE_MS = int(1000 * endless.DEADLINE_S)
PATHS = ['/once/x', '/again/x', '/stream/x']
NOT_RUN = endless.BUSY + b'Arbutuschute-Not-Executed: 1\r\n\r\n'


@pytest_asyncio.fixture(name='server')
async def start_server(world):
    """List an endless server as the only one."""
    async with endless.EndlessServer() as made:
        await world.start(())
        world.list_engine(made)
        directory = world.instance.environment.directory
        await conftest.wait_for(lambda: directory.find('plain'))
        yield made


async def send(world, path):
    """Return (status, ``ran``) of a request's end."""
    headers = {'Arbutuschute-Attempt-Id': 'r'}
    with endless.check_limits():
        async with world.call(
            path, deadline_ms=DEADLINE_MS, headers=headers
        ) as response:
            problem = await response.json(content_type=None)
            return response.status, problem['ran']


@pytest.mark.parametrize('trickles', [False, True])
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('case', endless.HEADS)
async def test_endless_head_ends_in_a_failure(
    world, server, case, path, trickles
):
    server.send(*endless.HEADS[case], trickles)
    status, ran = await send(world, path)
    assert status in (502, 504)
    assert ran == 'unknown'
    await server.wait_until_closed()


@pytest.mark.parametrize('trickles', [False, True])
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('case', endless.BODIES)
async def test_endless_body_ends_in_a_failure(
    world, server, case, path, trickles
):
    server.send(*endless.BODIES[case], trickles)
    status, ran = await send(world, path)
    assert status in (502, 504)
    assert ran == 'unknown'
    await server.wait_until_closed()


@pytest.mark.parametrize('trickles', [False, True])
@pytest.mark.parametrize('path', PATHS)
async def test_endless_failure_ends_in_a_failure(
    world, server, path, trickles
):
    server.send(endless.FAILED + b'\r\n', b'x' * 65536, trickles)
    status, ran = await send(world, path)
    assert status in (502, 504)
    assert ran == 'unknown'
    await server.wait_until_closed()


@pytest.mark.parametrize('path', PATHS)
async def test_endless_refusal_has_not_run(world, server, path):
    server.send(NOT_RUN, b'x' * 65536)
    status, ran = await send(world, path)
    assert status == 503
    assert ran == 'no'
    await server.wait_until_closed()


# Each answer was within its limit, all together were as large as the memory of
# a machine: its process ended, and the requests of other callers with it.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('case', ['no length', 'chunks', 'length'])
async def test_many_endless_bodies_leave_memory(world, server, case, path):
    server.send(*endless.BODIES[case])

    async def call(session):
        headers = {'Arbutuschute-Attempt-Id': 'r'}
        async with world.call(
            path, deadline_ms=DEADLINE_MS, session=session, headers=headers
        ) as response:
            return response.status

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        with endless.check_limits(endless.MAX_CROWD_MEMORY):
            statuses = await asyncio.gather(
                *(call(session) for _ in range(endless.CROWD))
            )
    assert set(statuses) <= {502, 503, 504}
    await server.wait_until_closed()


async def test_other_requests_are_served_beside_an_endless_answer(
    world, server
):
    server.send(*endless.HEADS['interim responses'])
    await world.add_engine('i-good')
    directory = world.instance.environment.directory
    await conftest.wait_for(lambda: len(directory.find('plain')) == 2)
    async with world.call('/again/x', deadline_ms=5000) as response:
        assert response.status == 200
    await server.wait_until_closed()


EVENT = b'id: 1\ndata: 1\n\n'


@pytest.mark.parametrize('filler', [b'x' * 65536, b'\n' * 65536])
async def test_endless_bytes_within_a_stream_resume_it_elsewhere(
    world, server, filler
):
    server.send(endless.OK + b'\r\n' + EVENT, filler)
    # A request goes to the own zone first.
    good = await world.add_engine('i-good', standin.make_stream(3), zone='far')
    directory = world.instance.environment.directory
    await conftest.wait_for(lambda: len(directory.find('plain')) == 2)
    headers = {'Arbutuschute-Attempt-Id': 'r'}
    async with (
        asyncio.timeout(5),
        world.call('/stream/x', headers=headers) as response,
    ):
        received = await response.read()
    # Blank lines between events have no meaning.
    found = [event.strip() for event in received.split(b'\n\n')]
    assert [event for event in found if event] == [
        b'id: %d\ndata: %d' % (number, number) for number in (1, 2, 3)
    ]
    assert good.requests[0]['Last-Event-Id'] == '1'
    await server.wait_until_closed()
