"""A link that passes bytes on, and may lose those of its open connections."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class Link:
    """A proxy of TCP connections to one address."""

    def __init__(self, target):
        self._target = target
        self._server = None
        # The writers of the connections that still pass bytes on.
        self._open = set()
        self._writers = set()

    async def start(self, address):
        """Accept connections at (host, port)."""
        self._server = await asyncio.start_server(self._accept, *address)

    def silence(self):
        """Pass on nothing more of the open connections; return their number.

        They are not reset. New ones work.
        """
        count = len(self._open)
        self._open = set()
        return count // 2

    def stop(self):
        """Close everything."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        pair = {writer, far_writer}
        self._open |= pair
        self._writers |= pair
        await asyncio.gather(
            self._pass_on(reader, far_writer),
            self._pass_on(far_reader, writer),
        )

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if writer in self._open:
                    writer.write(chunk)
                    await writer.drain()
        if writer in self._open:
            self._open.discard(writer)
            writer.close()
