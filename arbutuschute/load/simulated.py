"""Small fakes at the interfaces, on a virtual clock: engines and jobs."""

import heapq
import itertools

import msgspec

from arbutuschute import messages

TOKEN_S = 0.02
PROMPT_S = 0.1


class Job(msgspec.Struct, eq=False):
    """One request; ``work_s`` is its time in a slot of an unslowed engine."""

    number: int
    arrived_at: float
    work_s: float
    organisation: str = ''
    class_name: str = 'default'
    priority: int = 5
    deadline_s: float = 1e9
    started_at: float | None = None
    ended_at: float | None = None
    refused: bool = False

    @property
    def is_done(self):
        """Whether the answer is whole."""
        return self.ended_at is not None

    @property
    def wait_s(self):
        """Seconds until a slot was found."""
        return self.started_at - self.arrived_at

    @property
    def total_s(self):
        """Seconds until the answer was whole."""
        return self.ended_at - self.arrived_at

    @property
    def is_in_time(self):
        """Whether the answer was whole by its deadline."""
        return self.is_done and self.total_s <= self.deadline_s


class _Running:
    """A job in a slot: what is left of its work as of ``since``."""

    __slots__ = ('done', 'ending', 'job', 'left_s', 'since', 'told_s')

    def __init__(self, job, done, now):
        self.job = job
        self.done = done
        self.left_s = job.work_s
        self.since = now
        self.told_s = 0.0
        self.ending = None


class SimulatedEngine:
    """An engine with slots, a queue by priority, and slow moments."""

    __slots__ = (
        '_numbers',
        '_queue',
        '_running',
        '_timer',
        'factor',
        'name',
        'slots',
    )

    def __init__(self, name, slots, timer):
        self.name = name
        self.slots = slots
        self.factor = 1.0
        self._timer = timer
        self._queue = []
        self._running = {}
        self._numbers = itertools.count()

    def submit(self, job, done, in_order=False):
        """Run a job; call ``done(job)`` when it has ended.

        ``in_order`` is first come, first served: priorities are ignored.
        """
        place = (0 if in_order else job.priority, next(self._numbers))
        heapq.heappush(self._queue, (*place, job, done))
        self._start_next()

    def _start_next(self):
        while self._queue and len(self._running) < self.slots:
            *_, job, done = heapq.heappop(self._queue)
            now = self._timer.now()
            if job.started_at is None:
                job.started_at = now
            running = _Running(job, done, now)
            self._running[job.number] = running
            self._schedule(running)

    def _schedule(self, running):
        running.ending = self._timer.call_after(
            running.left_s * self.factor, lambda: self._end(running)
        )

    def _end(self, running):
        del self._running[running.job.number]
        running.job.ended_at = self._timer.now()
        running.done(running.job)
        self._start_next()

    def withdraw(self, job):
        """Stop a job that moves away; return whether it was here still.

        Its work shrinks to what is left and the prompt read once more.
        """
        running = self._running.pop(job.number, None)
        if running is not None:
            self._advance(running)
            running.ending.dispose()
            job.work_s = running.left_s + PROMPT_S
            self._start_next()
            return True
        for place, entry in enumerate(self._queue):
            if entry[2] is job:
                del self._queue[place]
                heapq.heapify(self._queue)
                return True
        return False

    def _advance(self, running):
        now = self._timer.now()
        running.left_s -= (now - running.since) / self.factor
        running.since = now

    def set_factor(self, factor):
        """Slow down, or up again, also what runs already."""
        for running in self._running.values():
            self._advance(running)
            running.ending.dispose()
        self.factor = factor
        for running in self._running.values():
            self._schedule(running)

    def report(self, age_s):
        """Return the load report that arrives ``age_s`` late."""
        return messages.LoadReport(
            self.name, len(self._running), len(self._queue), self.slots, age_s
        )

    def read_progress(self, numbers):
        """Return (seconds, tokens) since the last call, of these jobs.

        It is what a caller sees of its own streams between tokens.
        """
        seconds = tokens = 0.0
        for number in numbers:
            running = self._running.get(number)
            if running is None:
                continue
            self._advance(running)
            done_s = running.job.work_s - running.left_s
            tokens += (done_s - running.told_s) / TOKEN_S
            seconds += (done_s - running.told_s) * self.factor
            running.told_s = done_s
        return seconds, tokens
