"""A zone's reader that the store turns away, and records that expire."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-3'))
import world as stand  # noqa: E402

WORK_S = 0.045
REQUESTS_PER_S = 40
DEADLINE_MS = 1200
ENGINES = 3
SETTLE_S = 8.0
# The store turns the zone's reader away this long after it has taken the
# removal, and the records expire later than that.
AWAY_AFTER_S = 0.05
FORGET_AFTER_S = 2.6
# The engine that is removed serves on for drainMs and a little longer.
SERVES_S = 4.0
AWAY_S = 9.0
SLACK_S = 0.1


async def answer(engine, request):
    """Answer a booking at an engine."""
    await asyncio.sleep(WORK_S)
    return await request.respond(200, b'booked')


async def send_all(world, instance, results):
    """Send bookings at a steady rate until cancelled."""

    async def book(attempt):
        status, _, _ = await stand.call(
            instance, '/booking/visit', attempt, DEADLINE_MS
        )
        results[attempt] = status

    number = 0
    began = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(book(f'booking-{number}'))
            number += 1
            due = began + number / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))


async def sleep_until(moment):
    """Wait until a time of the steady clock."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def case():
    """Return whether the rule held."""
    async with stand.World(__file__) as world:
        note = world.record.note
        route = stand.make_route('booking', 'non_idempotent')
        world.store.put(
            'keyed.op', 'config', stand.make_configuration(1, [route])
        )
        for number in range(ENGINES):
            engine = await world.add_engine(f'i-{number + 1}', answer)
            engine.is_noted = False
        door = stand.Door(world.store)
        await door.open()
        reader = await world.add_instance('edge-1', door)
        await asyncio.sleep(3.0)
        peer = await world.add_instance('edge-2')
        results = {}
        sending = asyncio.ensure_future(send_all(world, peer, results))
        await asyncio.sleep(SETTLE_S)
        (entry, _), *_ = world.store.list_newest('keyed.readers').values()
        if reader.host.encode() not in entry:
            raise stand.CannotRun('edge-1 is not the reader of its zone')
        removed = world.unlist(engine)
        note(f'{engine.name} is removed; it serves on for {SERVES_S} s')
        await asyncio.sleep(AWAY_AFTER_S)
        if stand.TROUBLE:
            door.is_closed = True
            note('the store turns edge-1 away')
        await sleep_until(removed + FORGET_AFTER_S)
        world.store.forget('keyed.servers')
        note('the records of engines so far expire, but the newest of each')
        await sleep_until(removed + SERVES_S)
        await engine.crash()
        await sleep_until(removed + AWAY_S)
        door.is_closed = False
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        bound_s = stand.BOUNDS['drainMs'] / 1000 + SLACK_S
        after = [at - removed for _, at in engine.runs if at > removed]
        late = [at_s for at_s in after if at_s > bound_s]
        known_s = max((at_s for at_s in after if at_s <= bound_s), default=0)
        note(f'last booking to {engine.name} in time: {known_s:.2f} s')
        note(
            f'bookings later than drainMs: {len(late)}, '
            f'at {[round(at_s, 2) for at_s in late]} s'
        )
        ran = {attempt for attempt, _ in engine.runs}
        lost = [a for a, status in results.items() if status != 200]
        note(
            f'{len(results)} bookings; not answered with 200: '
            f'{[(a, results[a], a in ran) for a in lost]} '
            f'(status, has run at {engine.name})'
        )
        await door.close()
        return not late


stand.run(case)
