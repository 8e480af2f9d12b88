"""A roll-out is taken back by an order for the version before."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'support_2'))

import standins  # noqa: E402

SERVICE = 'booking'
CALLERS = 30
DURATION_S = 24.0
SETTLE_S = 6.0  # Longer than contactMs after the processes' start.
UNDO_AFTER_S = 2.0
BAD_SHARE = 0.5
EXPOSURE_SHARE = 0.15
EXPOSURE_SLACK = 30


class BadEngine(standins.Engine):
    """A server of a bad version: a part of its answers are failures."""

    async def answer(self, head, reader, writer):
        """Answer a request, or fail it."""
        self.note_run(head)
        await asyncio.sleep(self.work_s)
        answer = self.make_head(head, 0)
        if random.random() < BAD_SHARE:
            answer = answer.replace(b'200 OK', b'500 Failed')
        writer.write(answer)
        await writer.drain()


def order(case, target):
    """Order a roll-out to the version ``target``."""
    case.record.write(f'operator orders {target}')
    case.store.put_json('keyed.op', f'rollout/{SERVICE}', {
        'service': SERVICE, 'target': target, 'durationS': DURATION_S,
    })  # fmt: skip


async def call(case, instance, results, until):
    """Send requests, one after the other."""
    client = standins.Client(instance, case.record)
    while time.time() < until:
        attempt = f'{random.getrandbits(64):016x}'
        sent_at = time.time()
        answer = await client.send(
            '/book/visit', b'flue 3', attempt=attempt,
            headers=[('Session', attempt)],
        )  # fmt: skip
        results.append((sent_at, attempt, answer and answer.status))
        await asyncio.sleep(random.uniform(0.2, 0.6))
    client.close()


async def drain_rolled_back(case, engines):
    """Let the new servers leave some seconds after they are rolled back."""
    while True:
        await asyncio.sleep(0.2)
        newest = case.store.get_newest('keyed.status')
        _, status = newest.get(f'rollout/{SERVICE}', (0, b''))
        if b'"v2"' in status and b'rolled_back' in status:
            await asyncio.sleep(3.0)
            for engine in engines:
                engine.state = 'draining'
            return


async def play(case):
    """Run the case; return what breaks the rule."""
    await case.add_engines(3, SERVICE, 'v1')
    case.store.put_json('keyed.op', 'config', standins.make_configuration(
        3, [('/book/', SERVICE, 'non_idempotent')], [SERVICE]
    ))  # fmt: skip
    instances = await case.add_instances(2)
    until = time.time() + SETTLE_S + DURATION_S
    results = []
    calls = [
        asyncio.ensure_future(
            call(case, instances[number % 2], results, until)
        )
        for number in range(CALLERS)
    ]
    await asyncio.sleep(SETTLE_S)
    ordered_at = time.time()
    order(case, 'v2')
    added = await case.add_engines(3, SERVICE, 'v2', BadEngine)
    draining = asyncio.ensure_future(drain_rolled_back(case, added))
    if case.has_trouble:
        await asyncio.sleep(UNDO_AFTER_S)
        order(case, 'v1')
    await asyncio.gather(*calls)
    draining.cancel()
    return check(case, results, ordered_at)


def check(case, results, ordered_at):
    """Return what breaks EXPOSURE from the first order to its deadline."""
    runs = case.find_runs()
    counted = [found for found in results if found[0] >= ordered_at]
    total = sum(attempt in runs for _, attempt, _ in counted)
    exposed = [
        (status, sent_at - ordered_at)
        for sent_at, attempt, status in counted
        if attempt in runs and runs[attempt][0].version == 'v2'
    ]
    allowed = EXPOSURE_SHARE * total + EXPOSURE_SLACK
    statuses = collections.Counter(status for status, _ in exposed)
    line = (
        f'v2 got {len(exposed)} of {total} requests between the order and '
        f'its deadline, allowed {allowed:.0f}; answers {dict(statuses)}'
    )
    case.record.write(line)
    print(line)
    return [line] if len(exposed) > allowed else []


standins.run_case('6', play)
