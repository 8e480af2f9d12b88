"""An order for the version that serves, while an earlier one is tried."""

import asyncio

from tests.platform import conftest
from tests.platform import standin

DURATION_S = 6.0
REQUESTS = 30


def order(world, version):
    found = {'service': 'plain', 'target': version, 'durationS': DURATION_S}
    world.store.put('keyed.op', 'rollout/plain', found)


async def wait_for_order(world, version):
    rollouts = world.instance.environment.rollouts.by_service
    await conftest.wait_for(
        lambda: (
            'plain' in rollouts and rollouts['plain'].order.version == version
        )
    )


async def send(world):
    for number in range(REQUESTS):
        headers = {'Arbutuschute-Attempt-Id': f'r-{number}'}
        async with world.call('/again/x', headers=headers) as response:
            assert response.status == 200


# Guards against sending all requests to a bad version: the operator takes its
# order back by one for the version that serves.
async def test_order_back_leaves_the_version_in_use(world):
    await world.start()
    order(world, 'v2')
    await wait_for_order(world, 'v2')
    bad = await world.add_engine('i-new', standin.answer_error, version='v2')
    directory = world.instance.environment.directory
    await conftest.wait_for(lambda: 'i-new' in directory.servers)
    order(world, 'v1')
    await wait_for_order(world, 'v1')
    rollout = world.instance.environment.rollouts.by_service['plain']
    while not rollout.is_settled:
        await send(world)
        await asyncio.sleep(0.2)
    assert not bad.seen
    status = world.store.find('keyed.status', 'rollout/plain')
    assert b'completed' in status
    await send(world)
    assert not bad.seen
