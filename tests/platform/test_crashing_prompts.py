"""Prompts on which backend servers crash: refused before many have."""

import asyncio
import json
import time

import aiohttp
import msgspec
import pytest

from arbutuschute.policy import quarantine
from tests.platform import conftest
from tests.platform import standin

TOPIC = 'keyed.observations'
DEADLY = 'dead'


def make_headers(number, *shared):
    parts = ','.join(f'{part}:100' for part in (*shared, f'own{number}'))
    return {
        'Arbutuschute-Attempt-Id': f'r-{number}',
        'Arbutuschute-Model': 'small',
        'Arbutuschute-Token-Count': '300,20',
        'Arbutuschute-Prompt-Prefix': parts,
    }


async def send(world, number, *shared, path='/stream/x'):
    """Return (status, code) of a request; 0 for a broken connection."""
    headers = make_headers(number, *shared)
    try:
        async with world.call(path, headers=headers) as response:
            body = await response.read()
    except aiohttp.ClientError:
        return 0, ''
    if response.status == 200:
        return 200, ''
    return response.status, json.loads(body).get('code')


def count_crashes(world):
    return sum(engine.crashes for engine in world.engines.values())


def put_crash(world, server, at, *parts):
    crash = quarantine.Crash(server, at, at, parts, True)
    raw = msgspec.json.encode(crash)
    world.store.put_raw(TOPIC, f'crash/other/{server}', raw)


# Guards against requests with one part of a prompt that crash one backend
# server after the other, new requests and repeats alike.
@pytest.mark.parametrize('sends_head', [True, False])
async def test_part_that_crashes_servers_is_refused_after_a_few_crashes(
    world, sends_head
):
    answer = standin.make_crashing(DEADLY, sends_head)
    await world.start([answer] * 8)
    await send(world, 0, 'all', 'doc')
    ends = []
    for number in range(1, 9):
        ends.append(await send(world, number, 'all', 'doc', DEADLY))
        await asyncio.sleep(0.25)
    assert count_crashes(world) <= quarantine.QUARANTINE_CRASHES + 1
    assert ends[-1] == (503, 'prompt-quarantined')
    assert await send(world, 20, 'all', 'doc') == (200, '')
    assert await send(world, 21, 'all') == (200, '')


# Guards against requests with the part being sent because others without it,
# answered in one piece, did not clear the parts that they share.
async def test_answers_in_one_piece_tell_which_part_crashes_servers(world):
    await world.start([standin.make_crashing(DEADLY)] * 8)
    for number in range(quarantine.QUARANTINE_CRASHES):
        await send(world, number, 'all', 'doc', DEADLY, path='/again/x')
        sound = await send(world, 10 + number, 'all', 'doc', path='/again/x')
        assert sound == (200, '')
        await asyncio.sleep(0.25)
    crashes = count_crashes(world)
    ended = await send(world, 20, 'other', DEADLY, path='/again/x')
    assert ended == (503, 'prompt-quarantined')
    assert count_crashes(world) == crashes


# Guards against a request that is sent to each server in turn and crashes
# them all.
async def test_request_that_crashed_two_servers_is_not_sent_to_a_third(world):
    await world.start([standin.make_crashing(DEADLY)] * 4)
    status, _ = await send(world, 1, 'all', DEADLY)
    await asyncio.sleep(0.3)
    first_crashes = count_crashes(world)
    assert status == 502
    assert first_crashes == 2


async def test_request_beside_a_crash_is_sent_to_another_server(world):
    crashing = standin.make_crashing(DEADLY)

    async def wait(engine, request, body):
        if 'slow:' in request.headers['Arbutuschute-Prompt-Prefix']:
            await asyncio.sleep(0.3)
        return await crashing(engine, request, body)

    await world.start([wait])
    waiting = asyncio.ensure_future(send(world, 1, 'all', 'slow'))
    await conftest.wait_for(lambda: world.engines['i-0'].running)
    await world.add_engine('i-1')
    world.engines['i-1'].answer = standin.make_stream(3)
    directory = world.instance.environment.directory
    await conftest.wait_for(lambda: 'i-1' in directory.servers)
    directory.servers['i-1'].pause(float('inf'))
    task = asyncio.ensure_future(world.engines['i-0'].crash(5.0))
    directory.servers['i-1'].paused_until = 0.0
    assert await waiting == (200, '')
    task.cancel()


async def test_crashes_that_other_instances_saw_count(world):
    await world.start([standin.make_stream(3)])
    for number in range(quarantine.QUARANTINE_CRASHES):
        put_crash(world, f's-{number}', time.time() + number, 'all', DEADLY)
    found = world.instance.environment.quarantine
    await conftest.wait_for(lambda: found.list_groups())
    assert await send(world, 1, 'all', DEADLY) == (503, 'prompt-quarantined')
    assert await send(world, 2, 'all') == (200, '')
    assert await send(world, 3, DEADLY) == (503, 'prompt-quarantined')


async def test_crashes_are_known_after_a_restart(world):
    await world.start_platform([standin.make_stream(3)])
    for number in range(quarantine.QUARANTINE_CRASHES):
        put_crash(world, f's-{number}', time.time() + number, DEADLY)
    world.instance = world.make_instance()
    world.running = asyncio.ensure_future(world.instance.run())
    await conftest.wait_for(lambda: world.instance.environment.state == 'live')
    assert await send(world, 1, DEADLY) == (503, 'prompt-quarantined')


async def test_instance_tells_of_crashes_and_of_answers(world):
    await world.start([standin.make_crashing(DEADLY, down_s=0.1)] * 4)
    await send(world, 1, 'all', DEADLY)

    def find_parts(kind):
        return [
            json.loads(raw[1 + raw[0] :])['parts']
            for raw in world.store.topics.get(TOPIC, ())
            if raw[1:].startswith(kind)
        ]

    await conftest.wait_for(lambda: find_parts(b'crash/'))
    assert find_parts(b'crash/')[0] == ['all', DEADLY]
    await conftest.wait_for(
        lambda: all(
            server.is_open(world.instance.environment.now())
            for server in world.instance.environment.directory.find('plain')
        )
    )
    assert await send(world, 2, 'all') == (200, '')
    await conftest.wait_for(lambda: find_parts(b'answered/') == [['all']])


async def test_observation_is_written_once_the_store_is_back(world):
    await world.start([standin.make_crashing(DEADLY, down_s=0.1)] * 4)
    world.store.broken_topics.add(TOPIC)
    await send(world, 1, 'all', DEADLY)
    await asyncio.sleep(0.3)
    assert TOPIC not in world.store.topics
    world.store.broken_topics.clear()
    await conftest.wait_for(lambda: TOPIC in world.store.topics)


async def test_broken_connection_of_a_running_server_is_no_crash(world):
    await world.start([standin.reset, standin.reset, standin.reset])
    for number in range(4):
        status, code = await send(world, number, 'all', 'doc')
        assert (status, code) == (502, 'server-failed')
    assert world.instance.environment.quarantine.list_groups(1) == ()
