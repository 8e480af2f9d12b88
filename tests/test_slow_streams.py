"""Streams that are slow but sound, and stalled ones, on the own interface."""

import asyncio

import pytest

from arbutuschute import errors
from arbutuschute.links import engine
from tests import test_faulty_engines as faulty

STALL_S = 0.4
EVENT = b'data: {"id":"r-1"}\n\n'
END = b'data: {"id":"r-1","usage":{}}\n\n' + engine.STREAM_END


class Response:
    """A response whose parts arrive with a pause before each."""

    def __init__(self, parts, gap_s):
        self._parts = iter(parts)
        self._gap_s = gap_s
        self.content = self

    async def readany(self):
        await asyncio.sleep(self._gap_s)
        return next(self._parts)


def make_reader(parts, gap_s):
    server = faulty.make_backend(type('Server', (), {'address': 'h:1'}))
    return engine.EventReader(Response(parts, gap_s), server, STALL_S)


async def read_all(reader):
    raw = b''
    while received := await reader.read():
        raw += received
    return raw


# A stream that takes far longer than the bound on its pauses is cut.
async def test_slow_but_sound_stream_is_read_to_its_end():
    reader = make_reader([*[EVENT] * 6, END], STALL_S / 2)
    assert await read_all(reader) == EVENT * 6


# A stream that sends a byte now and then never ends.
async def test_stalled_stream_with_single_bytes_ends():
    reader = make_reader([EVENT, *[b'x'] * 99], STALL_S / 8)
    async with asyncio.timeout(4 * STALL_S):
        with pytest.raises(errors.AnswerBroken):
            await read_all(reader)
