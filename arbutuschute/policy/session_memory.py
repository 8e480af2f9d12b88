"""The version that each session ran on last, as this instance has seen."""

import collections

# A session continues if its next request comes within this time of the end of
# the one before; the default of a setting.
SESSION_S = 5.0
# A request that its caller sent within that time may reach a server this much
# later: links are slow, and it waits for its turn.
LATE_REQUEST_S = 6.0


class SessionMemory:
    """Versions by key, which is a service and a session.

    A session is remembered while a request of it runs and for the session's
    time after the end of the last one. A request without a session has a key
    of its own, which is forgotten at its end.
    """

    __slots__ = ('_ended', '_keep_s', '_now', '_running', '_versions')

    def __init__(self, now, session_s=SESSION_S):
        self._now = now
        self._keep_s = session_s + LATE_REQUEST_S
        # The requests that run, by key.
        self._running = collections.Counter()
        self._versions = {}
        # When the last request of a key ended, oldest first; no key that runs.
        self._ended = {}

    def begin(self, key):
        """Note that a request begins."""
        self._forget_old()
        self._ended.pop(key, None)
        self._running[key] += 1

    def record(self, key, version):
        """Note that a request was sent to a server of a version."""
        self._versions[key] = version

    def end(self, key, is_session=True):
        """Note that a request has ended."""
        self._running[key] -= 1
        if self._running[key] > 0:
            return
        del self._running[key]
        if is_session and key in self._versions:
            self._ended[key] = self._now()
        else:
            self._versions.pop(key, None)

    def find(self, key):
        """Return the version of a session's last request, None if unknown."""
        if self._is_over(key):
            return None
        return self._versions.get(key)

    def _is_over(self, key):
        ended_at = self._ended.get(key)
        return ended_at is not None and self._now() - ended_at > self._keep_s

    def _forget_old(self):
        while self._ended and self._is_over(next(iter(self._ended))):
            key = next(iter(self._ended))
            del self._ended[key]
            del self._versions[key]
