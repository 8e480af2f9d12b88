"""The platform's link against servers that send wrong responses."""

import json

import pytest

from tests.platform import conftest
from tests.platform import wire
from tests import scripted

PATHS = ['/once/x', '/again/x', '/stream/x']
CUT_STEP = 5


async def send(world, path):
    async with world.call(path) as response:
        return response.status, await response.read()


# Guards against telling a caller "not run" because of the refusal of an
# earlier request, and against running its request at another server then.
@pytest.mark.parametrize('path', ['/once/x', '/again/x'])
async def test_refusal_of_another_request_says_nothing(world, serve, path):
    first = await serve(
        'i-0', lambda *_: (wire.make_refusal(b'r-0'), scripted.KEEP)
    )
    other = await world.add_engine('i-1', zone='far')
    directory = world.instance.environment.directory
    await conftest.wait_for(lambda: len(directory.find('plain')) == 2)
    status, body = await send(world, path)
    assert len(first.requests) == 1
    if path == '/once/x':
        assert status == 502
        assert json.loads(body)['ran'] == 'unknown'
        assert not other.seen
    else:
        assert status == 200


async def test_refusal_is_known_with_or_without_the_id(world, serve):
    refusals = [
        wire.make_refusal(b'r-1'),
        b'HTTP/1.1 421 Moved\r\nContent-Length: 0\r\n\r\n',
    ]
    await serve('i-0', lambda *_: (refusals.pop(0), scripted.KEEP))
    for _ in range(2):
        status, body = await send(world, '/once/x')
        assert status == 503
        assert json.loads(body)['ran'] == 'no'


# Guards against a success with an empty or short body when a server ends in
# the middle of its response's head.
@pytest.mark.parametrize('end', [scripted.CLOSE, scripted.RESET])
@pytest.mark.parametrize('path', PATHS)
async def test_incomplete_head_is_a_failure(world, serve, path, end):
    whole = wire.make_response(b'r-1', more=b'X-More: yes\r\n')
    sizes = {*range(1, len(whole), CUT_STEP), len(whole) - 1, len(whole) - 2}
    sizes |= {
        n + 2 for n in range(len(whole) - 2) if whole[n : n + 2] == b'\r\n'
    }
    sent = []
    await serve('i-0', lambda *_: (sent[-1], end))
    for size in sorted(sizes):
        sent.append(whole[:size])
        status, body = await send(world, path)
        assert status == 502, whole[:size]
        assert json.loads(body)['ran'] == 'unknown'
