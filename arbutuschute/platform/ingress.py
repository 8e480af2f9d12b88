"""Link to callers: their connections, and the end of each request."""

import asyncio

from aiohttp import web
import msgspec

from arbutuschute import errors
from arbutuschute.links import connection
from arbutuschute.links import intake
from arbutuschute import logs
from arbutuschute.platform import names
from arbutuschute.platform import reading
from arbutuschute.traffic import handler

PROBLEM_TYPE = 'application/problem+json'
MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_RETRY_AFTER_S = 0.3
# The retry reaches another instance, which may accept it at once.
OTHER_INSTANCE_RETRY_AFTER_S = 0.1
OTHER_INSTANCE_FAILURES = (errors.Stopping, errors.NotReady)
# Callers wait at most this share of the time they have left.
RETRY_AFTER_SHARE = 0.3


class Reply:
    """Writes one response to the caller."""

    __slots__ = ('_closes_connection', '_intake', '_request', 'response')

    def __init__(self, request, closes_connection, process_intake):
        self._intake = process_intake
        self._request = request
        self._closes_connection = closes_connection
        self.response = None

    @property
    def is_started(self):
        """Whether a part of the response has been sent."""
        return self.response is not None and self.response.prepared

    async def answer(self, answer):
        """Send the server's whole answer."""
        body = intake.make_answer_body(
            answer.body, self._request, self._intake
        )
        self.response = web.Response(status=answer.head.status, body=body)
        self._set_headers(answer.head)

    async def start(self, head):
        """Send the headers of a stream."""
        self.response = web.StreamResponse(status=head.status)
        self._set_headers(head)
        await self.response.prepare(self._request)

    async def write(self, events):
        """Send whole events; wait while the caller reads slowly."""
        await self.response.write(events)

    async def end(self):
        """Send the end of a stream."""
        await self.response.write_eof()

    def abort(self):
        """Break the connection, so that a partial response looks broken."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _set_headers(self, head):
        headers = self.response.headers
        headers.popall('Content-Type', None)
        for name, value in head.headers:
            headers.add(name, value)
        if self._closes_connection:
            self.response.force_close()


class Ingress:
    """Handles the requests of callers for one instance."""

    __slots__ = ('_environment',)

    def __init__(self, environment):
        self._environment = environment

    def make_server(self):
        """Return the aiohttp server; it cancels work if the caller leaves."""
        return connection.Server(
            self._answer,
            self._environment.intake,
            self._get_limits,
            request_factory=_make_request,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
        )

    def _get_limits(self):
        limits = self._environment.table.limits
        return limits.idle_s, limits.header_s, limits.header_bytes

    async def _answer(self, raw):
        environment = self._environment
        environment.metrics.count('requests')
        closes_connection = environment.stopping_at is not None
        reply = Reply(raw, closes_connection, environment.intake)
        body = intake.Body(raw, environment.intake)
        request = None

        def get_ran():
            return request.known_ran if request else errors.Ran.NO

        try:
            async with environment.shutdown.run_request(get_ran):
                request = await reading.read_request(environment, raw, body)
                await handler.serve(environment, request, reply)
        except errors.Failure as failure:
            return self._fail(raw, request, reply, failure)
        except ConnectionResetError:
            environment.metrics.count('callers.gone')
            self._log_end(request, 'caller gone', 0)
            raise
        except asyncio.CancelledError:
            environment.metrics.count('callers.gone')
            self._log_end(request, 'caller gone', 0)
            raise
        except Exception as fault:
            environment.log.opt(exception=fault).error('request fault')
            failure = errors.Failure().mark_ran(
                request.ran if request else errors.Ran.NO
            )
            return self._fail(raw, request, reply, failure)
        finally:
            body.close()
            if request is not None:
                request.body = b''
        self._log_end(request, 'answered', reply.response.status)
        return reply.response

    def _fail(self, raw, request, reply, failure):
        environment = self._environment
        environment.metrics.count(f'refusals.{failure.code}')
        status = errors.find_status(failure)
        self._log_end(request, failure.code, status, failure.detail)
        if reply.is_started:
            reply.abort()
            return reply.response
        headers = {}
        if request is not None:
            headers[names.REQUEST_ID] = request.id
        if status in errors.NOT_RUN_STATUSES:
            headers[names.RETRY_AFTER] = self._compute_retry_after(
                request, failure
            )
        response = web.Response(
            status=status,
            body=msgspec.json.encode(errors.describe_problem(failure)),
            content_type=PROBLEM_TYPE,
            headers=headers,
        )
        if environment.stopping_at is not None or not raw.content.is_eof():
            response.force_close()
        return response

    def _compute_retry_after(self, request, failure):
        """Return seconds as text, spread so that retries don't clump."""
        pause_s = get_longest_pause_s(failure)
        pause_s *= self._environment.random.uniform(0.5, 1)
        if request is not None:
            limit_s = get_pause_limit_s(self._environment, request)
            pause_s = min(pause_s, limit_s)
        return f'{pause_s:.3f}'

    def _log_end(self, request, outcome, status, detail=''):
        if request is None:
            return
        environment = self._environment
        took_ms = 1000 * (environment.now() - request.received_at)
        route = request.route.name if request.route else ''
        environment.metrics.observe('total_ms.route', route, took_ms)
        if request.organisation is not None:
            environment.metrics.observe(
                'total_ms.organisation', request.organisation.name, took_ms
            )
        line = (
            environment.log.warning if status >= 400 else environment.log.info
        )
        line(
            'request ended',
            request=request.id,
            route=route,
            organisation=(
                request.organisation.name if request.organisation else ''
            ),
            configuration=request.version,
            configuration_age_ms=logs.round_to_ms(environment.freshness.age_s),
            outcome=outcome,
            status=status,
            detail=detail,
            attempts=request.attempts,
            ran=request.known_ran.value,
            first_event_ms=logs.round_to_ms(request.first_event_s),
            event_gap_ms=logs.round_to_ms(request.event_gap_s),
            took_ms=int(took_ms),
        )


def get_longest_pause_s(failure):
    """Return the most seconds that a refused caller is told to wait."""
    if isinstance(failure, OTHER_INSTANCE_FAILURES):
        return OTHER_INSTANCE_RETRY_AFTER_S
    return failure.retry_after_s or DEFAULT_RETRY_AFTER_S


def get_pause_limit_s(environment, request):
    """Return the longest pause that the request's deadline allows."""
    if request.deadline_at <= request.received_at:
        return float('inf')
    left_s = max(0.0, request.deadline_at - environment.now())
    return RETRY_AFTER_SHARE * left_s


def _make_request(message, payload, protocol, writer, task):
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=MAX_BODY_BYTES,
    )
