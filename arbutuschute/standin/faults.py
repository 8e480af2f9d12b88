"""Faults that a test injects into a stand-in over its control endpoint."""

import asyncio

from aiohttp import web
import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of all stand-ins; each uses those that apply to it.

    Times are in seconds, ``cut`` holds the names of instances that get no
    answer, and each use of a counted fault decrements its counter. An engine
    ends as soon as it begins to answer a message that holds ``crash_on``.
    Its answers state ``rate_limit`` in requests a second, unless it is 0.
    """

    outage: bool = False
    delay_s: float = 0.0
    cut: tuple[str, ...] = ()
    lose_replies: int = 0
    list_outage: bool = False
    streams: tuple[str, ...] = ()
    delay_appends: int = 0
    delay_appends_s: float = 1.0
    refuse: bool = False
    break_after: int = -1
    breaks: int = 0
    cross: int = 0
    slow_factor: float = 1.0
    hang: int = 0
    error: int = 0
    crash_on: str = ''
    rate_limit: float = 0.0
    quality: float = -1.0


class FaultInjector:
    """Holds the active faults of one stand-in."""

    __slots__ = ('active',)

    def __init__(self):
        self.active = Faults()

    async def handle_control(self, request):
        """Replace the faults by the JSON document in the request."""
        self.active = msgspec.json.decode(await request.read(), type=Faults)
        return web.json_response({})

    def consume_for(self, name, stream):
        """Consume one use of a fault that may be limited to some streams."""
        streams = self.active.streams
        return (not streams or stream in streams) and self.consume(name)

    def consume(self, name):
        """Consume one use of a counted fault; return whether one was left."""
        left = getattr(self.active, name)
        if left <= 0:
            return False
        setattr(self.active, name, left - 1)
        return True


def drop_connection(request):
    """Close the connection without an answer, like a lost reply."""
    request.transport.abort()
    return web.Response()


async def hang_forever():
    """Never respond; the caller runs into its own timeout."""
    await asyncio.Event().wait()
