"""The own link against servers that send bytes without end.

Guards against reading until memory or time is gone: each attempt ends in a
typed failure in time, and its ``ran`` says no more than is known.
"""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.links import engine
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from tests import endless

WATCH_S = 10 * endless.DEADLINE_S
HEADERS = {'X-Request-Id': 'r'}


@pytest_asyncio.fixture(name='server')
async def start_server():
    async with endless.EndlessServer() as made:
        yield made


def make_backend(server):
    instance = instances.Instance(
        name='e',
        kind='engine',
        address=f'http://{server.address}',
        zone='a',
        region='r',
    )
    return fleet.BackendServer(instance)


@contextlib.asynccontextmanager
async def open_attempt(server):
    """Open an attempt; yield (response, backend server)."""
    backend = make_backend(server)
    async with (
        connections.make_session() as session,
        engine.open_attempt(
            session, backend, '/x', HEADERS, b'', endless.DEADLINE_S
        ) as response,
    ):
        yield response, backend


async def read_whole(server):
    async with open_attempt(server) as (response, backend):
        await engine.read_whole(response, 'r', backend, endless.DEADLINE_S)


async def read_unparsed(server):
    async with open_attempt(server) as (response, backend):
        await engine.read_body(response, backend, endless.DEADLINE_S)


async def read_stream(server):
    async with open_attempt(server) as (response, backend):
        reader = engine.EventReader(response, backend, endless.DEADLINE_S)
        while await reader.read():
            pass


READS = [read_whole, read_unparsed, read_stream]


async def find_failure(server, read):
    """Return the failure of a read that stays within the limits."""
    with endless.check_limits(), pytest.raises(errors.Failure) as caught:
        async with asyncio.timeout(WATCH_S):
            await read(server)
    await server.wait_until_closed()
    return caught.value


@pytest.mark.parametrize('trickles', [False, True])
@pytest.mark.parametrize('case', endless.HEADS)
async def test_endless_head_ends_in_a_failure(server, case, trickles):
    server.send(*endless.HEADS[case], trickles)
    failure = await find_failure(server, read_whole)
    assert failure.ran is errors.Ran.UNKNOWN


@pytest.mark.parametrize('trickles', [False, True])
@pytest.mark.parametrize('read', READS)
@pytest.mark.parametrize('case', endless.BODIES)
async def test_endless_body_ends_in_a_failure(server, case, read, trickles):
    server.send(*endless.BODIES[case], trickles)
    failure = await find_failure(server, read)
    assert isinstance(failure, errors.AnswerBroken)
    assert failure.ran is errors.Ran.UNKNOWN


@pytest.mark.parametrize('trickles', [False, True])
async def test_endless_refusal_may_have_run(server, trickles):
    server.send(endless.BUSY + b'\r\n', b'x' * 65536, trickles)
    failure = await find_failure(server, read_whole)
    assert isinstance(failure, errors.EngineRefused)
    assert failure.ran is errors.Ran.UNKNOWN


@pytest.mark.parametrize('trickles', [False, True])
async def test_endless_load_report_is_ignored(server, trickles):
    server.send(*endless.BODIES['no length'], trickles)
    async with connections.make_session() as session:
        with endless.check_limits():
            backend = make_backend(server)
            assert await fleet.fetch_load(session, backend) is None
    await server.wait_until_closed()


async def test_bytes_after_the_end_of_a_stream_are_not_kept(server):
    whole = b'data: {}\n\n' + engine.STREAM_END
    server.send(endless.OK + b'\r\n' + whole, b'x' * 65536)
    with endless.check_limits(), contextlib.suppress(errors.Failure):
        async with open_attempt(server) as (response, backend):
            reader = engine.EventReader(response, backend, endless.DEADLINE_S)
            while await reader.read():
                pass
            await reader.drain()
    await server.wait_until_closed()
