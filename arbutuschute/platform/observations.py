"""Observations of backend servers that instances share in the store.

Each instance has a few keys of its own and overwrites the oldest. Instances
that run read every record; one that starts reads the newest of each key.
"""

import asyncio
import collections

import msgspec
from returns import result

from arbutuschute import decoding
from arbutuschute import messages
from arbutuschute.platform import reader_records
from arbutuschute.platform import retries
from arbutuschute.platform import topics
from arbutuschute.policy import backoff
from arbutuschute.policy import quarantine
from arbutuschute.policy import rate_limits
from arbutuschute.zones import fleet_size

TOPIC = 'keyed.observations'
# The store answers a read as soon as there is a record. Each read is a priced
# call.
WAIT_S = 1.8
PEER_WAIT_S = 0.9
# In an outage of the store zone peers leave it to their reader for this long,
# and the reader retries after the pause: observations may come late.
MAX_AGE_S = 10.0
PAUSE_AFTER_FAILURE_S = 1.0
# A read that waits for records confirms them up to this time ago.
CURRENT_AGE_S = 3.0
# Collects records that are written at the same moment into one read.
BATCH_S = 0.3
KEYS_PER_KIND = 8
MAX_KEY_BYTES = 200
MAX_QUEUED = 64
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
# Spreads the first writes after the store was restored. The others have read
# a record within a second or two.
REWRITE_DELAY_S = (1.0, 12.0)

_decoder = decoding.make_json_decoder(messages.Observation)


class ObservationTask:
    """Reads and writes the observations that instances share."""

    __slots__ = ('_apply_observation', '_is_queued', '_list_verdicts', '_log',
                 '_name', '_numbers', '_queue', '_random', '_report', '_store',
                 '_timer', '_topic')  # fmt: skip

    def __init__(self, store, timer, log, name, apply, zone_reader=None,
                 list_verdicts=tuple, random=None):  # fmt: skip
        self._store = store
        self._timer = timer
        self._log = log
        self._name = name
        self._apply_observation = apply
        self._list_verdicts = list_verdicts
        self._random = random
        self._numbers = collections.Counter()
        self._queue = collections.deque()
        # The newest limit report and its time, None if it is written.
        self._report = None
        self._is_queued = asyncio.Event()
        read_limits = reader_records.ReadLimits(PEER_WAIT_S, MAX_AGE_S)
        self._topic = topics.TopicFollower(
            store, timer, TOPIC, log, self._apply, zone_reader=zone_reader,
            read_limits=read_limits,
        )  # fmt: skip

    def _apply(self, record):
        self._apply_observation(_decoder.decode(record.value))

    @property
    def is_loaded(self):
        """Whether the records made before this start have been read."""
        return self._topic.position is not None

    @property
    def is_current(self):
        """Whether what others report is heard at the moment."""
        age_s = self._timer.now() - self._topic.confirmed_at
        return age_s < CURRENT_AGE_S

    def publish(self, observation):
        """Queue an observation for the other instances.

        A limit report replaces one that hasn't been written yet.
        """
        if isinstance(observation, rate_limits.LimitReport):
            self._report = observation, self._timer.now()
        else:
            self._enqueue(observation)
        self._is_queued.set()

    def handle_restore(self):
        """Write the verdicts again that the store has lost.

        Every instance knows them, so each waits for a while and writes what
        no other one has written by then.
        """
        delay_s = self._random.uniform(*REWRITE_DELAY_S)
        self._timer.call_after(delay_s, self._rewrite_verdicts)

    def _rewrite_verdicts(self):
        for verdict in self._list_verdicts():
            if not self._topic.has_key(self._make_key(verdict)):
                self.publish(verdict)

    def _enqueue(self, observation):
        if len(self._queue) >= MAX_QUEUED:
            self._log.warning(
                'observation dropped', dropped=repr(self._queue.popleft())
            )
        self._queue.append(observation)

    async def run(self):
        """Follow the topic and write what is queued, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self._write())

    async def _follow(self):
        while True:
            position = self._topic.position
            # A read without a wait shows sooner that the store is back.
            wait_s = 0.0 if self._topic.failing else WAIT_S
            answer = await self._topic.read(wait_s)
            if isinstance(answer, result.Failure):
                await self._topic.wait_after_failure(PAUSE_AFTER_FAILURE_S)
            elif self._topic.position != position:
                await self._timer.sleep(BATCH_S)

    async def _write(self):
        pauses = backoff.Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            if not self._queue and self._report is None:
                self._is_queued.clear()
                await self._is_queued.wait()
            if self._queue:
                answer = await self._write_next()
            else:
                answer = await self._write_report()
            if isinstance(answer, result.Success):
                pauses.reset()
                continue
            self._log.warning(
                'observation not written', cause=answer.failure().detail
            )
            await self._timer.sleep(self._spread(pauses.advance()))

    def _spread(self, pause_s):
        if self._random is None:
            return pause_s
        return pause_s * self._random.uniform(*retries.SPREAD)

    async def _write_next(self):
        observation = self._queue.popleft()
        answer = await self._put(observation)
        if isinstance(answer, result.Failure):
            self._queue.appendleft(observation)
        return answer

    async def _write_report(self):
        (report, made_at), self._report = self._report, None
        answer = await self._put(
            report.make_older(self._timer.now() - made_at)
        )
        if isinstance(answer, result.Failure) and self._report is None:
            self._report = report, made_at
        return answer

    async def _put(self, observation):
        return await self._store.put(
            TOPIC,
            self._make_key(observation),
            msgspec.json.encode(observation),
        )

    def _make_key(self, observation):
        """Return a key: the newest report replaces the instance's last one.

        Verdicts and the sizes of zones have their own, others take turns.
        """
        if isinstance(observation, fleet_size.ZoneSize):
            return f'zone/{observation.zone}'[:MAX_KEY_BYTES]
        if isinstance(observation, rate_limits.LimitReport):
            return f'limits/{self._name}'
        if isinstance(observation, quarantine.Verdict):
            return f'verdict/{"/".join(observation.parts)}'[:MAX_KEY_BYTES]
        kind = type(observation).__name__.lower()
        self._numbers[kind] += 1
        return f'{kind}/{self._name}/{self._numbers[kind] % KEYS_PER_KIND}'
