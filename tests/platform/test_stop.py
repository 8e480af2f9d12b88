"""Requests that come late in the grace period of a stop.

Guards against passing on a request that the end of the process cuts off
without an answer; its caller can't tell whether it has run.
"""

import asyncio
import collections
import contextlib
import json

from arbutuschute.traffic import handler
from tests.platform import conftest
from tests.platform import standin

# The settings give a stop 5 s.
STOPPED_WITHIN_S = 5.0
# As long as requests that may outlast the stop are admitted, and a bit more.
LATE_S = handler.STOP_ADMISSION_S + 0.1
# Longer than a stop.
LONG_MS = 30_000
REQUEST = (
    b'POST /slow/short HTTP/1.1\r\nHost: a.example\r\n'
    b'Arbutuschute-Attempt-Id: r-1\r\nArbutuschute-Deadline-Ms: 1000\r\n'
    b'Arbutuschute-Key: %s\r\nContent-Length: 0\r\n\r\n'
) % standin.KEY.encode()


async def hang_on_long(engine, request, body):
    if '/short' in request.raw_path:
        return await standin.answer_ok(engine, request, body)
    return await standin.hang(engine, request, body)


async def start(world):
    await world.start([hang_on_long])
    routes = [
        conftest.make_route(
            name, kind, timeoutMs=LONG_MS, targetLatencyMs=LONG_MS
        )
        for name, kind in (('slow', 'idempotent'), ('only', 'non_idempotent'))
    ]
    world.store.put(
        'keyed.op', 'config', conftest.make_configuration(2, routes)
    )
    await conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )


async def call(world, path, deadline_ms=LONG_MS):
    """Return the status of a whole response, and its document."""
    async with world.call(path, deadline_ms=deadline_ms) as response:
        return response.status, await response.read()


async def test_running_requests_get_an_answer_at_the_end(world):
    await start(world)
    calls = [
        asyncio.ensure_future(call(world, path))
        for path in ('/only/1', '/only/2', '/only/3')
    ]
    await conftest.wait_for(lambda: world.count_arrivals() == 3)
    world.instance.request_stop()
    for status, body in await asyncio.gather(*calls):
        assert status == 502
        problem = json.loads(body)
        assert (problem['code'], problem['ran']) == ('interrupted', 'unknown')
    await asyncio.wait_for(world.running, STOPPED_WITHIN_S)


async def test_request_that_may_run_once_is_refused_unless_it_can_end(world):
    await start(world)
    world.instance.request_stop()
    await asyncio.sleep(0.1)
    status, body = await call(world, '/only/1')
    assert status == 503
    assert json.loads(body)['ran'] == 'no'
    assert not world.count_arrivals()
    status, _ = await call(world, '/only/short', deadline_ms=1000)
    assert status == 200


async def test_late_request_is_admitted_only_if_it_can_end_in_time(world):
    """It comes on a connection that was open before."""
    await start(world)
    world.instance.request_stop()
    await asyncio.sleep(LATE_S)
    assert (await call(world, '/slow/1'))[0] == 503
    assert not world.count_arrivals()
    assert (await call(world, '/slow/short', deadline_ms=800))[0] == 200


async def test_no_request_on_a_kept_connection_is_cut(world):
    """Requests follow each other on kept connections until they are closed.

    Each gets a whole response, or its connection was closed before.
    """
    await start(world)

    async def send_on_one_connection():
        reader, writer = await world.connect()
        with contextlib.closing(writer):
            while True:
                writer.write(REQUEST)
                try:
                    head = await reader.readuntil(b'\r\n\r\n')
                except (asyncio.IncompleteReadError, OSError) as error:
                    assert not getattr(error, 'partial', b'')
                    return
                length = int(
                    head.lower().split(b'content-length: ')[1].split(b'\r')[0]
                )
                assert len(await reader.readexactly(length)) == length
                if b'connection: close' in head.lower():
                    return
                await asyncio.sleep(0.02)

    callers = [
        asyncio.ensure_future(send_on_one_connection()) for _ in range(8)
    ]
    await asyncio.sleep(0.3)
    world.instance.request_stop()
    await asyncio.gather(*callers)
    await asyncio.wait_for(world.running, STOPPED_WITHIN_S)


# A caller whose body arrives slowly sees its connection close without an
# answer at the end of the stop, and can't tell whether the request has run.
async def test_request_whose_body_is_half_read_gets_an_answer(world):
    await start(world)
    reader, writer = await world.connect()
    with contextlib.closing(writer):
        head = REQUEST.replace(b'Content-Length: 0', b'Content-Length: 9999')
        writer.write(head)
        await asyncio.sleep(0.1)
        world.instance.request_stop()
        raw = b''
        with contextlib.suppress(OSError):
            async with asyncio.timeout(STOPPED_WITHIN_S):
                while not raw.endswith(b'}'):
                    writer.write(b'x')
                    await asyncio.sleep(0.1)
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.05):
                            found = await reader.read(4096)
                            raw += found
                            if not found:
                                break
        assert raw.startswith(b'HTTP/1.1 503')
        problem = json.loads(raw.partition(b'\r\n\r\n')[2])
        assert (problem['code'], problem['ran']) == ('stopping', 'no')
    await asyncio.wait_for(world.running, STOPPED_WITHIN_S)
    assert not world.count_arrivals()


# Callers that connect during the stop are accepted and then cut off.
async def test_every_accepted_request_is_answered_to_the_end_of_a_stop(world):
    await start(world)
    outcomes = collections.Counter()

    async def send_on_new_connections():
        while True:
            try:
                reader, writer = await world.connect()
            except OSError:
                outcomes['not accepted'] += 1
                return
            with contextlib.closing(writer):
                writer.write(REQUEST)
                try:
                    line = await reader.readline()
                except OSError as error:
                    line = repr(error).encode()
                outcomes[line.strip()] += 1

    callers = [
        asyncio.ensure_future(send_on_new_connections()) for _ in range(8)
    ]
    await asyncio.sleep(0.3)
    world.instance.request_stop()
    await asyncio.gather(*callers)
    await asyncio.wait_for(world.running, STOPPED_WITHIN_S)
    assert outcomes.pop('not accepted') == len(callers)
    assert outcomes[b'HTTP/1.1 503 Service Unavailable']
    assert outcomes.keys() <= {
        b'HTTP/1.1 200 OK', b'HTTP/1.1 503 Service Unavailable'
    }, outcomes  # fmt: skip


# Two signals in a row, while the store is away: the stop takes no longer and
# cuts nothing.
async def test_stops_that_overlap_in_an_outage_end_in_time(world):
    await start(world)
    world.store.fault = 'silent'
    running = asyncio.ensure_future(call(world, '/only/1', 2000))
    await conftest.wait_for(lambda: world.count_arrivals() == 1)
    world.instance.request_stop()
    await asyncio.sleep(0.5)
    world.instance.request_stop()
    status, _ = await running
    assert status == 504
    await asyncio.wait_for(world.running, STOPPED_WITHIN_S)
