"""The story of one request, from its checks to its bill."""

import asyncio
import contextlib

import msgspec

from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute.links import engine
from arbutuschute.machines import fleet
from arbutuschute.policy import choice
from arbutuschute.policy import retry
from arbutuschute import running

RESUMES_MOST = 2
CHAT_PATH = '/v1/chat/completions'


async def serve(environment, work, reply):
    """Serve one checked request; raise the failure that ends it."""
    running.check_open(environment, work)
    with environment.admission.enter(work):
        if work.profile.idempotent:
            await _run_and_bill(environment, work, reply)
        else:
            await running.run_once(environment, work, reply, _run_and_bill)


async def _run_and_bill(environment, work, reply):
    version = await running.choose_version(environment, work)
    bill = running.make_bill(environment, work, version)
    await environment.keeping.open(bill)
    closing = _Closing(environment, work, version, bill)
    try:
        await _run_with_retries(environment, work, version, reply, closing)
    except BaseException as error:
        outcome = getattr(error, 'code', 'abandoned')
        await asyncio.shield(closing.give_up(outcome))
        raise


class _Closing:
    """Closes a request's bill exactly once, before its answer ends."""

    __slots__ = ('_bill', '_environment', '_version', '_work', 'tokens')

    def __init__(self, environment, work, version, bill):
        self._environment = environment
        self._work = work
        self._version = version
        self._bill = bill
        self.tokens = 0

    async def finish(self, usage):
        """Close the bill with the usage of a whole answer."""
        await self._close('answered', usage)

    async def give_up(self, outcome):
        """Settle the bill of a request that ends without a whole answer."""
        if self._bill is None:
            return
        if self._work.ran is errors.Ran.NO:
            self._environment.keeping.withdraw(self._bill)
            self._bill = None
            return
        usage = engine.Usage(completion_tokens=self.tokens)
        await self._close(outcome, usage)

    async def _close(self, outcome, usage):
        cost = self._version.cost if self._version else 0.0
        closed = bills.close(
            self._bill,
            outcome,
            usage.prompt_tokens,
            usage.completion_tokens,
            cost,
        )
        if self._version is None:
            closed = msgspec.structs.replace(
                closed, cost=self._work.profile.service_cost
            )
        self._bill = None
        await self._environment.keeping.close(closed)


async def _run_with_retries(environment, work, version, reply, closing):
    attempts = 0
    tried = set()
    last = None
    environment.budget.earn()
    while True:
        server = _choose_server(environment, work, version, tried, last)
        attempts += 1
        try:
            await _attempt(environment, work, version, server, reply, closing)
            return
        except errors.Failure as failure:
            tried.add(server.name)
            last = failure
            work.note_attempt(failure.ran)
            _learn(environment, server, failure)
            if not retry.may_retry(
                failure, attempts, work.profile.idempotent, work.answer_started
            ):
                raise failure.mark_ran(work.ran) from None
            if not environment.budget.spend():
                environment.metrics.count('retries.denied')
                raise failure.mark_ran(work.ran) from None
            environment.metrics.count('retries')


def _choose_server(environment, work, version, tried, last):
    """Return a server, one not tried yet if there is one.

    Raises the ``last`` failure, if any, when there is none.
    """
    now = environment.timer.now()
    if version is None:
        wanted = work.profile.service
        servers = environment.fleet.find_service(wanted, now)
    else:
        wanted = f'{version.model}:{version.version}'
        servers = environment.fleet.find_version(*version.pair, now)
    untried = [server for server in servers if server.name not in tried]
    chosen = choice.choose_server(untried or servers, environment.random)
    if chosen is None:
        if last is not None:
            raise last.mark_ran(work.ran)
        raise errors.NoBackendServer(wanted).mark_ran(work.ran)
    return chosen


def _learn(environment, server, failure):
    """Let one failed attempt steer the next choices at once."""
    now = environment.timer.now()
    environment.metrics.count(f'attempts.{failure.code}')
    if isinstance(failure, errors.EngineRefused):
        if failure.reason == 'leaving':
            server.leaving = True
        else:
            server.pause(now + fleet.REFUSED_PAUSE_S)
    elif isinstance(failure, errors.EngineUnreachable):
        server.pause(now + fleet.UNREACHABLE_PAUSE_S)


