"""Open connections to the store fall silent, while new ones work.

Guards against taking that for an outage, in which removals of servers wait
for entries to be renewed: a server that has left got requests for seconds.
"""

import asyncio

from tests.platform import conftest
from tests.platform import standin

# Machines are judged again this long after their connections fell silent.
CONTACT_S = 4.0
SETTLE_S = 2.5


async def test_server_that_leaves_is_removed_in_time(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    await asyncio.sleep(SETTLE_S)
    world.store.silence.begin()
    world.store.put('keyed.servers', 'i-1', None)
    servers = world.instance.environment.directory.servers
    await conftest.wait_for(lambda: 'i-1' not in servers, CONTACT_S)
    assert not world.instance.servers.is_failing


async def test_server_whose_entry_lapsed_in_an_outage_is_kept(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    world.store.fault = 'silent'
    await conftest.wait_for(lambda: world.instance.servers.is_failing)
    world.store.put('keyed.servers', 'i-1', None)
    world.store.fault = None
    await conftest.wait_for(lambda: not world.instance.servers.is_failing)
    assert 'i-1' in world.instance.environment.directory.servers
