"""Roll-outs of a version that answers several times slower, but in time.

Guards against completing such a roll-out: while engines have free capacity,
even the slow version stays far below the targets of its routes.
"""

import asyncio
import itertools

import pytest

from tests.platform import standin

EVENTS = 4
GAP_S = 0.01
CALLERS = 24
DURATION_S = 8


def decode_state(raw):
    """Return the state in a status record, None without one."""
    if raw is None:
        return None
    return raw.split(b'"state":"')[1].split(b'"')[0].decode()


async def play_rollout(world, gap_s, path='/stream/x'):
    """Roll out a version with its own gap; return how that ended."""
    await world.start([standin.make_stream(EVENTS, gap_s=GAP_S)])
    new = standin.make_stream(EVENTS, gap_s=gap_s)
    await world.add_engine('i-new', new, version='v2')
    numbers = itertools.count()

    async def send_in_turn():
        while True:
            headers = {'Arbutuschute-Attempt-Id': f'{next(numbers)}'}
            async with world.call(path, headers=headers) as response:
                await response.read()

    senders = [asyncio.ensure_future(send_in_turn()) for _ in range(CALLERS)]
    try:
        await asyncio.sleep(1.0)
        order = {'service': 'plain', 'target': 'v2', 'durationS': DURATION_S}
        world.store.put('keyed.op', 'rollout/plain', order)
        async with asyncio.timeout(DURATION_S + 5):
            state = None
            while state in (None, 'in_progress'):
                await asyncio.sleep(0.05)
                state = decode_state(
                    world.store.find('keyed.status', 'rollout/plain')
                )
        return state
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)


@pytest.mark.timeout(60)
async def test_version_five_times_slower_within_its_targets_is_rolled_back(
    world,
):
    assert await play_rollout(world, 5 * GAP_S) == 'rolled_back'


@pytest.mark.timeout(60)
async def test_version_of_the_same_pace_is_completed(world):
    assert await play_rollout(world, GAP_S) == 'completed'
