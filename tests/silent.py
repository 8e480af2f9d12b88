"""A server whose open connections can fall silent while new ones work."""

import asyncio
import contextlib

from tests import test_large_records

FOREVER_S = 60.0


class Silence:
    """Middleware that holds back the responses of silent connections."""

    def __init__(self):
        self._open = set()
        self._silent = set()

    def begin(self):
        """Let all connections that were used so far fall silent."""
        self._silent |= self._open

    async def respond(self, request, handle):
        """Return the response of ``handle``, unless it must not arrive."""
        self._open.add(request.transport)
        await self._hang_if_silent(request)
        response = await handle(request)
        await self._hang_if_silent(request)
        return response

    async def _hang_if_silent(self, request):
        if request.transport in self._silent:
            await asyncio.sleep(FOREVER_S)


@contextlib.asynccontextmanager
async def serve(answer):
    """Serve HTTP requests; yield (silence, client session, address)."""
    silence = Silence()

    async def handle(request):
        return await silence.respond(request, answer)

    async with test_large_records.serve(handle) as (session, address):
        yield silence, session, address
