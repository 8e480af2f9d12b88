"""Server-sent events, split off from the bytes of a response."""

EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# A slow stream is known by its first events, long before it ends.
MEASURED_EVENTS = 8


class Splitter:
    """Buffers the bytes of a stream and returns complete events only."""

    __slots__ = ('_partial', 'last_id')

    def __init__(self):
        self._partial = b''
        self.last_id = None

    @property
    def has_partial_event(self):
        """Whether the buffer holds the start of an unfinished event."""
        return bool(self._partial.strip())

    @property
    def partial_bytes(self):
        """The size of the buffer."""
        return len(self._partial)

    def take_rest(self):
        """Return the buffer's bytes, and empty it."""
        rest, self._partial = self._partial, b''
        return rest

    def feed(self, chunk):
        """Return the bytes of the events that ``chunk`` completes, if any.

        Blank lines are no event: they are kept for the next one.
        """
        data = self._partial + chunk
        cut = data.rfind(EVENT_END) + len(EVENT_END)
        whole = data[:cut] if cut >= len(EVENT_END) else b''
        if not whole.strip():
            self._partial = data
            return b''
        self._partial = data[cut:]
        found = _parse_last_id(whole)
        if found is not None:
            self.last_id = found
        return whole


class GapMeter:
    """Measures the mean time between the first events of a stream.

    ``add`` and ``finish`` return it in seconds as soon as it is known: after
    ``MEASURED_EVENTS`` that followed the first bytes, or at the stream's end.
    They return None at all other times.
    """

    __slots__ = ('_began_at', '_events', '_is_known', '_last_at')

    def __init__(self):
        self._began_at = None
        self._last_at = None
        self._events = 0
        self._is_known = False

    def add(self, events, now):
        """Count the events in bytes that arrived together."""
        if self._began_at is None:
            self._began_at = now
            return None
        if self._is_known:
            return None
        self._events += events.count(EVENT_END)
        self._last_at = now
        return self.finish() if self._events >= MEASURED_EVENTS else None

    def finish(self):
        """Settle for the events that there were."""
        if self._is_known or not self._events:
            return None
        self._is_known = True
        return (self._last_at - self._began_at) / self._events


def is_continuation(events, last_id):
    """Return whether events go on after the one with ``last_id``.

    Their ids increase. Comments, as sent to keep a connection open, have
    none.
    """
    first_id = _parse_first_id(events)
    if first_id is None:
        return all(
            line.startswith(b':') for line in events.split(b'\n') if line
        )
    if first_id.isdecimal() and last_id.isdecimal():
        return int(first_id) > int(last_id)
    return first_id != last_id


def _parse_first_id(events):
    """Return the id of the first event that has one, or None."""
    for line in events.split(b'\n'):
        if line.startswith(_ID_FIELD):
            return _decode_id(line)
    return None


def _decode_id(line):
    return line[len(_ID_FIELD) :].strip().decode('utf-8', 'replace')


def _parse_last_id(events):
    """Return the id of the last event that has one, or None."""
    start = events.rfind(b'\n' + _ID_FIELD)
    if start >= 0:
        start += 1
    elif events.startswith(_ID_FIELD):
        start = 0
    else:
        return None
    end = events.find(b'\n', start)
    return _decode_id(events[start:end])
