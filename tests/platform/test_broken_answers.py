"""The platform's link against servers whose answers are broken.

Guards against passing such an answer on: the caller is told that the request
may have run, or gets the answer of another server.
"""

import json

import pytest

from tests import broken
from tests.platform import test_faulty_engines
from tests import scripted

PATHS = ['/once/x', '/again/x', '/stream/x']
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
