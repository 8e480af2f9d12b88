"""One attempt: send a request to a server and bring its answer back."""

import asyncio
import contextlib

import msgspec

from arbutuschute import errors
from arbutuschute.links import engine
from arbutuschute.policy import migration
from arbutuschute import pools
from arbutuschute import rollouts

RESUMES_MOST = 2
CHAT_PATH = '/v1/chat/completions'


class _Moved(Exception):
    """A stream goes on at another server."""

    def __init__(self, target):
        super().__init__()
        self.target = target


async def run(environment, work, version, server, reply, closing):
    """Run one attempt within the deadline; raise the failure that ends it."""
    left_s = work.deadline_at - environment.timer.now()
    if left_s <= 0:
        raise errors.DeadlinePassed(work.deadline_ms).mark_ran(work.ran)
    attempt = Attempt(environment, work, version, reply, closing, left_s)
    try:
        if version is None:
            await attempt.call_service(server)
        elif work.stream:
            await attempt.stream(server)
        else:
            await attempt.fetch(server)
    except errors.Failure as failure:
        rollouts.note_failure(environment, work, version, failure)
        raise


class Attempt:
    """What the steps of one attempt share."""

    __slots__ = (
        '_body',
        '_closing',
        '_environment',
        '_left_s',
        '_reply',
        '_version',
        '_work',
    )

    def __init__(self, environment, work, version, reply, closing, left_s):
        self._environment = environment
        self._work = work
        self._version = version
        self._reply = reply
        self._closing = closing
        self._left_s = left_s
        self._body = work.body if version is None else self._encode_chat()

    def _encode_chat(self):
        body = dict(self._work.body)
        body['model'] = ':'.join(self._version.pair)
        body['priority'] = self._work.work_class.priority
        return msgspec.json.encode(body)

    @contextlib.asynccontextmanager
    async def _open(self, server, path, session=None, method='POST', **extra):
        """Open the connection that this attempt owns, and check its echo."""
        environment, work = self._environment, self._work
        server.begin(environment.timer.now())
        try:
            async with engine.open_attempt(
                session or environment.http,
                server,
                path,
                {'X-Request-Id': work.id, **extra},
                self._body,
                self._left_s,
                method,
            ) as response:
                work.note_attempt(errors.Ran.UNKNOWN)
                if self._version is not None and response.status != 200:
                    raise errors.AnswerBroken(server.name).mark_ran(
                        errors.Ran.UNKNOWN
                    )
                engine.check_echo(response, work.id, server)
                yield response
        finally:
            server.finish(environment.timer.now())

    async def fetch(self, server):
        """Fetch a whole answer."""
        work = self._work
        began = self._environment.timer.now()
        async with self._open(server, CHAT_PATH) as response:
            body, usage = await engine.read_whole(response, work.id, server)
        work.note_attempt(errors.Ran.YES)
        rollouts.note_answer(
            self._environment,
            work,
            self._version,
            self._environment.timer.now() - began,
            usage.completion_tokens,
        )
        await self._reply.answer_whole(
            self._closing, body, usage, self._version, server
        )

    async def stream(self, server):
        """Relay a stream; resume it where it breaks or becomes slow."""
        work = self._work
        resumes = 0
        while True:
            try:
                await self._relay(server)
                return
            except _Moved as moved:
                await self._cancel(server)
                self._environment.metrics.count('answers.moved')
                server = moved.target
            except errors.Failure as failure:
                if not work.answer_started:
                    raise
                if resumes >= RESUMES_MOST or not isinstance(
                    failure, errors.AnswerBroken
                ):
                    raise errors.AnswerBroken(server.name).mark_ran(
                        errors.Ran.UNKNOWN
                    ) from None
                resumes += 1
                self._environment.metrics.count('answers.resumed')
            except (asyncio.CancelledError, ConnectionResetError):
                await asyncio.shield(self._cancel(server))
                raise

    async def _cancel(self, server):
        await engine.cancel(self._environment.http, server, self._work.id)

    async def _relay(self, server):
        """Relay events from where the caller's copy ends to the end marker."""
        extra = {}
        if self._closing.tokens:
            extra['X-Resume-From'] = str(self._closing.tokens)
        began = self._environment.timer.now()
        async with self._open(server, CHAT_PATH, **extra) as response:
            reader = engine.EventReader(response, server)
            await self._relay_events(reader, server, began)
            usage = reader.read_usage(self._work.id)
            self._work.note_attempt(errors.Ran.YES)
            await self._closing.finish(self._version, usage)
            if not self._work.answer_started:
                await self._start(server)
            await self._reply.end_stream(reader.tail)
            await reader.drain()

    async def _relay_events(self, reader, server, began):
        environment = self._environment
        pace = environment.paces.get(self._version.pair)
        asked_at = environment.timer.now()
        while events := await reader.read():
            now = environment.timer.now()
            seen, reader.events = reader.events, 0
            if not self._work.answer_started:
                await self._start(server)
                rollouts.note_first_token(
                    environment, self._work, self._version, now - began
                )
            else:
                pace.observe(server.name, now - asked_at, seen, now)
            self._closing.tokens += seen
            await self._reply.write(events)
            self._move_if_slow(server, pace)
            asked_at = environment.timer.now()

    def _move_if_slow(self, server, pace):
        """Leave a server that became several times slower than its pool."""
        if pace.get_slowdown(server.name) < migration.MIN_SLOWDOWN:
            return
        environment = self._environment
        servers = environment.fleet.find_version(*self._version.pair)
        target = pools.choose_open(environment, servers, self._version)
        if (
            migration.should_leave(server, target, pace)
            and environment.moves.try_spend()
        ):
            raise _Moved(target)

    async def _start(self, server):
        work = self._work
        work.answer_started = True
        self._environment.moves.deposit()
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
        """Call a plain service; its answer is passed on as it is."""
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
            try:
                body = await response.read()
            except (OSError, asyncio.TimeoutError):
                raise errors.AnswerBroken(server.name).mark_ran(
                    errors.Ran.UNKNOWN
                ) from None
            kind, status = response.content_type, response.status
        work.note_attempt(errors.Ran.YES)
        await self._closing.finish(None, engine.Usage())
        await self._reply.answer(status, kind, body, None, server)
