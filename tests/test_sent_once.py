"""The HTTP client sends each request once, whatever its method.

Guards against requests that run twice: the library repeats some methods after
a lost response and follows redirects, so the route's kind isn't asked.
"""

import ast
import pathlib

import aiohttp
import pytest

import arbutuschute
from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.links import engine
from tests import scripted
from tests import test_faulty_engines as faulty

METHODS = ['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE', 'POST', 'PATCH']
REDIRECTS = [b'301 Moved', b'302 Found', b'307 Moved', b'308 Moved']


def lose(number, request_id):
    return b'', scripted.RESET


@pytest.mark.parametrize('end', [scripted.RESET, scripted.CLOSE])
@pytest.mark.parametrize('method', METHODS)
async def test_lost_response_is_not_asked_for_again(method, end):
    async with (
        scripted.ScriptedServer(lambda *_: (b'', end)) as server,
        connections.make_session() as session,
    ):
        with pytest.raises(connections.ResponseLost):
            await session.request(
                method,
                f'http://{server.address}/x',
                headers={'X-Request-Id': 'r-1'},
            )
        assert len(server.requests) == 1


# A response that is lost on a kept connection may have been of a request that
# has run.
async def test_kept_connection_that_ends_repeats_nothing():
    def answer(number, request_id):
        if number:
            return lose(number, request_id)
        return faulty.make_response(request_id), scripted.KEEP

    async with (
        scripted.ScriptedServer(answer) as server,
        connections.make_session() as session,
    ):
        url = f'http://{server.address}/x'
        headers = {'X-Request-Id': 'r-1'}
        async with session.get(url, headers=headers) as response:
            assert response.status == 200
        with pytest.raises(connections.ResponseLost):
            await session.get(url, headers=headers)
        assert server.connections == 1
        assert len(server.requests) == 2


async def test_refused_connection_is_told_from_a_lost_response():
    async with scripted.ScriptedServer(lose) as server:
        address = server.address
    async with connections.make_session() as session:
        with pytest.raises(aiohttp.ClientConnectorError):
            await session.get(f'http://{address}/x')


@pytest.mark.parametrize('method', METHODS)
async def test_own_link_sends_a_request_once(method):
    async with (
        scripted.ScriptedServer(lose) as server,
        connections.make_session() as session,
    ):
        with pytest.raises(errors.AnswerBroken) as lost:
            await open_attempt(session, server, method)
        assert lost.value.ran is errors.Ran.UNKNOWN
        assert len(server.requests) == 1


# A booking that is redirected would run where no profile allows it to go.
@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('status', REDIRECTS)
async def test_own_link_follows_no_redirect(status, method):
    def answer(number, request_id):
        response = faulty.make_response(request_id, status)
        head, _ = response.split(b'\r\n\r\n')
        return head + b'\r\nLocation: /elsewhere\r\n\r\n', scripted.KEEP

    async with (
        scripted.ScriptedServer(answer) as server,
        connections.make_session() as session,
    ):
        code = await open_attempt(session, server, method)
        assert code == int(status[:3])
        assert len(server.requests) == 1


async def open_attempt(session, server, method):
    async with engine.open_attempt(
        session, faulty.make_backend(server), '/booking',
        {'X-Request-Id': 'r-1'}, b'{}', faulty.DEADLINE_S, method,
    ) as response:  # fmt: skip
        return response.status


# Each client that the product makes has to have the library's repeats off.
def test_no_other_session_is_made():
    folder = pathlib.Path(arbutuschute.__file__).parent
    found = [
        path.relative_to(folder).as_posix()
        for path in folder.rglob('*.py')
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and node.attr == 'ClientSession'
    ]
    assert found == ['connections.py']
