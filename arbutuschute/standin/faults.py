"""Faults that a stand-in shows on demand, set over its control endpoint."""

import asyncio

from aiohttp import web
import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches of all stand-ins; each uses those that concern it.

    Times are in seconds, ``cut`` holds names of instances that get no
    answer, and the counters count down as they are used up.
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
    quality: float = -1.0


class Switchboard:
    """Holds the faults now in force."""

    __slots__ = ('now',)

    def __init__(self):
        self.now = Faults()

    async def handle_control(self, request):
        """Replace the faults by the JSON document in the request."""
        self.now = msgspec.json.decode(await request.read(), type=Faults)
        return web.json_response({})

    def take_for(self, name, stream):
        """Use up one of a fault that may be meant for some streams only."""
        chosen = self.now.streams
        return (not chosen or stream in chosen) and self.take(name)

    def take(self, name):
        """Use up one of a counted fault; tell whether one was left."""
        left = getattr(self.now, name)
        if left <= 0:
            return False
        setattr(self.now, name, left - 1)
        return True


def drop_connection(request):
    """Close the connection without an answer, as a lost reply would."""
    request.transport.abort()
    return web.Response()


async def hang_forever():
    """Keep the caller waiting until it gives up."""
    await asyncio.Event().wait()
