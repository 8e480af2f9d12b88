"""A server that has left gets work after connections fell silent.

The open connections of all machines to the store go silent without a reset,
while new ones work. A server leaves: its entry is removed, and it serves on
for some seconds. Later than ``drainMs`` after that, machines that are in
touch again must not send it any requests.
"""

import asyncio
import pathlib
import time

from review.support import world as world_module

SERVICE = 'repartition'
KEY = 'n2ctnfzs989anu6wsjnb'
DRAIN_S = 2.5
CONTACT_S = 4.0
# Past the bounds by this much, to be sure of who was in touch.
MARGIN_S = 0.1
# After the connections fell silent.
LEAVE_AFTER_S = 0.3
# It serves on for ``drainMs`` and some seconds, then exits.
SERVES_ON_S = 6.0
# The site's longest work, so that the exit finds requests at the server.
WORK_S = 0.22
SETTLE_S = 8.0
PERIOD_S = 0.1


async def play(world):
    """Silence the connections under traffic; return broken rules."""
    await world.start_platform(SERVICE, engines=3)
    for engine in world.engines.values():
        engine.work_s = WORK_S
    routes = [
        world_module.make_route('booking', 'non_idempotent', SERVICE),
        world_module.make_route('history', 'idempotent', SERVICE),
    ]
    world.publish(
        'config',
        world_module.make_configuration(
            1, routes, SERVICE, {'dispatch': [KEY]}
        ),
    )
    await world.start_instances()
    traffic = asyncio.ensure_future(_send(world))
    await asyncio.sleep(SETTLE_S)
    silenced_at = time.monotonic()
    if world_module.has_trouble():
        count = sum(link.silence() for link in world.links.values())
        world.note('silent', connections=count)
    await asyncio.sleep(LEAVE_AFTER_S)
    leaving = world.engines['i-2']
    left_at = leaving.leave(world.store)
    world.note('acknowledged', 'servers/i-2', removed=True)
    await asyncio.sleep(SERVES_ON_S)
    world.note('exits', 'i-2', running=leaving.active)
    await leaving.crash()
    await asyncio.sleep(1.0)
    traffic.cancel()
    return _judge(world, silenced_at + CONTACT_S, left_at + DRAIN_S)


async def _send(world):
    """Send requests to all machines all the while."""
    calls = set()
    number = 0
    while True:
        for node in world_module.NODES:
            number += 1
            path = f'/{("booking", "history")[number % 2]}/{number}'
            calls.add(asyncio.ensure_future(world.call(node, path, KEY)))
        await asyncio.sleep(PERIOD_S)


def _judge(world, in_touch_at, drained_at):
    sent = {facts['id']: facts for facts in world.answers}
    broken = []
    for run in world.runs:
        facts = sent.get(run['id'])
        if run['engine'] != 'i-2' or facts is None:
            continue
        late_s = run['at'] - drained_at
        is_in_touch = facts['at'] >= in_touch_at + MARGIN_S
        if is_in_touch and late_s > MARGIN_S:
            broken.append(
                f'DRAIN: {run["id"]} reached i-2 {late_s:.3f} s later than '
                f'drainMs; the client got {facts["status"]}'
            )
    return broken


world_module.run(play, pathlib.Path(__file__).parent)
