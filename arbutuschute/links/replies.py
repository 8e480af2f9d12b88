"""Writes responses to callers."""

from aiohttp import web
import msgspec

from arbutuschute import agreement
from arbutuschute import errors
from arbutuschute import learners
from arbutuschute.links import intake

JSON_TYPE = 'application/json'
STREAM_TYPE = 'text/event-stream'


class Reply:
    """Writes one response to the caller, with the router's headers."""

    __slots__ = (
        '_environment',
        '_request',
        '_response',
        '_work',
        'body',
        'content_type',
        'status',
    )

    def __init__(self, environment, request, work):
        self._environment = environment
        self._request = request
        self._work = work
        self._response = None
        self.status = 0
        self.body = None
        self.content_type = ''

    @property
    def response(self):
        """The aiohttp response, once there is one."""
        return self._response

    @property
    def is_streaming(self):
        """Whether the headers of a streamed response have been sent."""
        return self._response is not None and self._response.prepared

    def _make_headers(self, version, server):
        headers = {
            'X-Request-Id': self._work.id,
            'X-Backend-Server': server.name,
        }
        if version is None:
            return headers
        headers['X-Model'] = version.model
        headers['X-Version'] = version.version
        work = self._work
        if work.session is not None or work.token is not None:
            headers['X-Session-Token'] = agreement.make_token(
                self._environment, work, version
            )
            old = work.token and work.token.versions.get(version.model)
            if old and old != version.version:
                headers['X-Session-Moved-From'] = old
        return headers

    async def answer(self, status, content_type, body, version, server):
        """Make the response from a whole body."""
        self.status = status
        self.body = body
        self.content_type = content_type
        self._response = web.Response(
            status=status,
            body=intake.make_answer_body(
                body, self._request, self._environment.intake, content_type
            ),
            content_type=content_type,
            headers=self._make_headers(version, server),
        )

    async def answer_whole(self, bill, body, usage, version, server):
        """Finish the bill, then make the response from a whole body."""
        await bill.finish(version, usage)
        self._work.answer_started = True
        learners.rate_expensive(self._environment, self._work, version, body)
        await self.answer(200, JSON_TYPE, body, version, server)

    async def replay(self, outcome):
        """Make the response from the stored outcome of an earlier request."""
        self._response = web.Response(
            status=outcome.status,
            body=outcome.body,
            content_type=outcome.content_type,
            headers={'X-Replayed': 'yes', 'X-Request-Id': self._work.id},
        )

    async def start_stream(self, version, server):
        """Send the headers of a streamed response."""
        response = web.StreamResponse(
            headers=self._make_headers(version, server)
        )
        response.content_type = STREAM_TYPE
        self._response = response
        await response.prepare(self._request)

    async def write(self, events):
        """Send whole events; wait while the caller reads slowly."""
        await self._response.write(events)

    async def end_stream(self, tail):
        """Send the last bytes, ``tail``, and end the response."""
        await self._response.write_eof(tail)

    async def break_stream(self, failure):
        """End a started stream with an error event and no end marker."""
        problem = msgspec.json.encode(errors.describe_problem(failure))
        await self._response.write(b'event: error\ndata: ' + problem + b'\n\n')
        await self._response.write_eof()
