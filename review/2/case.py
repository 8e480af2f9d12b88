"""Everybody is served once the last API key has been taken away.

Two organisations have one key each. The operator takes both away (``revoke``,
``last``). Later than ``revokeMs`` after that, requests with these keys, with
a key that never was, and without one must not run.
"""

import asyncio
import pathlib

from review.support import world as world_module

SERVICE = 'repartition'
NODES = ('edge-mtl-a-1', 'edge-mtl-a-2')
KEYS = {'dispatch': 'n2ctnfzs989anu6wsjnb', 'insurer': 'q7vkk3d0x1m5w8e2t4rb'}
STRANGER = 'zzzzzzzzzzzzzzzzzzzz'
# The pause between the two keys on the site's days.
GAP_S = 1.6
REVOKE_S = 5.0
SLACK_S = 1.0
ROUNDS = 10


async def play(world):
    """Take the keys away and send requests; return the broken rules."""
    await world.start_platform(SERVICE, engines=3)
    held = {name: [key] for name, key in KEYS.items()}
    _publish(world, 1, held)
    await world.start_instances(NODES)
    await _send_all(world, KEYS['dispatch'], KEYS['insurer'], STRANGER, None)
    for version, name in enumerate(KEYS, 2):
        if world_module.has_trouble():
            held = {**held, name: []}
        taken_at = _publish(world, version, held)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(REVOKE_S + SLACK_S - GAP_S)
    late = await _send_all(
        world, KEYS['dispatch'], KEYS['insurer'], STRANGER, None
    )
    await asyncio.sleep(0.5)
    return _judge(world, late, taken_at, held)


def _publish(world, version, keys):
    routes = [
        world_module.make_route('booking', 'non_idempotent', SERVICE),
        world_module.make_route('history', 'idempotent', SERVICE),
    ]
    return world.publish(
        'config',
        world_module.make_configuration(version, routes, SERVICE, keys),
    )


async def _send_all(world, *keys):
    """Send requests with each key to each instance; return their facts."""
    calls = [
        world.call(node, f'/{route}/{number}', key)
        for number in range(ROUNDS)
        for node in NODES
        for route in ('booking', 'history')
        for key in keys
    ]
    return await asyncio.gather(*calls)


def _judge(world, late, taken_at, held):
    broken = []
    valid = {key for keys in held.values() for key in keys}
    for facts in late:
        if facts['key'] in valid or not world.list_runs(facts['id']):
            continue
        after_s = facts['at'] - taken_at
        if facts['key'] in KEYS.values():
            rule = 'CONFIG'
            why = f'key taken away, sent {after_s:.1f} s after the ack'
        else:
            rule = 'ROUTE'
            why = f'key {facts["key"]}, which no configuration ever held'
        broken.append(
            f'{rule}: {facts["id"]} ran, {why}; got {facts["status"]}'
        )
    return broken


world_module.run(play, pathlib.Path(__file__).parent)
