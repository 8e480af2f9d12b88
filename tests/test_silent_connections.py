"""Open connections fall silent without a reset, while new ones work.

Guards against one time limit for each silent connection in the pool, and
against taking them for an outage: a server that had left got requests for
seconds, and work was lost with it.
"""

import asyncio
import struct

from aiohttp import web
import msgspec
import pytest
from returns import result

from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.links import log
from arbutuschute.platform import store
from arbutuschute.zones import log_cache
from tests import silent
from tests import test_faulty_engines as faulty
from tests import test_followers as scripted

POOLED = 4
# For a response over a new connection, on a busy machine.
PROMPT_S = 0.25
LOG_TIMEOUT_S = 0.5


async def answer_store(request):
    await asyncio.sleep(0.02)
    if request.method == 'POST':
        return web.json_response({'offset': 0, 'end': 1})
    return web.Response(body=struct.pack('>QQ', 0, 0))


async def answer_peer(request):
    await asyncio.sleep(0.02)
    body = log_cache.CacheResponse(0, 0, 0.0, 0.0, (), era=0)
    return web.Response(body=msgspec.msgpack.encode(body))


async def answer_log(request):
    await asyncio.sleep(0.02)
    if request.method == 'POST':
        return web.json_response({'offset': 0})
    return web.json_response({'first': 0, 'head': 0, 'records': []})


async def fill_pool(call):
    """Make calls at once, so that as many connections are kept."""
    found = await asyncio.gather(*(call() for _ in range(POOLED)))
    assert all(isinstance(answer, result.Success) for answer in found)


async def measure(call):
    """Return whether the call succeeded, and the seconds it took."""
    began = asyncio.get_running_loop().time()
    answer = await call()
    took_s = asyncio.get_running_loop().time() - began
    return isinstance(answer, result.Success), took_s


async def check_calls_after(call, first, is_first_done, limit_s):
    """Check one call over silent connections, and that the next are prompt."""
    is_done, took_s = await measure(first)
    assert is_done is is_first_done
    assert took_s <= limit_s + PROMPT_S
    for _ in range(POOLED):
        is_done, took_s = await measure(call)
        assert is_done
        assert took_s <= PROMPT_S


@pytest.mark.parametrize('wait_s', [0.0, 0.3])
async def test_read_of_the_store_succeeds_over_a_new_connection(wait_s):
    async with silent.serve(answer_store) as (silence, session, address):
        found = store.Store(session, address)
        await fill_pool(lambda: found.read('t', 0))
        silence.begin()
        await check_calls_after(
            lambda: found.read('t', 0),
            lambda: found.read('t', 0, wait_s),
            True,
            store.CALL_TIMEOUT_S + wait_s,
        )


async def test_append_to_the_store_costs_one_time_limit():
    async with silent.serve(answer_store) as (silence, session, address):
        found = store.Store(session, address)
        await fill_pool(lambda: found.read('t', 0))
        silence.begin()
        await check_calls_after(
            lambda: found.put('t', 'k', b'v'),
            lambda: found.put('t', 'k', b'v'),
            False,
            store.CALL_TIMEOUT_S,
        )


# Its result is read from the store then, which is another host.
async def test_read_of_a_zone_peer_costs_one_time_limit():
    async with silent.serve(answer_peer) as (silence, session, address):

        def read():
            return log_cache.fetch(session, address, 't', 0, 0.0)

        await fill_pool(read)
        silence.begin()
        await check_calls_after(
            read, read, False, log_cache.RESPONSE_TIMEOUT_S
        )


async def test_own_log_is_read_over_a_new_connection():
    async with silent.serve(answer_log) as (silence, session, address):
        client = log.LogClient(
            session, f'http://{address}', 'r1', LOG_TIMEOUT_S
        )
        await fill_pool(lambda: client.read('s', 0))
        silence.begin()
        follower = log.LogFollower(client, 's', scripted.Timer())
        assert await follower.read_once()
        # Routers that all report a failing store take it for an outage.
        assert follower.failing_since is None
        for _ in range(POOLED):
            is_done, took_s = await measure(lambda: client.read('s', 0))
            assert is_done
            assert took_s <= PROMPT_S


async def test_append_to_the_own_log_costs_one_time_limit():
    async with silent.serve(answer_log) as (silence, session, address):
        client = log.LogClient(
            session, f'http://{address}', 'r1', LOG_TIMEOUT_S
        )
        await fill_pool(lambda: client.read('s', 0))
        silence.begin()

        def append():
            return client.append('s', b'{}')

        await check_calls_after(append, append, False, LOG_TIMEOUT_S)


# Kept connections to one server; those to others are of no concern.
async def test_own_link_finds_one_silent_connection_of_a_server():
    async def answer(request):
        await asyncio.sleep(0.02)
        request_id = request.headers['X-Request-Id']
        return web.Response(
            body=faulty.ANSWER % request_id.encode(),
            headers={'X-Request-Id': request_id},
        )

    async with (
        silent.serve(answer) as (silence, session, address),
        silent.serve(answer) as (_, _, other),
    ):
        servers = [Server(address), Server(other)]
        for server in servers:
            await asyncio.gather(
                *(faulty.send(session, server, 'r') for _ in range(POOLED))
            )
        silence.begin()
        with pytest.raises(errors.AnswerBroken) as lost:
            await faulty.send(session, servers[0], 'r')
        assert lost.value.ran is errors.Ran.UNKNOWN
        kept = {
            key.port: len(c) for key, c in session.connector._conns.items()
        }
        assert kept == {int(other.rpartition(':')[2]): POOLED}
        async with asyncio.timeout(PROMPT_S):
            await faulty.send(session, servers[0], 'r')


class Server:
    def __init__(self, address):
        self.address = address


# A repeat doesn't wait: it must not confirm the end of the wait.
async def test_repeat_confirms_the_time_of_its_first_request():
    timer = scripted.Timer()

    class Repeating(scripted.ScriptedStore):
        async def read(self, topic, start, wait_s=0.0):
            timer.time += 3.0
            return result.Success(store.Page(1, 0, 1, (), is_repeat=True))

    script = Repeating(
        timer, [(0.0, 0.0, False)], [(0.0, scripted.make_record('k', 1))]
    )
    topic = scripted.topics.TopicFollower(
        script, timer, 't', scripted.Log(), lambda record: None
    )
    await topic.read()
    assert (await topic.read(1.8)).unwrap()
    assert topic.confirmed_at == 0.0


async def test_silent_new_connection_is_an_outage():
    async def hang(request):
        await asyncio.sleep(silent.FOREVER_S)

    async with silent.serve(hang) as (_, session, address):
        is_done, took_s = await measure(
            lambda: store.Store(session, address).read('t', 0)
        )
    assert not is_done
    assert took_s <= store.CALL_TIMEOUT_S + store.REPEAT_TIMEOUT_S + PROMPT_S


async def test_closing_idle_connections_leaves_those_in_use():
    async def answer(request):
        await asyncio.sleep(0.3)
        return web.Response(body=b'done')

    async with silent.serve(answer) as (_, session, address):
        url = f'http://{address}/x'
        calling = asyncio.ensure_future(session.get(url))
        await asyncio.sleep(0.1)
        connections.close_idle(session)
        async with await calling as response:
            assert await response.read() == b'done'
