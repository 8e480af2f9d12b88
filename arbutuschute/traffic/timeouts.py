"""Time limits for a silent server, after which another one is tried."""

import asyncio

import msgspec

from arbutuschute import errors
from arbutuschute.traffic import sending

CHECK_PERIOD_S = 0.2
# A working server sends data on one of our connections several times in this
# time; one that sends none is unresponsive.
UNRESPONSIVE_AFTER_S = 0.9
# A server that has only our request is silent while it reads a long prompt.
# One prompt in ten takes over twice as long as estimated.
READING_FACTOR = 2.0
READING_MARGIN_S = 0.3
# Between the events of a stream, as multiples of the route's longest pause. A
# pause of that length is sound; a server may be heard on other connections.
SILENT_GAP_TARGETS = 1.2
GAP_TARGETS = 3.5
# The same, as a multiple of the stream's longest pause so far.
SILENT_GAPS = 2.0


class Limits(msgspec.Struct, frozen=True):
    """Seconds to wait for an attempt, and for a server that sends no data.

    ``silence_s`` applies to the server as a whole, over all requests.
    """

    total_s: float
    silence_s: float = UNRESPONSIVE_AFTER_S


def compute_first_event_limits(total_s, reading_s):
    """Return the ``Limits`` until the first event of a response.

    ``reading_s`` is the estimated time that the server reads the prompt.
    """
    silence_s = READING_MARGIN_S + READING_FACTOR * reading_s
    return Limits(total_s, max(UNRESPONSIVE_AFTER_S, silence_s))


def compute_gap_limits(gap_target_s, longest_gap_s):
    """Return the ``Limits`` until the next event of a stream.

    ``gap_target_s`` is the route's longest pause, ``longest_gap_s`` that of
    the stream so far: one at a busy server slows down before it goes on.
    """
    silence_s = max(
        UNRESPONSIVE_AFTER_S,
        SILENT_GAP_TARGETS * gap_target_s,
        SILENT_GAPS * longest_gap_s,
    )
    return Limits(max(GAP_TARGETS * gap_target_s, silence_s), silence_s)


async def wait_for(environment, request, server, make_wait, limits):
    """Return the result of ``make_wait()``, which waits for a server.

    ``make_wait`` returns a coroutine; it may be cancelled and created again.
    Raise ``ServerSilent`` if a limit has passed and the request may be
    retried; the retry budget is then charged.
    """
    if not request.route.is_retryable:
        return await make_wait()
    began = environment.now()
    while True:
        try:
            async with asyncio.timeout(CHECK_PERIOD_S):
                return await make_wait()
        except TimeoutError:
            _check_silence(environment, request, server, began, limits)


async def wait_for_task(environment, request, server, wait, limits):
    """Do the same as ``wait_for`` for a coroutine that can't be recreated."""
    if not request.route.is_retryable:
        return await wait
    task = asyncio.ensure_future(wait)
    began = environment.now()
    try:
        while True:
            done, _ = await asyncio.wait({task}, timeout=CHECK_PERIOD_S)
            if done:
                return task.result()
            sending.refuse_quarantined(environment, request)
            _check_silence(environment, request, server, began, limits)
    finally:
        task.cancel()


def _check_silence(environment, request, server, began, limits):
    now = environment.now()
    silence_s = now - max(server.last_heard_at, began)
    if silence_s < limits.silence_s and now - began < limits.total_s:
        return
    if sending.may_retry(environment, request, errors.Ran.UNKNOWN):
        raise errors.ServerSilent(
            server.name, round(now - began, 2), round(silence_s, 2)
        ).mark_ran(errors.Ran.UNKNOWN)
