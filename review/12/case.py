"""An engine that fails with 503 after it has run a booking."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-3'))
import world as stand  # noqa: E402

ENGINES = 3
BOOKINGS = 60
# The grey engine fails this part of its requests, as `fleetbench kinds` says.
FAILING = 0.4
WORK_S = 0.045
DEADLINE_MS = 1200
PROMISES = (408, 421, 429, 503)


def make_answer(is_grey):
    """Return what an engine does with a request."""
    failures = 0.0

    async def answer(engine, request):
        nonlocal failures
        await asyncio.sleep(WORK_S)
        failures += FAILING if is_grey else 0.0
        if failures >= 1.0:
            failures -= 1.0
            engine.record.note(
                f'engine {engine.name} answers {request.attempt} with a 503 '
                'that does not say that it has not run'
            )
            return await request.respond(503, b'internal error')
        return await request.respond(200, b'booked ' + request.body)

    return answer


async def book(world, instance, number):
    """Book as a client does; return (attempts promised not to have run)."""
    promised = []
    for attempt in (f'{number:03}-first', f'{number:03}-again'):
        status, _, _ = await stand.call(
            instance,
            '/booking/visit',
            attempt,
            DEADLINE_MS,
            body=f'{number:03}'.encode(),
        )
        world.record.note(f'client {attempt}: {status}')
        if status not in PROMISES:
            break
        promised.append(attempt)
    return promised


async def case():
    """Return whether the rule held."""
    async with stand.World(__file__) as world:
        world.store.put(
            'keyed.op',
            'config',
            stand.make_configuration(
                1, [stand.make_route('booking', 'non_idempotent')]
            ),
        )
        for number in range(1, ENGINES + 1):
            is_grey = stand.TROUBLE and number == 1
            await world.add_engine(f'i-{number}', make_answer(is_grey))
        instance = await world.add_instance('edge-1')
        refused = []
        for number in range(BOOKINGS):
            refused += await book(world, instance, number)
        broken = [found for found in refused if world.count_runs(found)]
        world.record.note(f'answered 503 though they had run: {broken}')
        twice = [
            number
            for number in range(BOOKINGS)
            if sum(
                found.startswith(f'{number:03}-')
                for engine in world.engines
                for found, _ in engine.runs
            )
            > 1
        ]
        world.record.note(f'bookings that ran twice: {twice}')
        return not broken


stand.run(case)
