"""A SIGHUP for a process that is starting."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-3'))
import world as stand  # noqa: E402

MACHINES = 2
ROUNDS = 3
# The settings change on all machines while some of them are restarted.
SIGHUP_AFTER_S = 0.1
SETTLE_S = 2.0


async def answer(engine, request):
    """Answer a request at an engine."""
    return await request.respond(200, b'ok')


async def restart(world, instance):
    """Stop an instance, start it again; return whether it ended by itself."""
    note = world.record.note
    note(f'SIGTERM to {instance.name}')
    instance.signal(signal.SIGTERM)
    code = await instance.wait_for_end(stand.BOUNDS['graceS'])
    note(f'{instance.name} stopped with {code}')
    instance.start()
    began = time.monotonic()
    if stand.TROUBLE:
        await asyncio.sleep(SIGHUP_AFTER_S)
        instance.signal(signal.SIGHUP)
        note(
            f'SIGHUP to {instance.name}, '
            f'{time.monotonic() - began:.2f} s after its start'
        )
    if await instance.wait_until_ready():
        note(f'{instance.name} is ready')
        return False
    note(f'{instance.name} has ended with {instance.process.returncode}')
    # As the platform does with a process that exits.
    instance.start()
    if not await instance.wait_until_ready():
        raise stand.CannotRun(f'{instance.name} does not start')
    return True


async def restart_all(world, instance):
    """Return how often an instance ended by itself."""
    ends = 0
    for _ in range(ROUNDS):
        ends += await restart(world, instance)
        await asyncio.sleep(SETTLE_S)
    return ends


async def case():
    """Return whether the rule held."""
    async with stand.World(__file__) as world:
        route = stand.make_route('booking', 'non_idempotent')
        world.store.put(
            'keyed.op', 'config', stand.make_configuration(1, [route])
        )
        await world.add_engine('i-1', answer)
        for number in range(MACHINES):
            await world.add_instance(f'edge-{number + 1}')
        ends = await asyncio.gather(
            *(restart_all(world, found) for found in world.instances)
        )
        world.record.note(f'processes that ended by themselves: {ends}')
        return not (sum(found >= ROUNDS for found in ends) >= MACHINES)


stand.run(case)
