"""Simulated engines and jobs, on a virtual clock."""

import heapq
import itertools

import msgspec

from arbutuschute import messages

TOKEN_S = 0.02
PROMPT_S = 0.1


class Job(msgspec.Struct, eq=False):
    """One request; ``work_s`` is its time in a slot at full speed."""

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
        """Whether the job has ended."""
        return self.ended_at is not None

    @property
    def wait_s(self):
        """Seconds from arrival to a slot."""
        return self.started_at - self.arrived_at

    @property
    def total_s(self):
        """Seconds from arrival to the end."""
        return self.ended_at - self.arrived_at

    @property
    def is_in_time(self):
        """Whether the job ended by its deadline."""
        return self.is_done and self.total_s <= self.deadline_s


class _Running:
    """A job in a slot; ``left_s`` is its remaining work at ``since``."""

    __slots__ = ('done', 'end_timer', 'job', 'left_s', 'reported_s', 'since')

    def __init__(self, job, done, now):
        self.job = job
        self.done = done
        self.left_s = job.work_s
        self.since = now
        self.reported_s = 0.0
        self.end_timer = None


class SimulatedEngine:
    """An engine with slots, a priority queue and a speed that may change."""

    __slots__ = (
        '_numbers',
        '_queue',
        '_running',
        '_timer',
        'name',
        'slow_factor',
        'slots',
    )

    def __init__(self, name, slots, timer):
        self.name = name
        self.slots = slots
        self.slow_factor = 1.0
        self._timer = timer
        self._queue = []
        self._running = {}
        self._numbers = itertools.count()

    def submit(self, job, done, in_order=False):
        """Run a job; call ``done(job)`` when it has ended.

        With ``in_order`` priorities are ignored: first come, first served.
        """
        rank = (0 if in_order else job.priority, next(self._numbers))
        heapq.heappush(self._queue, (*rank, job, done))
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
        running.end_timer = self._timer.call_after(
            running.left_s * self.slow_factor, lambda: self._end(running)
        )

    def _end(self, running):
        del self._running[running.job.number]
        running.job.ended_at = self._timer.now()
        running.done(running.job)
        self._start_next()

    def withdraw(self, job):
        """Remove a job that migrates; return whether it was still here.

        A running job keeps its remaining work, plus the time in which the
        next engine reads the prompt again.
        """
        running = self._running.pop(job.number, None)
        if running is not None:
            self._advance(running)
            running.end_timer.dispose()
            job.work_s = running.left_s + PROMPT_S
            self._start_next()
            return True
        for index, entry in enumerate(self._queue):
            if entry[2] is job:
                del self._queue[index]
                heapq.heapify(self._queue)
                return True
        return False

    def _advance(self, running):
        now = self._timer.now()
        running.left_s -= (now - running.since) / self.slow_factor
        running.since = now

    def set_slow_factor(self, slow_factor):
        """Set the slow-down, also for running jobs; 1.0 is full speed."""
        for running in self._running.values():
            self._advance(running)
            running.end_timer.dispose()
        self.slow_factor = slow_factor
        for running in self._running.values():
            self._schedule(running)

    def report(self, age_s):
        """Return a load report that is ``age_s`` old on arrival."""
        return messages.LoadReport(
            self.name, len(self._running), len(self._queue), self.slots, age_s
        )

    def read_progress(self, numbers):
        """Return (seconds, tokens) of these jobs since the last call.

        This is what a router observes on its own streams.
        """
        seconds = tokens = 0.0
        for number in numbers:
            running = self._running.get(number)
            if running is None:
                continue
            self._advance(running)
            done_s = running.job.work_s - running.left_s
            tokens += (done_s - running.reported_s) / TOKEN_S
            seconds += (done_s - running.reported_s) * self.slow_factor
            running.reported_s = done_s
        return seconds, tokens
