"""Lists this instance's sessions for the others, see ``policy.sessions``."""

import asyncio

from returns import result

from arbutuschute.platform import retries
from arbutuschute.platform import rollouts as rollout_topic
from arbutuschute.policy import backoff
from arbutuschute.policy import rollout_records

# Sessions may still begin on the old version, as long as no server of the new
# one is listed.
REPEAT_S = 4.0
# Records of other instances may tell that a roll-out began earlier.
CHECK_PERIOD_S = 0.4
# Instances read the order at the same moment.
SPREAD_S = 0.2
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0


class SessionListTask:
    """Writes the sessions that this instance has seen on an old version."""

    __slots__ = ('_has_order', '_log', '_name', '_random', '_rollouts',
                 '_store', '_timer', '_written_at_stop')  # fmt: skip

    def __init__(self, store, timer, log, random, name, rollouts):
        self._store = store
        self._timer = timer
        self._log = log
        self._random = random
        self._name = name
        self._rollouts = rollouts
        self._has_order = asyncio.Event()
        # The sessions last written by a stop, by service.
        self._written_at_stop = {}

    def handle_order(self):
        """Note that there is a new order, or that one is in the log again."""
        self._has_order.set()

    async def run(self):
        """List sessions before the first step of each order, until cancelled.

        Sessions that begin after that are listed when the step takes effect.
        """
        pauses = backoff.Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            self._has_order.clear()
            if await self._write_due():
                pauses.reset()
                await self._wait(self._find_pause_s())
            else:
                await self._wait(pauses.advance())

    async def _wait(self, seconds):
        """Wait until the time is over, unless it is None, or for an order."""
        if seconds is None:
            await self._has_order.wait()
            return
        seconds += SPREAD_S * self._random.random()
        await retries.wait_for_any(self._timer, seconds, (self._has_order,))

    def _find_pause_s(self):
        """Return the seconds until the next list is due, None if none is."""
        now = self._timer.now()
        pauses = []
        for rollout in self._rollouts.by_service.values():
            if not rollout.is_before_ramp(now):
                continue
            ahead = [
                min(at - now, CHECK_PERIOD_S)
                for at in rollout.listing_times
                if at > now
            ]
            pauses.append(min(ahead, default=REPEAT_S))
        return min(pauses, default=None)

    async def _write_due(self):
        """Write what is due; return whether all of it was written."""
        now = self._timer.now()
        is_written = True
        for rollout in list(self._rollouts.by_service.values()):
            if now < rollout.listing_times[0]:
                continue
            record = self._rollouts.list_sessions(rollout)
            if record is None:
                continue
            is_written &= await self._put(record)
        return is_written

    async def write_at_stop(self):
        """Write all sessions for the instances that they go to."""
        for record in self._rollouts.list_sessions_at_stop():
            if self._written_at_stop.get(record.service) == record.versions:
                continue
            if await self._put(record):
                self._written_at_stop[record.service] = record.versions

    async def _put(self, record):
        """Write a record, which replaces this machine's last one."""
        answer = await self._store.put(
            rollout_topic.TOPIC,
            f'sessions/{record.service}/{self._name}',
            rollout_records.encode(record),
        )
        is_written = isinstance(answer, result.Success)
        if is_written:
            self._rollouts.confirm_listed(record)
        self._log.info(
            'sessions listed',
            service=record.service,
            order=record.order,
            sessions={
                version: len(packed) // 4
                for version, packed in record.versions.items()
            },
            written=is_written,
        )
        return is_written
