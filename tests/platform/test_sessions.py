"""Sessions that continue at another instance during a roll-out."""

import asyncio

from tests.platform import conftest
from tests.platform import standin
from tests.platform import test_zone_peers
from tests import serving

# The first step takes effect 2 s after the order, the ramp begins after 5 s.
DURATION_S = 10.0
FIRST_SHARE = 0.05
SESSIONS = 6


async def call(world, session, port):
    """Send a request of a session; return the server that ran it."""
    headers = {'Session': session, 'Arbutuschute-Attempt-Id': f'r-{session}'}
    async with world.call('/again/x', headers=headers, port=port) as response:
        assert response.status == 200
        return await response.read()


async def order(world, instances):
    """Order v2, and list a server of it, at all instances."""
    found = {'service': 'plain', 'target': 'v2', 'durationS': DURATION_S}
    world.store.put('keyed.op', 'rollout/plain', found)
    await world.add_engine('i-new', standin.answer_ok, version='v2')
    await conftest.wait_for(
        lambda: all(
            'i-new' in one.environment.directory.servers
            and 'plain' in one.environment.rollouts.by_service
            for one in instances
        )
    )


def get_step(instance):
    rollout = instance.environment.rollouts.by_service['plain']
    return rollout.find_step(instance.environment.now())


def get_port(instance):
    return instance._settings.callers.port


async def run_sessions(world, instance):
    sessions = serving.find_sessions('v2', FIRST_SHARE, SESSIONS, 'plain')
    port = get_port(instance)
    for session in sessions:
        assert await call(world, session, port) == b'done by i-0'
    return sessions


# Guards against sessions that change their version because the instance that
# knew them stops, and the next one takes them for new.
async def test_sessions_of_an_instance_that_stops_keep_their_version(world):
    await world.start()
    first = world.instance
    async with test_zone_peers.start_peer(world) as second:
        sessions = await run_sessions(world, first)
        await order(world, (first, second))
        await conftest.wait_for(lambda: get_step(second) == 0)
        first.request_stop()
        port = get_port(second)
        for session in sessions:
            assert await call(world, session, port) == b'done by i-0'
        assert get_step(second) == 0
        found = [await call(world, 'unseen', port)]
        for name in serving.find_sessions('v2', FIRST_SHARE, 9, 'plain')[-2:]:
            found.append(await call(world, name, port))
        assert b'done by i-new' in found
        await world.running


# An instance has stopped before the order came.
async def test_sessions_of_an_instance_that_stopped_before_the_order(world):
    await world.start()
    first = world.instance
    async with test_zone_peers.start_peer(world) as second:
        sessions = await run_sessions(world, first)
        first.request_stop()
        await world.running
        await order(world, (second,))
        await conftest.wait_for(lambda: get_step(second) == 0)
        port = get_port(second)
        for session in sessions:
            assert await call(world, session, port) == b'done by i-0'
        assert get_step(second) == 0


# An instance that starts in the middle of a roll-out has seen no session.
async def test_sessions_keep_their_version_at_an_instance_that_starts(world):
    await world.start()
    first = world.instance
    sessions = await run_sessions(world, first)
    await order(world, (first,))
    await conftest.wait_for(lambda: get_step(first) == 0)
    async with test_zone_peers.start_peer(world) as second:
        port = get_port(second)
        for session in sessions:
            assert await call(world, session, port) == b'done by i-0'
        assert get_step(second) == 0


async def test_sessions_are_listed_once(world):
    await world.start()
    await run_sessions(world, world.instance)
    await order(world, (world.instance,))
    await conftest.wait_for(lambda: get_step(world.instance) == 0)
    await asyncio.sleep(0.5)
    keys = [
        raw[1 : 1 + raw[0]] for raw in world.store.topics['keyed.rollouts']
    ]
    assert keys.count(b'sessions/plain/edge-a-1') == 1
