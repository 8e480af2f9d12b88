"""Large records on their way from a zone's reader to its peers.

Guards against a configuration of many routes that every instance reads from
the store, over the link between the regions.
"""

import asyncio
import contextlib

from aiohttp import web
import msgspec

from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.zones import log_cache
from tests import test_log_cache

TOPIC = test_log_cache.TOPIC
LARGE = b''.join(b'route %d of service %d;' % (n, n % 3) for n in range(9000))


@contextlib.asynccontextmanager
async def serve(answer):
    """Serve HTTP requests; yield (client session, address)."""
    runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    try:
        async with connections.make_session() as session:
            yield session, f'{host}:{port}'
    finally:
        await runner.cleanup()


async def test_large_record_is_passed_on_to_peers_compressed():
    _, cache = test_log_cache.make_cache()
    cache.extend(TOPIC, 5, (b'a', LARGE, b'b'), confirmed_at=0.0)
    assert len(LARGE) > log_cache.MAX_RESPONSE_BYTES
    assert await cache.get_records(TOPIC, 5, 0.0) is None
    sent = await cache.get_records(TOPIC, 5, 0.0, compresses=True)
    assert sum(map(len, sent.records)) < log_cache.MAX_RESPONSE_BYTES
    async with serve(cache.answer) as (session, address):
        found = await log_cache.fetch(session, address, TOPIC, 5, 0.0)
    assert found.unwrap().records == (b'a', LARGE, b'b')


async def test_record_that_expands_without_end_is_rejected(monkeypatch):
    monkeypatch.setattr(log_cache, 'MAX_RECORD_BYTES', len(LARGE) - 1)
    _, cache = test_log_cache.make_cache()
    cache.extend(TOPIC, 5, (LARGE,), confirmed_at=0.0)
    async with serve(cache.answer) as (session, address):
        found = await log_cache.fetch(session, address, TOPIC, 5, 0.0)
    assert isinstance(found.failure(), errors.ReaderSilent)


async def test_slow_transfer_is_not_silence():
    """A dozen copies share the link of a small machine."""
    _, cache = test_log_cache.make_cache()
    cache.extend(TOPIC, 5, (b'x' * 4000,), confirmed_at=0.0)
    body = msgspec.msgpack.encode(await cache.get_records(TOPIC, 5, 0.0))

    async def trickle(request):
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), 500):
            await response.write(body[start : start + 500])
            await asyncio.sleep(log_cache.RESPONSE_TIMEOUT_S / 3)
        return response

    async with serve(trickle) as (session, address):
        found = await log_cache.fetch(session, address, TOPIC, 5, 0.0)
    assert found.unwrap().records == (b'x' * 4000,)


async def test_silent_peer_is_given_up_soon():
    async def hang(request):
        await asyncio.sleep(30.0)

    began = asyncio.get_running_loop().time()
    async with serve(hang) as (session, address):
        found = await log_cache.fetch(session, address, TOPIC, 5, 0.2)
        took_s = asyncio.get_running_loop().time() - began
    assert isinstance(found.failure(), errors.ReaderSilent)
    assert took_s < 0.2 + 2 * log_cache.RESPONSE_TIMEOUT_S


async def test_compressed_copies_are_dropped_with_their_records():
    _, cache = test_log_cache.make_cache()
    for number in range(8):
        cache.extend(TOPIC, number, (LARGE + b'%d' % number,), 0.0)
        await cache.get_records(TOPIC, number, 0.0, compresses=True)
    kept = cache._by_topic[TOPIC]
    assert kept.first > 0
    assert sorted(kept._compressed) == list(range(kept.first, kept.end))
    cache.extend(TOPIC, 100, (b'a',), 0.0)
    assert not kept._compressed
