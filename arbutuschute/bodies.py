"""Whole bodies: reading those without an end, writing those nobody reads."""

import asyncio
import contextlib

from aiohttp import payload

from arbutuschute import errors

MAX_BODY_BYTES = 4 * 1024 * 1024
# Larger bodies are read a few at a time: as many as there are requests would
# fill the memory of the smallest machines (200 MB). Most are much smaller.
SMALL_BODY_BYTES = 64 * 1024
MAX_LARGE_BODIES = 6
PIECE_BYTES = 64 * 1024


class Pieces(payload.Payload):
    """A large body, written once, as it is read by the other side.

    A transport copies all that it is given and can't send at once.
    """

    _autoclose = True

    def __init__(self, value, **options):
        super().__init__(value, **options)
        self._size = len(value)

    def decode(self, encoding='utf-8', errors='strict'):
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer):
        """Write the whole body."""
        # Requests and responses refer to each other: without this, the body
        # would stay until the next full collection of garbage.
        view, self._value = memoryview(self._value), b''
        for start in range(0, len(view), PIECE_BYTES):
            await writer.write(view[start : start + PIECE_BYTES])
            self.record_progress()

    async def write_with_length(self, writer, content_length):
        """Write the whole body, which has the length that was stated."""
        await self.write(writer)

    def record_progress(self):
        """Note that a piece was passed to the transport."""


def make_request_body(raw):
    """Return what an HTTP client sends for the bytes of a request's body."""
    if raw and len(raw) > PIECE_BYTES:
        return Pieces(raw)
    return raw or None


def make_large_slots():
    """Return the places for large bodies that one process reads at a time."""
    return asyncio.Semaphore(MAX_LARGE_BODIES)


async def read_whole(
    read, server_name, limit_bytes=MAX_BODY_BYTES, large_slots=None
):
    """Return a whole body; ``read()`` returns its parts and then ``b''``.

    A large body waits for one of ``large_slots``; meanwhile the connection
    holds its sender back. Raise ``AnswerTooLarge`` for a body of more than
    ``limit_bytes``.
    """
    parts = []
    try:
        return await _join(parts, read, server_name, limit_bytes, large_slots)
    finally:
        # The traceback of a failure refers to the parts. It lives on outside
        # of the places, while the request is sent to another server.
        parts.clear()


async def _join(parts, read, server_name, limit_bytes, large_slots):
    size = 0
    async with contextlib.AsyncExitStack() as held:
        while part := await read():
            size += len(part)
            if size > limit_bytes:
                raise errors.AnswerTooLarge(server_name, limit_bytes).mark_ran(
                    errors.Ran.UNKNOWN
                )
            parts.append(part)
            if size > SMALL_BODY_BYTES and large_slots is not None:
                await held.enter_async_context(large_slots)
                large_slots = None
        return b''.join(parts)
