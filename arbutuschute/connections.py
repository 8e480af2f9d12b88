"""Connections of HTTP clients to backend servers, and how they end.

A response with neither a length nor chunks ends with its connection. It is
whole only if that was closed and not reset, which may happen before the
response is read.
"""

import asyncio

import aiohttp


class Connector(aiohttp.TCPConnector):
    """Tracks how each connection ends, from its creation on."""

    async def _create_connection(self, req, traces, timeout):
        protocol = await super()._create_connection(req, traces, timeout)
        closed = protocol.closed
        if closed is not None:
            closed.add_done_callback(lambda future: future.exception())
        return protocol


def watch_end(response):
    """Return the future of the connection's end; None if it doesn't matter.

    Call it before reading: a response releases its connection at the end.
    """
    if _is_framed(response):
        return None
    return response._protocol.closed


async def read(response, closed):
    """Return the next bytes, ``b''`` at the end of a whole response.

    ``closed`` is that of ``watch_end``. Raise ``aiohttp.ClientError`` or
    ``OSError`` if the response is incomplete.
    """
    chunk = await response.content.readany()
    if not chunk and closed is not None:
        await asyncio.shield(closed)
    return chunk


def _is_framed(response):
    headers = response.headers
    return (
        'Content-Length' in headers
        or 'chunked' in headers.get('Transfer-Encoding', '').lower()
    )
