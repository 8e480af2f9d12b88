"""How long an attempt waits for a silent server before another is asked."""

import asyncio

import msgspec

from arbutuschute import errors
from arbutuschute.traffic import sending

CHECK_PERIOD_S = 0.2
# A server that works sends something on one of our connections several times
# in this time; one that sends nothing at all has gone dark.
UNRESPONSIVE_AFTER_S = 0.9
# Unless ours is all that it has: then it is silent while it reads a long
# prompt. One prompt in ten takes over twice as long as expected.
READING_TIMES = 2.0
READING_MARGIN_S = 0.3


class Limits(msgspec.Struct, frozen=True):
    """Seconds to wait for a server, and for one that is silent all over."""

    total_s: float
    silence_s: float = UNRESPONSIVE_AFTER_S


def compute_first_event_limits(total_s, reading_s):
    """Return the ``Limits`` until the first event of an answer.

    ``reading_s`` is how long the server is expected to read the prompt.
    """
    silence_s = READING_MARGIN_S + READING_TIMES * reading_s
    return Limits(total_s, max(UNRESPONSIVE_AFTER_S, silence_s))


async def wait_for(environment, request, server, make_wait, limits):
    """Return what ``make_wait()`` brings from a server.

    ``make_wait`` returns a coroutine that may be cancelled and made anew.
    Raise ``ServerSilent`` if the server keeps silent for too long and the
    request may be repeated; that repeat is then counted.
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
    """Do the same for a coroutine that can't be made anew."""
    if not request.route.is_retryable:
        return await wait
    task = asyncio.ensure_future(wait)
    began = environment.now()
    try:
        while True:
            done, _ = await asyncio.wait({task}, timeout=CHECK_PERIOD_S)
            if done:
                return task.result()
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
