"""What a backend server states of itself in the head of a response."""

import math

LEAVING = '1'
# A longer time is cut to this, in case the server meant something else.
MAX_HOLD_S = 600.0


def parse_leaving(text):
    """Return whether a header says that the server is leaving."""
    return (text or '').strip() == LEAVING


def parse_hold_s(text):
    """Return the seconds for which a server wants no requests, 0 if none.

    A date is not understood.
    """
    try:
        seconds = float(text or 0)
    except ValueError:
        return 0.0
    if not math.isfinite(seconds):
        return 0.0
    return min(max(seconds, 0.0), MAX_HOLD_S)


def parse_cold_s(text):
    """Return the seconds that a server stays cold, from a header in ms.

    None if there is no header or no usable number in it.
    """
    try:
        milliseconds = float(text or '')
    except ValueError:
        return None
    if not math.isfinite(milliseconds):
        return None
    return min(max(milliseconds / 1000, 0.0), MAX_HOLD_S)


def apply(server, stated, now, log):
    """Apply a head or a refusal, with ``is_leaving`` and ``hold_s``.

    It holds for this process of the server: one that starts anew has a new
    entry.
    """
    if stated.is_leaving and not server.leaving:
        server.leaving = True
        log.info('server leaving', server=server.name)
    if stated.hold_s > 0.0:
        server.hold(now + stated.hold_s)
        log.info('server on hold', server=server.name, hold_s=stated.hold_s)
