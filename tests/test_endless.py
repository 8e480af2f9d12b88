"""The own link against servers that send bytes without end.

Guards against reading until memory or time is gone: each attempt ends in a
typed failure in time, and its ``ran`` says no more than is known.
"""

import asyncio
import contextlib
import types

import pytest
import pytest_asyncio
from returns import result

from arbutuschute import bodies
from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.links import engine
from arbutuschute.links import log
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from arbutuschute import orders
from arbutuschute.platform import store
from arbutuschute.zones import log_cache
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


async def test_many_endless_bodies_leave_memory(server):
    server.send(*endless.BODIES['chunks'])
    slots = bodies.make_large_slots()

    async def read(session):
        backend = make_backend(server)
        # A kept exception would keep the frame that holds the parts.
        with pytest.raises(errors.AnswerBroken):
            async with engine.open_attempt(
                session, backend, '/x', HEADERS, b'', endless.DEADLINE_S
            ) as response:
                await engine.read_body(
                    response, backend, endless.DEADLINE_S, large_slots=slots
                )

    async with connections.make_session(
        connector=connections.Connector(limit=0)
    ) as session:
        with endless.check_limits(endless.MAX_CROWD_MEMORY):
            await asyncio.gather(
                *(read(session) for _ in range(endless.CROWD))
            )
    await server.wait_until_closed()


# A large sound answer waits for its turn and isn't lost.
async def test_large_bodies_wait_for_one_another():
    slots = bodies.make_large_slots()
    most_taken = 0

    async def read_one():
        left = [b'x' * 50_000] * 10 + [b'']

        async def read():
            nonlocal most_taken
            await asyncio.sleep(0)
            taken = bodies.MAX_LARGE_BODIES - slots._value
            most_taken = max(most_taken, taken)
            return left.pop(0)

        found = await bodies.read_whole(read, 'e', large_slots=slots)
        assert len(found) == 500_000

    await asyncio.gather(*(read_one() for _ in range(20)))
    assert most_taken == bodies.MAX_LARGE_BODIES
    assert slots._value == bodies.MAX_LARGE_BODIES


# The clients that don't call for callers: the platform's and peers' services.
CLIENTS = {
    'store': lambda session, address: store.Store(session, address).read(
        't', 0
    ),
    'newest records': lambda session, address: store.Store(
        session, address
    ).read_newest('t'),
    'append': lambda session, address: store.Store(session, address).put(
        't', 'k', b'v'
    ),
    'zone peer': lambda session, address: log_cache.fetch(
        session, address, 't', 0, 0.0
    ),
    'own log': lambda session, address: log.LogClient(
        session, f'http://{address}', 'r', endless.DEADLINE_S
    ).read('s', 0),
    'instance list': lambda session, address: instances.fetch_instances(
        session, f'http://{address}', 'r'
    ),
}


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('case', ['no length', 'chunks', 'chunk extension'])
async def test_endless_response_of_the_platform_is_a_failure(
    server, case, client
):
    server.send(*endless.BODIES[case])
    async with connections.make_session() as session:
        with endless.check_limits():
            found = await CLIENTS[client](session, server.address)
    assert isinstance(found, result.Failure)
    await server.wait_until_closed()


# An order is sent to a backend server.
async def test_endless_answer_to_an_order_is_a_failure(server):
    server.send(*endless.BODIES['no length'])
    async with connections.make_session() as session:
        sender = types.SimpleNamespace(
            _environment=types.SimpleNamespace(http_once=session)
        )
        with endless.check_limits():
            assert await orders.OrderControl._call(
                sender, 'POST', f'http://{server.address}/orders', b'{}'
            ) is None  # fmt: skip
    await server.wait_until_closed()
