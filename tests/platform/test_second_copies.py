"""Servers that send an answer twice, or more bytes than they announced.

No connection to a server is used twice, so that a late copy of one caller's
answer has no other caller to go to.
"""

import asyncio

import pytest

from tests.platform import wire
from tests import scripted


async def send(world, request_id, path):
    headers = {'Arbutuschute-Attempt-Id': request_id}
    async with world.call(path, headers=headers) as response:
        return response.status, await response.read()


# A caller gets the answer of the request before it on the same connection.
@pytest.mark.parametrize('path', ['/again/x', '/once/x', '/stream/x'])
@pytest.mark.parametrize('extra', [b'', b'and more', b'HTTP/1.1 200 OK\r\n'])
async def test_caller_gets_no_copy_of_an_earlier_answer(
    world, serve, path, extra
):
    sent = []

    def answer(number, request_id):
        body = b'id: 1\ndata: for %s\n\n' % request_id
        sent.append(wire.make_response(request_id, body=body))
        # A copy of the last answer follows each, and comes late as well.
        return sent[-1] + (extra or sent[-1]), scripted.KEEP

    server = await serve('i-0', answer)
    for number in range(4):
        request_id = f'r-{number}'
        status, body = await send(world, request_id, path)
        assert (status, body) == (
            200,
            b'id: 1\ndata: for %s\n\n' % request_id.encode(),
        )
        await asyncio.sleep(0.02)
    assert server.connections == len(sent) == 4


# A caller gets an answer that goes on with the bytes of another one, since
# the server states no length.
async def test_answer_without_a_length_that_goes_on_is_not_used_again(
    world, serve
):
    def answer(number, request_id):
        whole = wire.make_response(request_id, body=b'of %s' % request_id)
        head, body = whole.split(b'\r\n\r\n')
        lines = [x for x in head.split(b'\r\n') if b'Length' not in x]
        return b'\r\n'.join(lines) + b'\r\n\r\n' + body, scripted.LATE_CLOSE

    await serve('i-0', answer)
    for number in range(3):
        status, body = await send(world, f'r-{number}', '/again/x')
        assert (status, body) == (200, b'of r-%d' % number)
