"""A request that may run once runs twice: its engine's answer is lost.

Half of the engines lose the answers of a fifth of the requests for four
seconds (``answer_lost``, ``reset``): they run the request and then reset its
connection. Requests with POST, PUT and DELETE go to a route whose kind is
``non_idempotent``, which allows each one run.
"""

import asyncio
import pathlib

from review.support import world as world_module

SERVICE = 'repartition'
KEY = 'n2ctnfzs989anu6wsjnb'
NODES = ('edge-mtl-a-1', 'edge-mtl-a-2')
METHODS = ('POST', 'PUT', 'DELETE')
ENGINES = 4
LOSING_ENGINES = 2
LOST_SHARE = 0.2
LOST_S = 4.0
STEADY_S = 2.0
PAUSE_S = 0.1


async def play(world):
    """Send the requests; return a line for each that ran twice."""
    await world.start_platform(SERVICE, ENGINES)
    routes = [world_module.make_route('booking', 'non_idempotent', SERVICE)]
    world.publish(
        'config',
        world_module.make_configuration(
            1, routes, SERVICE, {'dispatch': [KEY]}
        ),
    )
    await world.start_instances(NODES)
    traffic = asyncio.ensure_future(_send_all(world))
    await asyncio.sleep(STEADY_S)
    if world_module.has_trouble():
        _lose_answers(world, LOST_SHARE)
    await asyncio.sleep(LOST_S)
    _lose_answers(world, 0.0)
    # A second run that begins after the answer counts as well.
    await traffic
    await asyncio.sleep(1.0)
    return [
        f'TWICE: {facts["method"]} {facts["id"]} ran {runs} times; '
        f'the client got {facts["status"]}'
        for facts in world.answers
        if (runs := len(world.list_runs(facts['id']))) > 1
    ]


async def _send_all(world):
    calls = []
    for number in range(int((STEADY_S + LOST_S) / PAUSE_S)):
        calls += [
            asyncio.ensure_future(
                world.call(node, f'/booking/{number}', KEY, method, b'visit')
            )
            for node in NODES
            for method in METHODS
        ]
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*calls)


def _lose_answers(world, share):
    """Let some engines lose a share of the answers: each fifth, for 0.2."""
    for engine in list(world.engines.values())[:LOSING_ENGINES]:
        engine.losses.share = share


world_module.run(play, pathlib.Path(__file__).parent)
