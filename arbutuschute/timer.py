"""The timer service: the only source of time in a process."""

import asyncio
import datetime
import time

import reactivex
from reactivex import operators
from reactivex.scheduler import eventloop
from reactivex.scheduler import virtualtimescheduler


class Timer:
    """A monotonic clock in seconds, with periodic ticks to subscribe to."""

    __slots__ = ('_scheduler', '_clock', '_wall')

    def __init__(self, scheduler, clock, wall):
        self._scheduler = scheduler
        self._clock = clock
        self._wall = wall

    def now(self):
        """Return monotonic seconds; only differences are meaningful."""
        return self._clock()

    def wall(self):
        """Return seconds since the epoch, for timestamps in records."""
        return self._wall()

    def every(self, period_s):
        """Return an observable that emits ``now()`` each ``period_s``."""
        return reactivex.interval(period_s, scheduler=self._scheduler).pipe(
            operators.map(lambda _: self.now())
        )

    def call_after(self, delay_s, callback):
        """Call ``callback()`` once after ``delay_s``; return a disposable."""
        return self._scheduler.schedule_relative(
            delay_s, lambda *_: callback() and None
        )

    async def sleep(self, delay_s):
        """Wait for ``delay_s`` seconds of this timer's time."""
        done = asyncio.get_running_loop().create_future()
        waiting = self.call_after(
            delay_s, lambda: done.done() or done.set_result(None)
        )
        try:
            await done
        finally:
            waiting.dispose()


class VirtualTimer(Timer):
    """A timer whose time advances only by ``advance``, for tests."""

    __slots__ = ()

    def __init__(self, start_s=0.0):
        scheduler = virtualtimescheduler.VirtualTimeScheduler(start_s)

        def read():
            clock = scheduler.clock
            if isinstance(clock, datetime.datetime):
                return clock.timestamp()
            return float(clock)

        super().__init__(scheduler, read, read)

    def advance(self, seconds):
        """Advance time by ``seconds`` and run what becomes due."""
        self._scheduler.advance_by(seconds)


def make_real(loop):
    """Return a timer on the clock of an asyncio event loop."""
    return Timer(eventloop.AsyncIOScheduler(loop), loop.time, time.time)


def make_suspend_aware(loop):
    """Return a timer whose clock keeps running during a suspend."""
    return Timer(
        eventloop.AsyncIOScheduler(loop),
        lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
        time.time,
    )
