"""One attempt: send a request to a server and relay its answer."""

import asyncio
import contextlib
import math

import msgspec

from arbutuschute import errors
from arbutuschute.links import engine
from arbutuschute.policy import migration
from arbutuschute import pools
from arbutuschute import progress
from arbutuschute import rollouts
from arbutuschute.traffic import events

MAX_RESUMES = 2
CHAT_PATH = '/v1/chat/completions'


class _StreamMigrated(Exception):
    """Signals that a stream continues at another server."""

    def __init__(self, target):
        super().__init__()
        self.target = target


async def run(environment, work, version, server, reply, bill):
    """Run one attempt within the deadline.

    ``version`` is None for a plain service. Raises the ``Failure`` that
    ends the attempt.
    """
    remaining_s = work.deadline_at - environment.timer.now()
    if remaining_s <= 0:
        raise errors.DeadlinePassed(work.deadline_ms).mark_ran(work.ran)
    attempt = Attempt(environment, work, version, reply, bill, remaining_s)
    try:
        if version is None:
            await attempt.call_service(server)
        elif work.stream:
            await attempt.stream(server)
        else:
            await attempt.fetch(server)
    except errors.Failure as failure:
        rollouts.record_failure(environment, work, version, failure)
        raise


class Attempt:
    """One attempt to answer a request at a server.

    A stream may continue at other servers within the same attempt.
    """

    __slots__ = (
        '_body',
        '_bill',
        '_environment',
        '_remaining_s',
        '_reply',
        '_version',
        '_work',
    )

    def __init__(self, environment, work, version, reply, bill, remaining_s):
        self._environment = environment
        self._work = work
        self._version = version
        self._reply = reply
        self._bill = bill
        self._remaining_s = remaining_s
        self._body = work.body if version is None else self._encode_chat()

    def _encode_chat(self):
        body = dict(self._work.body)
        body['model'] = ':'.join(self._version.pair)
        body['priority'] = self._work.work_class.priority
        return msgspec.json.encode(body)

    @contextlib.asynccontextmanager
    async def _open(self, server, path, session=None, method='POST', **extra):
        """Open the attempt's connection; check the response's echo.

        Yields the response. ``extra`` are further request headers.
        """
        environment, work = self._environment, self._work
        work.progress = progress.Progress.NONE
        work.sent_at = environment.timer.now()
        server.begin(work.sent_at)
        try:
            async with engine.open_attempt(
                session or environment.http,
                server,
                path,
                {'X-Request-Id': work.id, **extra},
                self._body,
                self._remaining_s,
                method,
            ) as response:
                work.record_ran(errors.Ran.UNKNOWN)
                if self._version is not None and response.status != 200:
                    raise errors.AnswerBroken(server.name).mark_ran(
                        errors.Ran.UNKNOWN
                    )
                engine.check_echo(response, work.id, server)
                if engine.is_leaving(response):
                    server.leaving = True
                environment.limit_reports.record(
                    server, engine.read_rate_limit(response), response.ok
                )
                work.progress = progress.Progress.HEAD
                yield response
        except asyncio.CancelledError:
            work.record_ran(errors.Ran.UNKNOWN)
            raise
        except errors.EngineRefused as refusal:
            environment.limit_reports.record(
                server, refusal.rate_limit, is_success=False
            )
            raise
        finally:
            server.finish(environment.timer.now())

    def _compute_left_s(self):
        """Return the seconds until the deadline."""
        return self._work.deadline_at - self._environment.timer.now()

    async def fetch(self, server):
        """Fetch a complete answer and pass it to the caller."""
        work = self._work
        started_at = self._environment.timer.now()
        async with self._open(server, CHAT_PATH) as response:
            body, usage = await engine.read_whole(
                response,
                work.id,
                server,
                self._compute_left_s(),
                self._environment.large_bodies,
            )
        work.record_ran(errors.Ran.YES)
        self._record_answered()
        rollouts.record_answer(
            self._environment,
            work,
            self._version,
            self._environment.timer.now() - started_at,
            usage.completion_tokens,
        )
        await self._reply.answer_whole(
            self._bill, body, usage, self._version, server
        )

    def _record_answered(self):
        self._work.progress = progress.Progress.EVENTS
        self._environment.crash_reports.record_answer(self._work.prompt_parts)

    async def stream(self, server):
        """Relay a stream; resume it elsewhere if it breaks or slows down."""
        work = self._work
        resumes = 0
        while True:
            try:
                await self._relay(server)
                return
            except _StreamMigrated as migrated:
                await self._cancel(server)
                self._environment.metrics.count('answers.moved')
                server = await self._find_next(migrated.target)
            except errors.Failure as failure:
                if not work.answer_started:
                    raise
                if resumes >= MAX_RESUMES or not isinstance(
                    failure, errors.AnswerBroken
                ):
                    raise errors.AnswerBroken(server.name).mark_ran(
                        errors.Ran.UNKNOWN
                    ) from None
                resumes += 1
                self._environment.metrics.count('answers.resumed')
                server = await self._find_next(server)
            except (asyncio.CancelledError, ConnectionResetError):
                await asyncio.shield(self._cancel(server))
                raise

    async def _find_next(self, server):
        """Return the server that gets the rest of a stream, at its turn.

        That is ``server`` unless its region or zone is excluded now.
        """
        while True:
            if not pools.is_eligible(self._environment, self._work, server):
                server = self._choose_other(server)
            await self._wait_for_turn(server)
            if pools.is_eligible(self._environment, self._work, server):
                return server

    def _choose_other(self, server):
        """Return an open server; raise ``AnswerBroken`` if there is none."""
        environment = self._environment
        servers = pools.find_servers(environment, self._work, self._version)
        found = pools.choose_open(environment, servers, self._version)
        if found is None:
            raise errors.AnswerBroken(server.name).mark_ran(errors.Ran.UNKNOWN)
        return found

    async def _wait_for_turn(self, server):
        """Wait until a server may get the rest of a stream.

        A limit that is left to other instances is no reason to break it off.
        """
        environment = self._environment
        wait_s = pools.reserve_turn(environment, server, self._version)
        if math.isinf(wait_s):
            return
        if wait_s >= self._compute_left_s():
            raise errors.AnswerBroken(server.name).mark_ran(errors.Ran.UNKNOWN)
        self._work.limit_wait_s += wait_s
        await environment.timer.sleep(wait_s)

    async def _cancel(self, server):
        await engine.cancel(self._environment.http, server, self._work.id)

    async def _relay(self, server):
        """Relay the events that the caller lacks, up to the end marker."""
        extra = {}
        if self._bill.tokens:
            extra['X-Resume-From'] = str(self._bill.tokens)
        started_at = self._environment.timer.now()
        async with self._open(server, CHAT_PATH, **extra) as response:
            reader = engine.EventReader(
                response,
                server,
                min(engine.STALL_TIMEOUT_S, self._remaining_s),
            )
            await self._relay_events(reader, server, started_at)
            usage = reader.read_usage(self._work.id)
            self._work.record_ran(errors.Ran.YES)
            await self._bill.finish(self._version, usage)
            if not self._work.answer_started:
                await self._start(server)
            await self._reply.end_stream(reader.tail)
            await reader.drain()

    async def _relay_events(self, reader, server, started_at):
        environment = self._environment
        pace = environment.paces.get(self._version.pair)
        gap_meter = events.GapMeter()
        requested_at = environment.timer.now()
        while received := await reader.read():
            now = environment.timer.now()
            self._record_gap(gap_meter.add(received, now))
            seen, reader.events = reader.events, 0
            if self._work.progress is not progress.Progress.EVENTS:
                self._record_answered()
            if not self._work.answer_started:
                await self._start(server)
                rollouts.record_first_token(
                    environment, self._work, self._version, now - started_at
                )
            else:
                pace.observe(server.name, now - requested_at, seen, now)
            self._bill.tokens += seen
            await self._reply.write(received)
            self._migrate_if_slow(server, pace)
            requested_at = environment.timer.now()
        self._record_gap(gap_meter.finish())

    def _record_gap(self, gap_s):
        """Record the time between a stream's events, unless it is None."""
        if gap_s is not None:
            rollouts.record_pace(
                self._environment, self._work, self._version, 'stream', gap_s
            )

    def _migrate_if_slow(self, server, pace):
        """Migrate from a server that is much slower than its pool.

        Raises ``_StreamMigrated`` if there is a better server and the
        budget allows it.
        """
        if pace.get_slowdown(server.name) < migration.MIN_SLOWDOWN:
            return
        environment = self._environment
        servers = pools.find_servers(environment, self._work, self._version)
        target = pools.choose_open(environment, servers, self._version)
        if (
            migration.should_leave(server, target, pace)
            and environment.migration_budget.try_spend()
        ):
            raise _StreamMigrated(target)

    async def _start(self, server):
        work = self._work
        work.answer_started = True
        self._environment.migration_budget.deposit()
        await self._reply.start_stream(self._version, server)
        waited_ms = (self._environment.timer.now() - work.received_at) * 1000
        for kind, label in (
            ('organisation', work.organisation.name),
            ('class', work.class_name),
        ):
            self._environment.metrics.observe(
                f'first_token_ms.{kind}', label, waited_ms
            )

    async def call_service(self, server):
        """Call a plain service and pass its response on unchanged."""
        environment, work = self._environment, self._work
        session = (
            environment.http
            if work.profile.idempotent
            else environment.http_once
        )
        async with self._open(
            server,
            work.path,
            session,
            work.method,
            **{'Content-Type': 'application/json'},
        ) as response:
            body = await engine.read_body(
                response,
                server,
                self._compute_left_s(),
                large_slots=environment.large_bodies,
            )
            kind, status = response.content_type, response.status
        work.record_ran(errors.Ran.YES)
        await self._bill.finish(None, engine.Usage())
        await self._reply.answer(status, kind, body, None, server)
