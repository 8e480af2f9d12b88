"""Link to callers: chat completions and calls to plain services."""

import hashlib
import re

from aiohttp import web
import msgspec

from arbutuschute import core
from arbutuschute import decoding
from arbutuschute import errors
from arbutuschute.ledgers import pins
from arbutuschute.links import connection
from arbutuschute.links import intake
from arbutuschute.links import replies
from arbutuschute import work as work_module

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
PROBLEM_TYPE = 'application/problem+json'
PART_NAME_LENGTH = 16
NAME_PATTERN = re.compile(r'^[\x21-\x7e]{1,128}$')
DEADLINE_PATTERN = re.compile(r'^[1-9][0-9]{0,8}$')


class ChatBody(msgspec.Struct):
    """The members of a chat request that the router reads."""

    model: str
    messages: list
    stream: bool = False
    max_tokens: int | None = None


class _Runner(web.AppRunner):
    """Serves an application on connections with bounds."""

    __slots__ = ('_environment',)

    def __init__(self, environment, app, **options):
        super().__init__(app, **options)
        self._environment = environment

    async def _make_server(self):
        made = await super()._make_server()
        limits = self._environment.settings.limits
        return connection.Server(
            made.request_handler,
            self._environment.intake,
            lambda: (limits.idle_s, limits.unsent_s, MAX_HEAD_BYTES),
            request_factory=made.request_factory,
            access_log=None,
        )


