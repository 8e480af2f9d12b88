"""Two instances of one zone; one of them reads the store for both."""

import asyncio
import contextlib

from tests.platform import conftest

SETTLE_S = 2.0
ROUTES = 1400
# Each of these is read once more or less in equal periods, by its phase.
POLLED_TOPICS = ('keyed.op', 'keyed.servers', 'keyed.observations')


@contextlib.asynccontextmanager
async def start_peer(world):
    """Start a second instance in the zone; calls go to it."""
    peer = world.make_instance()
    running = asyncio.ensure_future(peer.run())
    try:
        await conftest.wait_for(lambda: peer.environment.state == 'live')
        yield peer
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await peer.close()


async def is_served(world, path):
    async with world.call(path) as response:
        await response.read()
        return response.status == 200


async def wait_until_served(world, path, within_s):
    async with asyncio.timeout(within_s):
        while not await is_served(world, path):
            await asyncio.sleep(0.02)


async def count_reads(world, seconds):
    before = world.store.reads
    await asyncio.sleep(seconds)
    return world.store.reads - before


def count_calls(instance):
    """Return how often an instance has called the store."""
    totals = instance.environment.metrics.totals
    return sum(n for k, n in totals.items() if k.startswith('store.calls.'))


async def test_peer_follows_the_reader_and_continues_without_it(world):
    await world.start()
    await conftest.wait_for(lambda: world.instance.reader.is_reader)
    alone = await count_reads(world, SETTLE_S)
    async with start_peer(world) as peer:
        await asyncio.sleep(SETTLE_S)
        before = count_calls(peer)
        together = await count_reads(world, SETTLE_S)
        assert not peer.reader.is_reader
        assert count_calls(peer) <= before + 1
        assert together <= alone + len(POLLED_TOPICS) + 1

        route = conftest.make_route('new', 'idempotent')
        changed = conftest.make_configuration(2, [route])
        world.store.put('keyed.op', 'config', changed)
        await wait_until_served(world, '/new/x', within_s=0.5)

        world.running.cancel()
        await asyncio.gather(world.running, return_exceptions=True)
        await world.instance.close()
        later = conftest.make_route('later', 'idempotent')
        world.store.put(
            'keyed.op', 'config', conftest.make_configuration(3, [later])
        )
        await wait_until_served(world, '/later/x', within_s=2.5)
        await conftest.wait_for(lambda: peer.reader.is_reader)


async def test_peer_reads_the_store_when_its_reader_cannot(world):
    await world.start()
    await conftest.wait_for(lambda: world.instance.reader.is_reader)
    async with start_peer(world) as peer:
        await asyncio.sleep(SETTLE_S)
        assert not peer.reader.is_reader
        # The reader still responds to its peers but reads nothing new.
        for task in world.instance._tasks:
            task.cancel()
        changed = conftest.make_configuration(
            2, [conftest.make_route('new', 'idempotent')]
        )
        world.store.put('keyed.op', 'config', changed)
        await wait_until_served(world, '/new/x', within_s=2.5)
        for _ in range(20):
            assert await is_served(world, '/again/x')
            await asyncio.sleep(0.1)


async def test_malformed_queries_are_refused(world):
    await world.start()
    base = f'http://{world.instance._settings.zone_peers}/tail'
    async with world.http.get(base) as response:
        assert response.status == 400
    query = {'topic': 'keyed.op', 'start': 'x', 'wait_s': '0'}
    async with world.http.get(base, params=query) as response:
        assert response.status == 400
    query = {'topic': 'keyed.op', 'start': '0', 'wait_s': 'nan'}
    async with world.http.get(base, params=query) as response:
        assert response.status == 400
    newest = base.replace('/tail', '/newest')
    async with world.http.get(newest) as response:
        assert response.status == 400
    async with world.http.get(newest, params={'topic': 'x'}) as response:
        assert response.status == 503
    query = {'topic': 'another', 'start': '0', 'wait_s': '0'}
    async with world.http.get(base, params=query) as response:
        assert response.status == 404


async def test_large_configuration_is_read_from_the_store_once(world):
    """Each copy would cross the link between the regions."""
    await world.start()
    await conftest.wait_for(lambda: world.instance.reader.is_reader)
    async with start_peer(world) as peer:
        await asyncio.sleep(SETTLE_S)
        before = world.store.bytes_read
        added = [conftest.make_route(f'r{n}', 'idempotent') for n in
                 range(ROUTES)]  # fmt: skip
        changed = conftest.make_configuration(2, added)
        world.store.put('keyed.op', 'config', changed)
        for one in (world.instance, peer):
            await conftest.wait_for(
                lambda one=one: one.environment.table.version == 2, 2.0
            )
        size = len(world.store.find('keyed.op', 'config'))
        assert world.store.bytes_read - before < 1.5 * size


# Guards against a start of many instances that reads a large configuration
# from the store once for each: those copies fill the link between regions.
async def test_instance_that_starts_reads_its_zone_reader(world):
    await world.start()
    await conftest.wait_for(lambda: world.instance.reader.is_reader)
    added = [conftest.make_route(f'r{n}', 'idempotent') for n in
             range(ROUTES)]  # fmt: skip
    world.store.put(
        'keyed.op', 'config', conftest.make_configuration(2, added)
    )
    await conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )
    size = len(world.store.find('keyed.op', 'config'))
    before = world.store.bytes_read
    async with start_peer(world) as peer:
        assert peer.environment.table.version == 2
        assert world.store.bytes_read - before < 0.1 * size


async def test_instance_starts_without_its_zone_reader(world):
    await world.start()
    await conftest.wait_for(lambda: world.instance.reader.is_reader)
    world.running.cancel()
    await asyncio.gather(world.running, return_exceptions=True)
    await world.instance.close()
    async with start_peer(world) as peer:
        assert await is_served(world, '/again/x')
        await conftest.wait_for(lambda: peer.reader.is_reader)
