"""The end of a listening socket, without cutting off callers in its queue."""

import asyncio
import contextlib

# A request arrives within this time after its connection was accepted.
LAST_READS_S = 0.1


async def stop(site, runner, timer):
    """Stop listening; serve the connections that have been accepted.

    Closing a socket resets those that the kernel has accepted and the process
    has not. ``site`` and ``runner`` are those of aiohttp. Returns once
    requests on these connections have arrived.
    """
    loop = asyncio.get_running_loop()
    queues = [listener.dup() for listener in site._server.sockets]
    for listener in site._server.sockets:
        loop.remove_reader(listener.fileno())
    # The event loop drops connections that it has just accepted if their
    # server closes before it has made their transports.
    await timer.sleep(0.0)
    await site.stop()
    accepted = []
    for queue in queues:
        with contextlib.closing(queue):
            accepted += _accept_all(queue)
    for connection in accepted:
        await loop.connect_accepted_socket(runner.server, connection)
    await timer.sleep(LAST_READS_S)


def _accept_all(queue):
    """Return the connections in a listening socket's queue."""
    queue.setblocking(False)
    accepted = []
    while True:
        try:
            connection, _ = queue.accept()
        except ConnectionAbortedError:
            continue  # The caller has left the queue.
        except BlockingIOError:
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
