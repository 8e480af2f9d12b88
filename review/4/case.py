"""A revoked key is used for longer than allowed after a freeze.

A machine waits for news at the store. As the answer, a new configuration, is
on its way to it, the machine freezes (``node_freeze``, ``renewed``). Then the
store turns it away for a while (``platform_down``, ``nodes busy revoke``):
keys are taken away at once. Later than ``revokeMs`` after that, no request
with such a key may run.
"""

import asyncio
import pathlib
import signal
import time

from review.support import world as world_module

SERVICE = 'repartition'
# The machine that reads the store for this zone has the trouble.
ZONE = 'mtl-a'
KEPT, TAKEN = 'n2ctnfzs989anu6wsjnb', 'q7vkk3d0x1m5w8e2t4rb'
REVOKE_S = 5.0
# Within the longest freeze (3.5 s) and the longest cut of the site.
FREEZE_S = 2.5
CUT_S = 9.0
# The configuration changes this long after the machine began to wait, and the
# machine freezes and the store turns it away as the answer is on its way.
CHANGE_AFTER_S = 0.1
CUT_AFTER_S = 0.1
# A wait this long or longer is one without failures before it.
LONG_WAIT_S = 1.5
PERIOD_S = 0.05
STEADY_S = 3.0


async def play(world):
    """Play the freeze and the cut under traffic; return broken rules."""
    await world.start_platform(SERVICE, engines=3)
    _publish(world, 1, [TAKEN])
    await world.start_instances()
    node = await world.find_reader(ZONE)
    traffic = asyncio.ensure_future(_send(world, node))
    await asyncio.sleep(STEADY_S)
    await _wait_for_poll(world.store, node)
    await asyncio.sleep(CHANGE_AFTER_S)
    trouble = world_module.has_trouble()
    if trouble:
        world.signal(node, signal.SIGSTOP)
    _publish(world, 2, [TAKEN], timeout_ms=1100)
    await asyncio.sleep(CUT_AFTER_S)
    if trouble:
        world.store.turned_away.add(node)
        world.note('store turns away', node)
    taken_at = _publish(world, 3, [], timeout_ms=1100)
    await asyncio.sleep(FREEZE_S - CUT_AFTER_S)
    if trouble:
        world.signal(node, signal.SIGCONT)
    await asyncio.sleep(taken_at + CUT_S - time.monotonic())
    world.store.turned_away.clear()
    world.note('store serves all')
    await asyncio.sleep(STEADY_S)
    traffic.cancel()
    await asyncio.sleep(0.5)
    return _judge(world, taken_at)


def _publish(world, version, keys, timeout_ms=1200):
    routes = [
        world_module.make_route(
            'booking', 'non_idempotent', SERVICE, timeoutMs=timeout_ms
        )
    ]
    return world.publish(
        'config',
        world_module.make_configuration(
            version, routes, SERVICE, {'dispatch': [KEPT], 'insurer': keys}
        ),
    )


async def _wait_for_poll(store, node):
    """Wait until the machine has begun to wait for the operator's news."""
    begun = asyncio.Event()

    def handle(caller, topic, wait_s):
        is_long = topic == 'keyed.op' and wait_s >= LONG_WAIT_S
        if caller == node and is_long:
            begun.set()

    store.on_wait = handle
    await begun.wait()


async def _send(world, node):
    """Send requests with both keys all the while."""
    calls = set()
    number = 0
    while True:
        for key in (KEPT, TAKEN):
            number += 1
            call = world.call(node, f'/booking/{number}', key)
            calls.add(asyncio.ensure_future(call))
        await asyncio.sleep(PERIOD_S)


def _judge(world, taken_at):
    broken = []
    for facts in world.answers:
        late_s = facts['at'] - taken_at - REVOKE_S
        if facts['key'] != TAKEN or late_s <= 0:
            continue
        if world.list_runs(facts['id']):
            broken.append(
                f'CONFIG: {facts["id"]} ran, sent {late_s:.3f} s later than '
                f'revokeMs after the ack; got {facts["status"]}'
            )
    return broken


world_module.run(play, pathlib.Path(__file__).parent)
