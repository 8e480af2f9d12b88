"""A planned stop of one process in the first half of a good roll-out."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'support_2'))

import standins  # noqa: E402

SERVICE = 'drafts'
SESSIONS = 400
PAUSE_S = 3.0
SESSION_S = 5.0
DURATION_S = 24.0
SETTLE_S = 7.0  # Longer than contactMs after the processes' start.
STOP_AFTER_S = 4.0
EVENTS = 3
EVENT_PAUSE_S = 0.01
# The rule is broken by more than this.
MOST_MOVED = 3


class StreamEngine(standins.Engine):
    """A server that answers with a few events."""

    async def answer(self, head, reader, writer):
        """Answer a request with events."""
        self.note_run(head)
        writer.write(self.make_head(head, 0).replace(
            b'Content-Length: 0\r\n',
            b'Transfer-Encoding: chunked\r\n'
            b'Content-Type: text/event-stream\r\n',
        ))  # fmt: skip
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f'id: {number}\ndata: word\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Session:
    """Requests that follow each other within ``SESSION_S``."""

    def __init__(self, case, instance, other):
        self._case = case
        self._instance = instance
        self._other = other
        self.name = f'{random.getrandbits(64):016x}'
        # (sent, ended, attempt id) of each request that was answered.
        self.answered = []

    async def run(self, until):
        """Send requests until the time ``until``."""
        await asyncio.sleep(random.uniform(0.0, PAUSE_S))
        client = standins.Client(self._instance, self._case.record)
        while time.time() < until:
            attempt = f'{random.getrandbits(64):016x}'
            sent_at = time.time()
            answer = await client.send(
                '/draft/report', b'flue 3', attempt=attempt, deadline_ms=5000,
                headers=[('Session', self.name)],
            )  # fmt: skip
            if answer is not None and answer.status == 200:
                self.answered.append((sent_at, time.time(), attempt))
            if not client.is_open and self._instance.is_stopping:
                # The platform leads new connections to another machine.
                client = standins.Client(self._other, self._case.record)
            await asyncio.sleep(PAUSE_S)
        client.close()


async def play(case):
    """Run the case; return what breaks the rule."""
    await case.add_engines(3, SERVICE, 'v1', StreamEngine)
    configuration = standins.make_configuration(
        3, [('/draft/', SERVICE, 'streaming')], [SERVICE]
    )
    configuration['routes'][0].update(
        resumable=True, sticky=True, gapTargetMs=800
    )
    case.store.put_json('keyed.op', 'config', configuration)
    stopped, other = await case.add_instances(2)
    until = time.time() + SETTLE_S + DURATION_S / 2
    sessions = [
        Session(case, (stopped, other)[number % 2], other)
        for number in range(SESSIONS)
    ]
    runs = [asyncio.ensure_future(found.run(until)) for found in sessions]
    await asyncio.sleep(SETTLE_S)
    ordered_at = time.time()
    case.record.write('operator orders v2')
    case.store.put_json('keyed.op', f'rollout/{SERVICE}', {
        'service': SERVICE, 'target': 'v2', 'durationS': DURATION_S,
    })  # fmt: skip
    await case.add_engines(3, SERVICE, 'v2', StreamEngine)
    await asyncio.sleep(STOP_AFTER_S)
    if case.has_trouble:
        stopped.send(signal.SIGTERM)
    await asyncio.gather(*runs)
    newest = case.store.get_newest('keyed.status')
    case.record.write(f'status {newest.get(f"rollout/{SERVICE}")}')
    return check(case, sessions, ordered_at)


def check(case, sessions, ordered_at):
    """Return what breaks PINNED in the first half of the roll-out."""
    runs = case.find_runs()
    moved = []
    for session in sessions:
        before = None
        for sent_at, ended_at, attempt in session.answered:
            version = runs[attempt][0].version
            if before is not None:
                before_ended_at, before_version = before
                follows = sent_at - before_ended_at < SESSION_S
                is_first_half = sent_at - ordered_at < DURATION_S / 2
                is_moved = (before_version, version) == ('v1', 'v2')
                if follows and is_first_half and is_moved:
                    moved.append((session.name, attempt, sent_at))
            before = ended_at, version
    for name, attempt, sent_at in moved:
        case.record.write(
            f'session {name}: {attempt} ran on v2 after v1, sent '
            f'{sent_at - ordered_at:.1f} s after the order'
        )
    line = f'{len(moved)} requests ran on v2 after v1 in their session'
    case.record.write(line)
    print(line)
    return [line] if len(moved) > MOST_MOVED else []


standins.run_case('10', play)
