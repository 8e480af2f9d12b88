"""What instances know of sessions: the version that each ran on last.

A session may continue at an instance that has never seen it, as the one before
stops. So instances list theirs for each other before a roll-out's first step.
Sessions are listed by a short hash of their service and name, which may also
match another session: that one then stays on its version, too.
"""

import collections
import struct

import msgspec
import xxhash

from arbutuschute.policy import rollout_records

# A session continues if its next request comes within this time of the end of
# the one before; the default of a setting.
SESSION_S = 5.0
# A request that its caller sent within that time may reach a server this much
# later: links are slow, and it waits for its turn.
LATE_REQUEST_S = 6.0
# Keeps a record, in base64, far below what the store accepts.
MAX_LISTED = 10_000
# Clocks of two instances differ by less.
CLOCK_SLACK_S = 10.0
_HASH = struct.Struct('>I')


class SessionMemory:
    """Versions by key, which is a service and a session.

    A session is remembered while a request of it runs and for the session's
    time after the end of the last one. A request without a session has a key
    of its own, which is forgotten at its end.
    """

    __slots__ = ('_ended', '_now', '_running', '_single', '_versions',
                 'keep_s')  # fmt: skip

    def __init__(self, now, session_s=SESSION_S):
        self._now = now
        # Seconds after the end of its last request.
        self.keep_s = session_s + LATE_REQUEST_S
        # The requests that run, by key.
        self._running = collections.Counter()
        # The keys of those without a session.
        self._single = set()
        self._versions = {}
        # When the last request of a key ended, oldest first; no key that runs.
        self._ended = {}

    def begin(self, key, is_session=True):
        """Note that a request begins."""
        self._forget_old()
        self._ended.pop(key, None)
        self._running[key] += 1
        if not is_session:
            self._single.add(key)

    def record(self, key, version):
        """Note that a request was sent to a server of a version."""
        self._versions.pop(key, None)
        self._versions[key] = version

    def end(self, key):
        """Note that a request has ended."""
        self._running[key] -= 1
        if self._running[key] > 0:
            return
        del self._running[key]
        if key in self._single:
            self._single.discard(key)
            self._versions.pop(key, None)
        elif key in self._versions:
            self._ended[key] = self._now()

    def find(self, key):
        """Return the version of a session's last request, None if unknown."""
        if self._is_over(key):
            return None
        return self._versions.get(key)

    def find_all(self, service):
        """Return {session: version} of a service, the newest last."""
        return {
            key[1]: version
            for key, version in self._versions.items()
            if key[0] == service
            and key not in self._single
            and not self._is_over(key)
        }

    def list_services(self):
        """Return the services that sessions are known of."""
        return {service for service, _ in self._versions.keys() - self._single}

    def _is_over(self, key):
        ended_at = self._ended.get(key)
        return ended_at is not None and self._now() - ended_at > self.keep_s

    def _forget_old(self):
        while self._ended and self._is_over(next(iter(self._ended))):
            key = next(iter(self._ended))
            del self._ended[key]
            del self._versions[key]


def hash_session(service, session):
    """Return the hash of a session, of 32 bits."""
    name = f'{service}/{session}'
    return xxhash.xxh32_intdigest(name.encode(errors='surrogateescape'))


def pack(versions_by_hash):
    """Return {version: packed hashes}; the oldest are left out if too many."""
    hashes = {}
    for number, version in list(versions_by_hash.items())[-MAX_LISTED:]:
        hashes.setdefault(version, []).append(_HASH.pack(number))
    return {version: b''.join(packed) for version, packed in hashes.items()}


def unpack(record):
    """Return {hash: version} of ``Sessions``.

    Raise ``msgspec.DecodeError`` if it is malformed.
    """
    try:
        return {
            number: version
            for version, packed in record.versions.items()
            for (number,) in _HASH.iter_unpack(packed)
        }
    except struct.error as error:
        raise msgspec.DecodeError(str(error)) from None


class SessionLists:
    """What instances have listed for one roll-out.

    A session that several have listed keeps the version it was listed with
    first.
    """

    __slots__ = ('_is_written', '_own', '_versions')

    def __init__(self):
        self._versions = {}
        # What this instance and its predecessors of the same name have listed.
        self._own = {}
        # Whether the log has all of it.
        self._is_written = True

    def find(self, service, session):
        """Return the version that a session was listed with, or None."""
        if not self._versions:
            return None
        return self._versions.get(hash_session(service, session))

    def apply(self, record, is_own=False):
        """Apply ``Sessions``; ``is_own`` if they are of this instance."""
        found = unpack(record)
        for number, version in found.items():
            self._versions.setdefault(number, version)
        if is_own:
            self._own = {**found, **self._own}

    def begin_era(self):
        """Assume that the log has lost what this instance has listed."""
        self._is_written = not self._own

    def add(self, service, versions):
        """Add sessions that this instance has seen; ``versions`` by session.

        Return whether its record is to be written.
        """
        for session, version in versions.items():
            number = hash_session(service, session)
            if number not in self._versions:
                self._versions[number] = self._own[number] = version
                self._is_written = False
        return not self._is_written

    def make_record(self, service, order, instance, written_at):
        """Return ``Sessions`` with all that this instance has listed."""
        return rollout_records.Sessions(
            service, instance, written_at, pack(self._own), order
        )

    def confirm(self, record):
        """Note that a record was written."""
        self._is_written = record.versions == pack(self._own)


def make_stop_record(service, versions, instance, written_at):
    """Return ``Sessions`` of an instance that stops, for a later order."""
    return rollout_records.Sessions(
        service,
        instance,
        written_at,
        pack(
            {
                hash_session(service, session): version
                for session, version in versions.items()
            }
        ),
    )


def is_of_use(record, order_age_s, keep_s, wall):
    """Return whether sessions of a stop may continue after an order.

    The order is ``order_age_s`` old and sessions last ``keep_s`` after the end
    of a request; ``wall`` is the Unix time in seconds.
    """
    return wall - record.written_at <= order_age_s + keep_s + CLOCK_SLACK_S
