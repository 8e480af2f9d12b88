"""A server's heartbeat is written late, after its entry was removed."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'support_2'))

import standins  # noqa: E402

SERVICE = 'booking'
CALLERS = 24
WORK_S = 0.3
SETTLE_S = 6.0  # Longer than contactMs after the processes' start.
LATE_S = 6.0  # The write whose answer is lost is done so much later.
REMOVED_AFTER_S = 4.8  # contactMs is over; the store is stable again.
EXIT_AFTER_S = 4.5  # From the removal on; drainMs and a little longer.
DRAIN_S = 2.5
SPARE_S = 0.1
LAPSE_S = 3 * standins.HEARTBEAT_S
END_AFTER_S = 14.0


async def call(case, instance, results, until):
    """Send requests, one after the other."""
    client = standins.Client(instance, case.record)
    while time.time() < until:
        attempt = f'{random.getrandbits(64):016x}'
        answer = await client.send('/book/visit', b'flue 3', attempt=attempt)
        results[attempt] = answer and answer.status
        await asyncio.sleep(random.uniform(0.05, 0.25))
    client.close()


async def leave(case, engine):
    """Let a server leave, as the pages say; return when it was removed."""
    began = time.monotonic()

    async def wait(seconds):
        await asyncio.sleep(began + seconds - time.monotonic())

    late = engine.make_entry()
    if case.has_trouble:
        case.record.write(f'the answer to {engine.name} heartbeat is lost')
    else:
        case.store.put_json('keyed.servers', engine.name, late)
    await wait(REMOVED_AFTER_S)
    engine.stop_beats()
    case.store.put('keyed.servers', engine.name, b'')
    removed_at = time.time()
    case.record.write(f'{engine.name} is removed')
    if case.has_trouble:
        await wait(LATE_S)
        case.store.put_json('keyed.servers', engine.name, late)
        case.record.write(f'the late heartbeat of {engine.name} is written')
    await wait(REMOVED_AFTER_S + EXIT_AFTER_S)
    await engine.stop()
    case.record.write(f'{engine.name} exits')
    if case.has_trouble:
        await wait(LATE_S + LAPSE_S)
        case.store.put('keyed.servers', engine.name, b'')
    return removed_at


async def play(case):
    """Run the case; return what breaks the rule."""
    engines = await case.add_engines(3, SERVICE)
    for engine in engines:
        engine.work_s = WORK_S
    case.store.put_json(
        'keyed.op',
        'config',
        standins.make_configuration(
            3, [('/book/', SERVICE, 'non_idempotent')], [SERVICE]
        ),
    )
    instances = await case.add_instances(2)
    await asyncio.sleep(SETTLE_S)
    until = time.time() + END_AFTER_S
    results = {}
    calls = [
        asyncio.ensure_future(
            call(case, instances[number % 2], results, until)
        )
        for number in range(CALLERS)
    ]
    removed_at = await leave(case, engines[0])
    await asyncio.gather(*calls)
    return check(case, engines[0], results, removed_at)


def check(case, engine, results, removed_at):
    """Return what breaks DRAIN at the server that left."""
    late = [
        (attempt, at - removed_at)
        for attempt, at in engine.runs
        if at - removed_at > DRAIN_S + SPARE_S
    ]
    if not late:
        return []
    cut = sum(results.get(attempt) != 200 for attempt, _ in late)
    line = (
        f'{len(late)} requests reached {engine.name} from {late[0][1]:.1f} to '
        f'{late[-1][1]:.1f} s after its removal, drainMs is {DRAIN_S} s; '
        f'{cut} of them ran and have no answer of the server'
    )
    case.record.write(line)
    return [line]


standins.run_case('8', play)