class CallerLink:
    """HTTP handlers for callers."""

    __slots__ = ('_environment',)

    def __init__(self, environment):
        self._environment = environment

    def make_runner(self, app, **options):
        """Return a runner of an application on bounded connections."""
        return _Runner(self._environment, app, **options)

    def make_app(self):
        """Return the aiohttp application for callers."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post('/v1/chat/completions', self.handle_chat),
                web.route('*', '/services/{name}/{path:.*}',
                          self.handle_service),
                web.get('/healthz', self.handle_health),
            ]
        )  # fmt: skip
        return app

    async def handle_health(self, request):
        """Answer a health check: status 200 if live, else 503."""
        live = self._environment.state == 'live'
        return web.json_response(
            {'state': self._environment.state}, status=200 if live else 503
        )

    async def handle_chat(self, request):
        """Serve a chat completion."""
        return await self._handle(request, read_chat)

    async def handle_service(self, request):
        """Serve a call to a plain service."""
        return await self._handle(request, read_service)

    async def _handle(self, request, read_work):
        environment = self._environment
        environment.metrics.count('requests')
        work = reply = None
        body = intake.Body(request, environment.intake)

        def read_body():
            unsent_s = environment.settings.limits.unsent_s
            return body.read(MAX_BODY_BYTES, unsent_s)

        try:
            async with environment.shutdown.run_request(
                lambda: work.ran if work else errors.Ran.NO
            ):
                work = await read_work(environment, request, read_body)
                reply = replies.Reply(environment, request, work)
                await core.serve(environment, work, reply)
        except errors.Failure as failure:
            return await self._fail(request, work, reply, failure)
        except ConnectionResetError:
            environment.metrics.count('callers.gone')
            return reply.response or web.Response(status=499)
        except Exception as error:
            environment.log.opt(exception=error).error('request fault')
            failure = errors.Failure().mark_ran(
                work.ran if work else errors.Ran.NO
            )
            return await self._fail(request, work, reply, failure)
        finally:
            body.close()
            if work is not None:
                _record_duration(environment, work)
        environment.metrics.count('answers')
        return reply.response

    async def _fail(self, request, work, reply, failure):
        self._environment.metrics.count(f'refusals.{failure.code}')
        if reply is not None and reply.is_streaming:
            try:
                await reply.break_stream(failure)
            except ConnectionResetError:
                self._environment.metrics.count('callers.gone')
            return reply.response
        headers = {}
        if work is not None:
            headers['X-Request-Id'] = work.id
        status = errors.find_status(failure)
        if failure.retry_after_s and status == failure.http_status:
            headers['Retry-After'] = str(failure.retry_after_s)
        response = web.Response(
            status=status,
            body=msgspec.json.encode(errors.describe_problem(failure)),
            content_type=PROBLEM_TYPE,
            headers=headers,
        )
        is_closed = self._environment.shutdown.is_admission_closed
        if is_closed or not request.content.is_eof():
            response.force_close()
        return response


def _record_duration(environment, work):
    total_ms = (environment.timer.now() - work.received_at) * 1000
    environment.metrics.observe(
        'total_ms.organisation', work.organisation.name, total_ms
    )
    environment.metrics.observe('total_ms.class', work.class_name, total_ms)


async def read_chat(environment, request, read_body):
    """Return the checked ``Work`` of a chat request."""
    organisation = identify(environment, request)
    raw = await read_body()
    try:
        body = decoding.decode_json(raw)
        shape = msgspec.convert(body, ChatBody)
    except msgspec.DecodeError as error:
        raise errors.BrokenBody(str(error)) from None
    name, _, model = shape.model.partition('/')
    profile = _find_profile(environment, organisation, name)
    if profile.service:
        raise errors.UnknownProfile(name)
    work = _make_work(environment, request, organisation, profile, raw)
    if model:
        if model not in profile.find_models():
            raise errors.ModelNotAllowed(name, model)
        work.model = model
    max_tokens = profile.limits.max_tokens
    if (
        shape.max_tokens is not None
        and not 1 <= shape.max_tokens <= max_tokens
    ):
        raise errors.BrokenBody(f'max_tokens: expected 1 to {max_tokens}')
    work.body = body
    work.stream = shape.stream
    work.prompt_parts = name_prompt_parts(shape.messages)
    return work


def name_prompt_parts(messages):
    """Return a name for each message but the last, the caller's own.

    Equal messages have equal names.
    """
    return tuple(
        hashlib.sha256(
            msgspec.json.encode(message, order='deterministic')
        ).hexdigest()[:PART_NAME_LENGTH]
        for message in messages[:-1]
    )


async def read_service(environment, request, read_body):
    """Return the checked ``Work`` of a call to a plain service."""
    organisation = identify(environment, request)
    name = request.match_info['name']
    profile = _find_profile(environment, organisation, name)
    if not profile.service:
        raise errors.UnknownProfile(name)
    raw = await read_body()
    work = _make_work(environment, request, organisation, profile, raw)
    work.method = request.method
    work.path = '/' + request.match_info['path']
    work.body = raw
    return work


def identify(environment, request):
    """Return the organisation whose API key the request carries."""
    scheme, _, key = request.headers.get('Authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise errors.UnknownKey()
    key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
    organisation = environment.configuration.find_organisation(key_hash)
    if organisation is None:
        raise errors.UnknownKey()
    return organisation


def _find_profile(environment, organisation, name):
    published = environment.configuration.profiles.get(name)
    if published is None or published.document is None:
        raise errors.UnknownProfile(name)
    if organisation.name not in published.document.organisations:
        raise errors.ProfileNotAllowed(organisation.name, name)
    return published.document


def _make_work(environment, request, organisation, profile, raw):
    if len(raw) > profile.limits.body_bytes:
        raise errors.BodyTooLarge(profile.limits.body_bytes)
    headers = request.headers
    key = _read_name(headers, 'Idempotency-Key')
    if not profile.idempotent and key is None:
        raise errors.MissingIdempotencyKey(profile.name)
    now = environment.timer.now()
    work = work_module.Work(_make_id(environment), organisation, profile, now)
    work.key = key
    work.session = _read_name(headers, 'X-Session')
    work.token = _read_token(environment, headers, work)
    work.class_name = _read_class(headers, profile)
    work.deadline_ms = _read_deadline(headers, work.work_class)
    work.deadline_at = now + work.deadline_ms / 1000
    work.fingerprint = hashlib.sha256(
        f'{request.method} {request.path} '.encode() + raw
    ).hexdigest()
    work.bill_id = _make_bill_id(headers, work)
    return work


def _make_id(environment):
    """Return a request id unique across instances and incarnations."""
    name, incarnation = environment.identity
    return f'{name}-{incarnation}-{next(environment.sequence)}'


def _make_bill_id(headers, work):
    """Return a bill id; repeats of one request share it."""
    given = work.key or _read_name(headers, 'X-Request-Id')
    if given is None:
        return work.id
    digest = hashlib.sha256(f'{given} {work.fingerprint}'.encode())
    return f'same-{digest.hexdigest()[:32]}'


def _read_name(headers, header):
    value = headers.get(header)
    if value is not None and not NAME_PATTERN.match(value):
        raise errors.BrokenHeader(header, '1 to 128 visible characters')
    return value


def _read_token(environment, headers, work):
    text = headers.get('X-Session-Token')
    if text is None:
        return None
    token = pins.read_token(text, environment.settings.session_secret)
    if (
        token is None
        or token.organisation != work.organisation.name
        or token.profile != work.profile.name
    ):
        raise errors.BrokenHeader(
            'X-Session-Token', 'a token that this service gave out'
        )
    return token


def _read_class(headers, profile):
    name = headers.get('X-Class', work_module.DEFAULT_CLASS)
    if name != work_module.DEFAULT_CLASS and name not in profile.classes:
        expected = ', '.join(profile.classes) or 'no class'
        raise errors.BrokenHeader('X-Class', f'one of {expected}')
    return name


def _read_deadline(headers, work_class):
    text = headers.get('X-Deadline-Ms')
    if text is None:
        return work_class.deadline_ms
    if not DEADLINE_PATTERN.match(text):
        raise errors.BrokenHeader('X-Deadline-Ms', 'milliseconds from 1 on')
    return min(int(text), work_class.deadline_ms)
