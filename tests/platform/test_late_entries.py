"""Entries of servers that the store writes long after they were sent."""

import asyncio

import pytest

from arbutuschute.machines import servers
from tests.platform import conftest
from tests.platform import standin
from tests.platform import test_zone_peers

# Servers are read every 1.4 s.
READ_S = 1.5


async def list_older(world, **entry):
    """Let the store write an old entry of i-1; wait until it was read."""
    follower = world.instance.servers
    position = follower._topic.position
    world.list_engine(world.engines['i-1'], **entry)
    await conftest.wait_for(lambda: follower._topic.position > position)


async def count_arrivals(world):
    """Return how many of some requests arrive at i-1."""
    arrived = len(world.engines['i-1'].seen)
    for number in range(12):
        assert await test_zone_peers.is_served(world, f'/again/{number}')
    return len(world.engines['i-1'].seen) - arrived


# Guards against sending requests to a server that has left: a heartbeat that
# was sent before is written after its entry was removed.
async def test_server_that_left_is_not_used_after_a_late_entry(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    directory = world.instance.environment.directory
    world.list_engine(world.engines['i-1'], sequence=9)
    world.store.put('keyed.servers', 'i-1', None)
    await conftest.wait_for(lambda: 'i-1' not in directory.servers)
    await list_older(world, sequence=5)
    assert await count_arrivals(world) == 0
    await list_older(world, sequence=10)
    assert await count_arrivals(world) > 0


# The same where the late entry is of a server that has said it is leaving.
async def test_leaving_server_is_not_used_after_a_late_entry(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    directory = world.instance.environment.directory
    world.list_engine(world.engines['i-1'], state='draining', sequence=9)
    await conftest.wait_for(lambda: directory.servers['i-1'].leaving)
    await list_older(world, sequence=8)
    assert await count_arrivals(world) == 0


# The same for an instance that started after the entry was removed.
@pytest.mark.parametrize(('sequence', 'is_used'), [(1, True), (9, False)])
async def test_unknown_server_is_used_once_it_is_known_to_be_alive(
    world, monkeypatch, sequence, is_used
):
    monkeypatch.setattr(servers, 'START_S', 0.0)
    await world.start([standin.answer_ok])
    engine = await world.add_engine('i-1', sequence=sequence)
    await asyncio.sleep(READ_S)
    assert (await count_arrivals(world) > 0) is is_used
    await list_older(world, sequence=sequence + 1)
    assert await count_arrivals(world) > 0
    assert engine.seen


async def test_cold_server_is_not_warm_after_a_late_entry(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    directory = world.instance.environment.directory
    await list_older(world, sequence=9, coldRemainingMs=60_000)
    await list_older(world, sequence=8)
    server = directory.servers['i-1']
    assert server.is_cold(world.instance.environment.now())
