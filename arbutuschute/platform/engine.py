"""Link to backend servers: one attempt owns one connection."""

import contextlib

import aiohttp
import yarl

from arbutuschute import bodies
from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.machines import statements
from arbutuschute import messages
from arbutuschute.platform import names
from arbutuschute.policy import rate_limits
from arbutuschute.traffic import answers

# A connection takes 1 to 2 ms within a region and 25 ms to another one; an
# unresponsive machine never accepts it.
CONNECT_TIMEOUT_S = 0.4
MAX_HEADER_BYTES = 32 * 1024
SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


def make_session():
    """Return the HTTP client; no connection is used twice.

    A late or second response then can't be taken for that of another
    request, and a connection that is silent or was dropped is never reused.
    """
    return connections.make_session(
        connector=connections.Connector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )


def make_opener(session):
    """Return ``open_attempt`` over an HTTP client."""
    large_slots = bodies.make_large_slots()

    @contextlib.asynccontextmanager
    async def open_attempt(server, request, left_s, last_event_id=None):
        """Send a request and yield its ``Attempt``, or raise ``Failure``."""
        response = await _send(session, server, request, left_s, last_event_id)
        try:
            head = _check_head(server, request, response)
            yield Attempt(server, response, head, large_slots)
        finally:
            response.close()

    return open_attempt


async def _send(session, server, request, left_s, last_event_id):
    url = yarl.URL(
        f'http://{server.entry.address}{request.target}', encoded=True
    )
    headers = _make_headers(server, request, left_s, last_event_id)
    try:
        return await session.request(
            request.method,
            url,
            data=bodies.make_request_body(request.body),
            headers=headers,
            allow_redirects=False,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise errors.EngineUnreachable(server.name) from None
    except (aiohttp.ClientError, OSError) as error:
        raise errors.ServerFailed(server.name, repr(error)).mark_ran(
            errors.Ran.UNKNOWN
        ) from None


def _make_headers(server, request, left_s, last_event_id):
    headers = list(request.headers)
    headers.append(('Host', request.host))
    headers.append((names.DEADLINE_MS, str(max(1, int(left_s * 1000)))))
    headers.append((names.EXPECTED_SERVER, server.name))
    if request.organisation is not None:
        headers.append((names.ORGANISATION, request.organisation.name))
    model = request.model or request.prompt.model
    if model:
        headers.append((names.MODEL, model))
        if request.urgency is not None:
            headers.append((names.URGENCY, str(request.urgency)))
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, last_event_id))
    return headers


def _check_head(server, request, response):
    """Return the ``Head``; raise unless the response is the request's."""
    headers = response.headers
    is_refusal = names.NOT_RUN in headers or response.status == 421
    # A refusal may lack the id, as no connection is used twice.
    echo = headers.get(names.REQUEST_ID, request.id if is_refusal else None)
    if echo != request.id:
        raise errors.AnswerCrossed(server.name).mark_ran(errors.Ran.UNKNOWN)
    if is_refusal:
        raise _make_refusal(server, response)
    if names.ORIGIN_PROOF not in headers and response.status < 300:
        raise errors.AnswerBroken(server.name).mark_ran(errors.Ran.UNKNOWN)
    load, slowness = _decode_load(server.name, headers.get(names.LOAD))
    return answers.Head(
        status=response.status,
        headers=_select_headers(headers),
        origin_proof=headers.get(names.ORIGIN_PROOF),
        confidence=_decode_number(headers.get(names.CONFIDENCE)),
        load=load,
        slowness=slowness,
        rate_limit=rate_limits.parse(headers.get(names.RATE_LIMIT)),
        is_leaving=statements.parse_leaving(headers.get(names.LEAVING)),
        hold_s=_read_hold_s(response),
        cold_s=statements.parse_cold_s(headers.get(names.COLD_MS)),
        claims_not_run=response.status in errors.NOT_RUN_STATUSES,
    )


def _make_refusal(server, response):
    refusal = errors.EngineRefused(server.name, str(response.status))
    if response.status == 421:
        return refusal  # Of another server, which has the address now.
    return refusal.mark_stated(
        rate_limits.parse(response.headers.get(names.RATE_LIMIT)),
        statements.parse_leaving(response.headers.get(names.LEAVING)),
        _read_hold_s(response),
        statements.parse_cold_s(response.headers.get(names.COLD_MS)),
    )


def _read_hold_s(response):
    """Return for how long the server wants no requests, in seconds."""
    if response.status != 503:
        return 0.0
    return statements.parse_hold_s(response.headers.get(names.RETRY_AFTER))


def _select_headers(headers):
    dropped = {
        token.strip().lower()
        for value in headers.getall('Connection', ())
        for token in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in names.HOP_BY_HOP
        and name.lower() not in dropped
        and name.lower() != 'content-length'
    )


def _decode_load(name, text):
    """Return (report, slowness) of a load header, (None, 1.0) without one."""
    try:
        numbers = [int(part) for part in (text or '').split(',')]
        running, waiting, slots = numbers[:3]
    except ValueError:
        return None, 1.0
    slowness = numbers[3] / 100 if len(numbers) > 3 else 1.0
    report = messages.LoadReport(name, running, waiting, slots, 0.0)
    return report, max(slowness, 0.1)


def _decode_number(text):
    try:
        return float(text) if text else None
    except ValueError:
        return None


class Attempt:
    """A response that has begun; ``read`` returns its bytes as they come."""

    __slots__ = ('_large_slots', '_response', '_server', 'head')

    def __init__(self, server, response, head, large_slots):
        self._large_slots = large_slots
        self._server = server
        self._response = response
        self.head = head

    async def read(self):
        """Return the next bytes, ``b''`` at the end of a whole response."""
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError):
            raise self._make_failure() from None

    async def read_whole(self):
        """Return the whole body; raise ``AnswerTooLarge`` without end."""
        return await bodies.read_whole(
            self.read, self._server.name, large_slots=self._large_slots
        )

    async def read_answer(self):
        """Return the whole ``Answer``."""
        return answers.Answer(self.head, await self.read_whole())

    def _make_failure(self):
        return errors.AnswerBroken(self._server.name).mark_ran(
            errors.Ran.UNKNOWN
        )
