"""The state of one roll-out that an operator ordered, as the log has it."""

from arbutuschute.policy import comparison
from arbutuschute.policy import rollout_decision
from arbutuschute.policy import rollout_records
from arbutuschute.policy import sessions
from arbutuschute.policy import version_choice
from arbutuschute.zones import rendezvous

# Servers of the new version start with the order. After this time every
# instance lists them, so all begin together and no session switches versions
# back and forth.
BEGIN_AFTER_S = 3.0
# Upper bound of that time, as a part of the roll-out's time.
MAX_BEGIN_SHARE = 0.2
# A step takes effect once every instance has read it; they read every 1.2 s.
EFFECT_DELAY_S = 1.6


class Rollout:
    """The state of one order."""

    __slots__ = (
        '_effect_after_s',
        '_listed',
        'comparison',
        'ended_at',
        'first_share',
        'is_announced',
        'is_in_log',
        'is_settled',
        'lists',
        'number',
        'order',
        'phase',
        'serving',
        'started_at',
    )

    def __init__(self, order, now, first_share=rollout_records.SHARES[0],
                 serving=rollout_records.UNKNOWN_SERVING,
                 listed=()):  # fmt: skip
        self.order = order
        # The versions that had servers when the order was read.
        self._listed = listed
        self.first_share = first_share
        self.serving = serving
        self.phase = rollout_records.Phase.RUNNING
        self.number = 0
        self.started_at = now
        self.ended_at = now
        # Whether the log has the order, the step that this instance knows of,
        # and whether the operator has the roll-out's end.
        self.is_in_log = True
        self.is_announced = False
        self.is_settled = False
        # When the newest step takes effect, in seconds of the roll-out.
        self._effect_after_s = 0.0
        self.comparison = comparison.Comparison()
        self.lists = sessions.SessionLists()

    def resume(self, before):
        """Go on with the roll-out of an order of the same version."""
        self.first_share = before.first_share
        self.serving = before.serving
        self.number = before.number
        self.started_at = before.started_at
        self._effect_after_s = before._effect_after_s
        self.comparison = before.comparison
        self.lists = before.lists
        self.lists.begin_era()  # They are of the order before in the log.

    @property
    def is_return(self):
        """Whether the order is for a version that has served all the time.

        It takes an earlier order back, and there is nothing to be tried.
        """
        return self.order.version in self.serving.versions

    @property
    def _begin_s(self):
        if self.is_return:
            return 0.0
        return min(BEGIN_AFTER_S, MAX_BEGIN_SHARE * self.order.duration_s)

    @property
    def begins_at(self):
        """When the first step takes effect."""
        return self.started_at + self._begin_s

    @property
    def listing_times(self):
        """When instances list their sessions, in order.

        Every instance has read the lists when the first step takes effect.
        Sessions of a version that was set aside are unknown to others from
        the order on.
        """
        times = {
            max(self.started_at, self.begins_at - EFFECT_DELAY_S),
            self.begins_at,
        }
        if self.serving.set_aside:
            times.add(self.started_at)
        return sorted(times)

    def is_before_ramp(self, now):
        """Return whether sessions may not move to the new version yet."""
        if self.phase is not rollout_records.Phase.RUNNING:
            return False
        if self.is_return:
            ramp_s = rollout_decision.RAMP_FROM * self.order.duration_s
            return now - self.started_at < ramp_s
        return not self.find_step(now)

    @property
    def largest_first_share(self):
        """The largest share that the first step may have.

        The instance that announces the order may give it a smaller one.
        """
        if self.is_return:
            return 1.0
        if self.is_announced:
            return self.first_share
        return rollout_records.SHARES[0]

    def find_position(self, session):
        """Return where a session lies in the shares, from 0 to 1."""
        return rendezvous.hash_to_unit_interval(
            f'{self.order.service}/{self.order.version}/{session}'
        )

    def find_movable(self, versions):
        """Return those of {session: version} that the first step may move.

        At an instance that doesn't know them, that is.
        """
        return {
            session: version
            for session, version in versions.items()
            if self.is_set_aside(version)
            or (
                version != self.order.version
                and self.find_position(session) < self.largest_first_share
            )
        }

    def make_choice(self, now):
        """Return the ``Choice`` of versions at ``now``."""
        return version_choice.Choice(
            self.order.version,
            self.serving,
            self.get_share(now),
            self.first_share,
            self.is_before_ramp(now),
        )

    @property
    def stepped_at(self):
        """When the newest step takes effect.

        An instance that starts during a roll-out estimates its start from
        the ages in the records; each record may correct it.
        """
        return self.started_at + self._effect_after_s

    def begin_era(self):
        """Assume that the log has lost the order, its steps and its status."""
        self.is_in_log = False
        self.is_announced = False
        self.is_settled = False
        self.lists.begin_era()

    def adopt(self, order):
        """Continue with the same order, written again at another offset."""
        self.order = order
        self.is_in_log = True

    def get_share(self, now):
        """Return the new version's share of sessions at ``now``."""
        if self.phase is rollout_records.Phase.ROLLED_BACK:
            return 0.0
        if self.phase is rollout_records.Phase.COMPLETED or self.is_return:
            return 1.0
        number = self.find_step(now)
        if number is None:
            return 0.0
        return (
            rollout_records.SHARES[number] if number > 0 else self.first_share
        )

    def find_step(self, now):
        """Return the step in effect at ``now``, None before the first."""
        if now < self.begins_at:
            return None
        return max(0, self.number - (now < self.stepped_at))

    def apply(self, record, now, age_s=0.0):
        """Apply a record about this order; records come in log order.

        ``age_s`` is how long ago it was written, by the clocks of two
        instances. They may be wrong, so it tells no more than that the first
        step is in effect.
        """
        elapsed_s = record.elapsed_s
        if elapsed_s < self._begin_s:
            elapsed_s = min(elapsed_s + age_s, self._begin_s)
        self.started_at = min(self.started_at, now - elapsed_s)
        if isinstance(record, rollout_records.Evidence):
            self.comparison.merge(record)
            return
        if (
            self.is_announced
            and self.phase is not rollout_records.Phase.RUNNING
        ):
            return
        if self._is_behind(record):
            return
        self.first_share = record.first_share
        self.serving = version_choice.merge(
            self.serving, record.serving, self.order.version
        )
        # What this instance knows beyond that is announced as well.
        self.is_announced = (
            self.serving == record.serving
            or record.phase is not rollout_records.Phase.RUNNING
        )
        if self.phase is record.phase is not rollout_records.Phase.RUNNING:
            return
        self.phase = record.phase
        self.ended_at = now
        if record.number > self.number:
            self.number = record.number
            self._effect_after_s = record.elapsed_s + EFFECT_DELAY_S

    def apply_replaced(self, step):
        """Learn what served from the last step of the order before.

        This instance hadn't read it, or has started since and can't read that
        order any more.
        """
        found = version_choice.follow(
            step.serving, step.version, step.phase, step.number,
            self._listed, self.order.version,
        )  # fmt: skip
        self.serving = version_choice.merge(
            self.serving, found, self.order.version
        )

    def _is_behind(self, step):
        """Return whether a step is of a past that the roll-out has left.

        An instance that starts after the log was restored begins it anew.
        """
        if self.phase is not rollout_records.Phase.RUNNING:
            return step.phase is rollout_records.Phase.RUNNING
        return (
            step.phase is rollout_records.Phase.RUNNING
            and step.number < self.number
        )

    def record(self, version, signal, failed):
        """Record one outcome that this instance observed."""
        side = self._find_side(version)
        if side is not None:
            self.comparison.record(side, signal, failed)

    def record_pace(self, version, ratio, now):
        """Record a time as a multiple of the old version's, None if unknown.

        Times before the first step and at the last one are left out.
        """
        step = self.find_step(now)
        if ratio is not None and step in comparison.COMPARED_STEPS:
            side = self._find_side(version)
            if side is not None:
                self.comparison.record_pace(side, step, ratio)

    def is_set_aside(self, version):
        """Return whether a version is of an earlier, replaced order."""
        return version in self.serving.set_aside

    def _find_side(self, version):
        """Return the side of a version, None if it was set aside."""
        if self.is_set_aside(version):
            return None
        return 'new' if version == self.order.version else 'old'

    def make_evidence(self, instance, now):
        """Return the own counts as ``Evidence`` for the log."""
        return rollout_records.Evidence(
            self.order.offset,
            self.order.service,
            instance,
            self.comparison.get_own('new'),
            self.comparison.get_own('old'),
            now - self.started_at,
        )

    def decide(self, instance, now, old_idle, has_old=True):
        """Return the next ``Step`` if it is due, or None.

        ``old_idle`` is whether this instance has nothing in flight at another
        version, ``has_old`` whether there is one to go back to.
        """
        found = rollout_decision.decide(self, instance, now, old_idle, has_old)
        return found and self._make_step(*found, now - self.started_at)

    def _make_step(self, number, phase, elapsed):
        return rollout_records.Step(
            self.order.offset,
            self.order.service,
            number,
            phase,
            elapsed,
            self.first_share,
            version=self.order.version,
            serving=self.serving,
        )


def begin(order, now, first_share, listed, settled):
    """Return the ``Rollout`` of a service's first order.

    ``listed`` are the versions that have servers now, ``settled`` those that
    served before the order, () if not known.
    """
    served = set(settled) - {order.version}
    serving = version_choice.make_serving(served, (), order.version)
    return Rollout(order, now, first_share, serving, listed)


def follow(before, order, now, first_share, listed):
    """Return the ``Rollout`` of an order that comes after another one."""
    serving = version_choice.follow(
        before.serving, before.order.version, before.phase, before.number,
        listed, order.version,
    )  # fmt: skip
    made = Rollout(order, now, first_share, serving, listed)
    is_running = before.phase is rollout_records.Phase.RUNNING
    if is_running and before.order.version == order.version:
        made.resume(before)
    return made