async def _attempt(environment, work, version, server, reply, closing):
    """Send the request to one server and bring its answer back whole."""
    left_s = work.deadline_at - environment.timer.now()
    if left_s <= 0:
        raise errors.DeadlinePassed(work.deadline_ms).mark_ran(work.ran)
    server.in_flight += 1
    try:
        if version is None:
            await _call_service(
                environment, work, server, reply, closing, left_s
            )
        elif work.stream:
            await _stream_answer(
                environment, work, version, server, reply, closing, left_s
            )
        else:
            await _fetch_answer(
                environment, work, version, server, reply, closing, left_s
            )
    finally:
        server.in_flight -= 1


def _encode_chat(work, version):
    body = dict(work.body)
    body['model'] = f'{version.model}:{version.version}'
    body['priority'] = work.work_class.priority
    return msgspec.json.encode(body)


async def _fetch_answer(environment, work, version, server, reply, closing,
                        left_s):  # fmt: skip
    async with engine.open_attempt(
        environment.http,
        server,
        CHAT_PATH,
        {'X-Request-Id': work.id},
        _encode_chat(work, version),
        left_s,
    ) as response:
        work.note_attempt(errors.Ran.UNKNOWN)
        _check_status(response, server)
        engine.check_echo(response, work.id, server)
        body, usage = await engine.read_whole(response, work.id, server)
    work.note_attempt(errors.Ran.YES)
    await closing.finish(usage)
    work.answer_started = True
    await reply.answer(200, 'application/json', body, version, server)


def _check_status(response, server):
    if response.status != 200:
        raise errors.AnswerBroken(server.name).mark_ran(errors.Ran.UNKNOWN)


async def _stream_answer(environment, work, version, server, reply, closing,
                         left_s):  # fmt: skip
    resumes = 0
    body = _encode_chat(work, version)
    while True:
        try:
            await _relay(
                environment, work, version, server, reply, closing, left_s,
                body,
            )  # fmt: skip
            return
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
            environment.metrics.count('answers.resumed')
        except (asyncio.CancelledError, ConnectionResetError):
            await asyncio.shield(
                engine.cancel(environment.http, server, work.id)
            )
            raise


async def _relay(environment, work, version, server, reply, closing, left_s,
                 body):  # fmt: skip
    """Relay events from where the caller's copy ends to the end marker."""
    headers = {'X-Request-Id': work.id}
    if closing.tokens:
        headers['X-Resume-From'] = str(closing.tokens)
    async with engine.open_attempt(
        environment.http, server, CHAT_PATH, headers, body, left_s
    ) as response:
        work.note_attempt(errors.Ran.UNKNOWN)
        _check_status(response, server)
        engine.check_echo(response, work.id, server)
        reader = engine.EventReader(response, server)
        while True:
            events = await reader.read()
            if not events:
                break
            if not work.answer_started:
                work.answer_started = True
                await reply.start_stream(version, server)
                _observe_first_token(environment, work)
            seen, reader.events = reader.events, 0
            closing.tokens += seen
            await reply.write(events)
        usage = reader.read_usage(work.id)
        work.note_attempt(errors.Ran.YES)
        await closing.finish(usage)
        if not work.answer_started:
            work.answer_started = True
            await reply.start_stream(version, server)
        await reply.end_stream(reader.tail)
        await reader.drain()


def _observe_first_token(environment, work):
    waited_ms = (environment.timer.now() - work.received_at) * 1000
    environment.metrics.observe(
        'first_token_ms.organisation', work.organisation.name, waited_ms
    )
    environment.metrics.observe(
        'first_token_ms.class', work.class_name, waited_ms
    )


async def _call_service(environment, work, server, reply, closing, left_s):
    session = (
        environment.http if work.profile.idempotent else environment.http_once
    )
    async with engine.open_attempt(
        session,
        server,
        work.path,
        {'X-Request-Id': work.id, 'Content-Type': 'application/json'},
        work.body,
        left_s,
        work.method,
    ) as response:
        work.note_attempt(errors.Ran.UNKNOWN)
        engine.check_echo(response, work.id, server)
        try:
            body = await response.read()
        except (OSError, asyncio.TimeoutError):
            raise errors.AnswerBroken(server.name).mark_ran(
                errors.Ran.UNKNOWN
            ) from None
        kind = response.content_type
        status = response.status
    work.note_attempt(errors.Ran.YES)
    await closing.finish(engine.Usage())
    with contextlib.suppress(ConnectionResetError):
        await reply.answer(status, kind, body, None, server)
