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

    def feed(self, chunk):
        """Return the bytes of the events that ``chunk`` completes, if any."""
        data = self._partial + chunk
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._partial = data
            return b''
        cut += len(EVENT_END)
        self._partial = data[cut:]
        whole = data[:cut]
        found = _parse_last_id(whole)
        if found is not None:
            self.last_id = found
        return whole


class GapMeter:
    """Measures the mean time between the first events of a stream.

    ``gap_s`` is None until ``MEASURED_EVENTS`` have followed the first
    bytes; ``finish`` settles for fewer.
    """

    __slots__ = ('_began_at', '_events', '_last_at', 'gap_s')

    def __init__(self):
        self._began_at = None
        self._last_at = None
        self._events = 0
        self.gap_s = None

    def add(self, events, now):
        """Count the events in bytes that arrived together."""
        if self._began_at is None:
            self._began_at = now
            return
        if self.gap_s is not None:
            return
        self._events += events.count(EVENT_END)
        self._last_at = now
        if self._events >= MEASURED_EVENTS:
            self.finish()

    def finish(self):
        """Set ``gap_s`` from the events so far, if there are enough."""
        if self.gap_s is None and self._events:
            self.gap_s = (self._last_at - self._began_at) / self._events


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
    return events[start + len(_ID_FIELD) : end].strip().decode('ascii')
