"""Admission: what one instance holds at a time, per profile."""

import collections
import contextlib

from arbutuschute import errors


class Admission:
    """Counts running work and refuses past a profile's limit."""

    __slots__ = ('in_flight', 'running')

    def __init__(self):
        self.in_flight = 0
        self.running = collections.Counter()

    @contextlib.contextmanager
    def enter(self, work):
        """Hold a place for ``work``; raise ``Overloaded`` if there is none."""
        name = work.profile.name
        if self.running[name] >= work.profile.limits.in_flight:
            raise errors.Overloaded(work.organisation.name)
        self.running[name] += 1
        self.in_flight += 1
        try:
            yield
        finally:
            self.running[name] -= 1
            self.in_flight -= 1
