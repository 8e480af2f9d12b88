"""The own link's reader of heads: servers that leave or want a pause."""

import pytest

from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.links import engine
from arbutuschute.machines import statements
from tests import scripted
from tests import test_faulty_engines
from tests import test_followers

REFUSAL = b'{"reason": "overloaded", "ran": "no"}'


def make_response(status, request_id, *headers, body=REFUSAL):
    lines = b''.join(header + b'\r\n' for header in headers)
    return (
        b'HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s'
    ) % (status, request_id, lines, len(body), body)


async def read_refusal(*headers, status=b'503 Full'):
    """Return the refusal of a server whose response has these headers."""

    def answer(number, request_id):
        return make_response(status, request_id, *headers), scripted.CLOSE

    async with (
        scripted.ScriptedServer(answer) as server,
        connections.make_session() as session,
    ):
        with pytest.raises(errors.EngineRefused) as caught:
            await test_faulty_engines.send(session, server, 'r-1')
        return caught.value, test_faulty_engines.make_backend(server)


async def test_refusal_states_leaving_and_a_pause():
    refusal, server = await read_refusal(b'X-Leaving: 1', b'Retry-After: 2.5')
    assert (refusal.is_leaving, refusal.hold_s) == (True, 2.5)
    statements.apply(server, refusal, 10.0, test_followers.Log())
    assert server.leaving


async def test_server_on_hold_is_not_open_until_the_end():
    refusal, server = await read_refusal(b'Retry-After: 2.5')
    statements.apply(server, refusal, 10.0, test_followers.Log())
    assert not server.is_open(12.4)
    assert server.is_open(12.6)


async def test_pause_counts_only_with_503():
    refusal, _ = await read_refusal(b'Retry-After: 2.5', status=b'429 Slow')
    assert refusal.hold_s == 0.0


async def test_success_states_leaving():
    def answer(number, request_id):
        response = make_response(
            b'200 OK', request_id, b'X-Leaving: 1', body=b'{}'
        )
        return response, scripted.CLOSE

    async with (
        scripted.ScriptedServer(answer) as server,
        connections.make_session() as session,
        test_faulty_engines.open_attempt(session, server, 'r-1') as (
            response,
            _,
        ),
    ):
        assert engine.is_leaving(response)


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('1', 1.0), ('0.25', 0.25), (None, 0.0), ('-3', 0.0), ('nan', 0.0),
     ('inf', 0.0), ('x', 0.0), ('1e9', statements.MAX_HOLD_S)],
)  # fmt: skip
def test_pause_is_read(text, seconds):
    assert statements.parse_hold_s(text) == seconds
