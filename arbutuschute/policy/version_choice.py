"""Which version a session's requests run on while an order is in force.

What serves and what is tried are two facts. An order names what is tried. What
served when it came goes on serving; a version of an earlier order that never
was completed is neither, and gets no new sessions.
"""

import enum

import msgspec

from arbutuschute.policy import rollout_records


class Group(enum.Enum):
    """What a version is in a roll-out."""

    NEW = 'new'
    OLD = 'old'
    SET_ASIDE = 'set-aside'


def follow(serving, version, phase, number, listed, next_version):
    """Return the ``Serving`` of the order after one.

    That one had ``serving``, ordered ``version`` and has come to ``phase`` and
    to the step ``number``; ``listed`` are the versions that have servers now.
    """
    if phase is rollout_records.Phase.COMPLETED:
        # What had served before has been stopped.
        return make_serving((version,), listed, next_version)
    set_aside = set(serving.set_aside)
    # At the last step all requests use the new version, and the end of the
    # roll-out may not have been read yet.
    is_last_step = number + 1 == len(rollout_records.SHARES)
    if phase is rollout_records.Phase.ROLLED_BACK or not is_last_step:
        set_aside.add(version)
    return make_serving(serving.versions, set_aside, next_version)


def make_serving(versions, set_aside, version):
    """Return the ``Serving`` of an order of ``version``."""
    return rollout_records.Serving(
        tuple(sorted(versions)),
        tuple(sorted({*set_aside} - {*versions, version})),
    )


def merge(own, record, version):
    """Return what is known of an order's ``Serving`` after a record.

    A record that names what served holds for all instances: its writer had
    read all records before.
    """
    return make_serving(
        record.versions or own.versions,
        {*record.set_aside, *own.set_aside},
        version,
    )


class Choice(msgspec.Struct, frozen=True):
    """What decides on the versions of a roll-out's requests at a moment.

    ``share`` is the new version's share of all sessions, ``first_share`` that
    of new sessions at the first step. Sessions keep their version until the
    ramp.
    """

    version: str
    serving: rollout_records.Serving
    share: float
    first_share: float
    is_before_ramp: bool

    def classify(self, version):
        """Return the ``Group`` of a version."""
        if version == self.version:
            return Group.NEW
        if version in self.serving.set_aside:
            return Group.SET_ASIDE
        return Group.OLD

    def choose_group(self, position, seen):
        """Return the ``Group`` for a session.

        ``position`` is where it lies in the shares, from 0 to 1, ``seen`` the
        version that it ran on last, or None.
        """
        group = None if seen is None else self.classify(seen)
        if not self.is_before_ramp:
            # The version that was set aside is left for the new one, as a
            # session that is on the new one later would move twice.
            if group is Group.SET_ASIDE and self.share > 0.0:
                return Group.NEW
            return Group.NEW if position < self.share else Group.OLD
        if group is Group.NEW and position < self.first_share:
            return Group.NEW
        if group in (Group.OLD, Group.SET_ASIDE):
            return group
        return Group.NEW if position < self.share else Group.OLD

    def select(self, usable, live, position, seen):
        """Return the servers for a session, of those that are ``usable``.

        ``live`` are all that the service has, also those that were tried. A
        group without live servers is replaced by another.
        """
        group = self.choose_group(position, seen)
        if group is Group.SET_ASIDE:
            if found := [s for s in usable if s.entry.version == seen]:
                return found
            group = Group.OLD  # It has been rolled back, or is gone.
        if group is Group.OLD:
            order = (Group.OLD, Group.NEW)
        else:
            order = (Group.NEW, Group.OLD)
        for one in order:
            if found := self._find(usable, one):
                return found
            if one is Group.OLD and self._find(live, one):
                return []
        return usable

    def _find(self, servers, group):
        return [s for s in servers if self.classify(s.entry.version) is group]
