"""The platform's link against servers whose answers are broken.

Guards against passing such an answer on: the caller is told that the request
may have run, or gets the answer of another server.
"""

import json

import aiohttp
import pytest

from tests import broken
from tests.platform import conftest
from tests.platform import test_faulty_engines
from tests import scripted

PATHS = ['/once/x', '/again/x', '/stream/x']
# More than the kernel buffers (net.ipv4.tcp_wmem: 4 MiB).
UPLOAD = b'x' * 6_000_000
EVENTS = b'id: 1\ndata: 1\n\n'
BROKEN = b'id: 1\ndata: broken\n\n'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('heads', broken.HEADS)
async def test_broken_head_is_a_failure(world, serve, heads, path):
    sent = []
    await serve('i-0', lambda *_: (sent[-1], scripted.CLOSE))
    for case, head in broken.HEADS[heads].items():
        sent.append(broken.make_answer(head, BROKEN))
        status, body = await test_faulty_engines.send(world, path)
        assert status == 502, case
        assert json.loads(body)['ran'] == 'unknown', case


@pytest.mark.parametrize('path', ['/again/x', '/stream/x'])
@pytest.mark.parametrize('case', broken.SAMPLES)
async def test_broken_head_is_replaced_by_a_sound_answer(
    world, serve, case, path
):
    answer = broken.make_answer(broken.SAMPLES[case], BROKEN)
    first = await serve('i-0', lambda *_: (answer, scripted.CLOSE))
    sound = broken.make_answer(broken.SOUND['as usual'], EVENTS)
    await serve('i-1', lambda *_: (sound, scripted.CLOSE), zone='far')
    assert await test_faulty_engines.send(world, path) == (200, EVENTS)
    assert len(first.requests) == 1


@pytest.mark.parametrize('path', PATHS)
async def test_unusual_head_is_sound(world, serve, path):
    sent = []
    await serve('i-0', lambda *_: (sent[-1], scripted.CLOSE))
    for case, head in broken.SOUND.items():
        sent.append(broken.make_answer(head, EVENTS))
        found = await test_faulty_engines.send(world, path)
        assert found == (200, EVENTS), case


@pytest.mark.parametrize('path', PATHS)
async def test_unknown_coding_is_a_failure(world, serve, path):
    sent = []
    await serve('i-0', lambda *_: (sent[-1], scripted.LATE_CLOSE))
    for case, answer in broken.make_coded_answers(EVENTS).items():
        sent.append(answer)
        status, body = await test_faulty_engines.send(world, path)
        assert status == 502, case
        assert json.loads(body)['ran'] == 'unknown', case


async def upload(world, path):
    """Return (status, body) of a request with a large body."""
    configuration = conftest.make_configuration(2)
    configuration['limits']['maxBodyBytes'] = len(UPLOAD)
    world.store.put('keyed.op', 'config', configuration)
    environment = world.instance.environment
    await conftest.wait_for(lambda: environment.table.version == 2)
    async with world.call(path, data=UPLOAD) as response:
        return response.status, await response.read()


# The body ends with the connection, so that its part looked whole.
@pytest.mark.parametrize('path', ['/once/x', '/again/x'])
@pytest.mark.parametrize('end', scripted.ENDS)
async def test_reset_during_an_upload_is_a_failure(world, serve, end, path):
    sent = []
    await serve('i-0', lambda *_: (sent[-1], end), reads_bodies=False)
    for framing in (broken.NO_LENGTH, *broken.CODINGS.values()):
        sent.append(broken.make_unframed(framing, EVENTS))
        status, body = await upload(world, path)
        assert status == 502, framing
        assert json.loads(body)['ran'] == 'unknown', framing


async def test_reset_during_an_upload_cuts_a_stream(world, serve):
    answer = broken.make_unframed(broken.NO_LENGTH, EVENTS)
    await serve(
        'i-0', lambda *_: (answer, scripted.LATE_RESET), reads_bodies=False
    )
    with pytest.raises(aiohttp.ClientPayloadError):
        await upload(world, '/stream/x')


# A whole answer is no less whole because the server doesn't read the rest.
@pytest.mark.parametrize('path', PATHS)
async def test_early_answer_with_a_length_is_whole(world, serve, path):
    answer = broken.make_answer(broken.SOUND['as usual'], EVENTS)
    await serve(
        'i-0', lambda *_: (answer, scripted.LATE_RESET), reads_bodies=False
    )
    assert await upload(world, path) == (200, EVENTS)
