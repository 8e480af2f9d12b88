"""Roll-outs that an operator orders, in steps of growing shares.

All instances fold the same records in the same order, so they agree on
the step of a roll-out. A step is appended only if its writer has read all
records before it.
"""

from arbutuschute.policy import baseline
from arbutuschute.policy import comparison
from arbutuschute.policy import rollout_records
from arbutuschute.policy import session_memory
from arbutuschute.zones import rendezvous

# Servers of the old version up to which the first share is that large; with
# more it shrinks. More servers mean more requests. The trials that a decision
# needs stay the same, while sessions that change version unseen grow in number
# with the requests.
SERVERS_AT_FIRST_SHARE = 9
# Servers of the new version start with the order. After this time every
# instance lists them, so all begin together and no session switches versions
# back and forth.
BEGIN_AFTER_S = 3.0
# Upper bound of that time, as a part of the roll-out's time.
MAX_BEGIN_SHARE = 0.2
# A step takes effect once every instance has read it; they read every 1.2 s.
EFFECT_DELAY_S = 1.6
# Part of the roll-out's time after which sessions may move to the new version.
RAMP_FROM = 0.5
# Part of the roll-out's time that a step lasts at least, to show a fault.
STEP_TIME = 0.07
# Part of the roll-out's time by which it is completed or rolled back.
END_BY = 0.9


class Rollout:
    """The state of one order."""

    __slots__ = (
        '_effect_after_s',
        'comparison',
        'ended_at',
        'first_share',
        'is_announced',
        'is_in_log',
        'is_settled',
        'number',
        'order',
        'phase',
        'started_at',
    )

    def __init__(self, order, now, first_share=rollout_records.SHARES[0]):
        self.order = order
        self.first_share = first_share
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

    def adopt(self, order):
        """Continue with the same order, written again at another offset."""
        self.order = order
        self.is_in_log = True

    def get_share(self, now):
        """Return the new version's share of sessions at ``now``."""
        if self.phase is rollout_records.Phase.ROLLED_BACK:
            return 0.0
        if self.phase is rollout_records.Phase.COMPLETED:
            return 1.0
        number = self.find_step(now)
        if number is None:
            return 0.0
        return (
            rollout_records.SHARES[number] if number > 0 else self.first_share
        )

    def find_step(self, now):
        """Return the step in effect at ``now``, None before the first."""
        begin_s = min(BEGIN_AFTER_S, MAX_BEGIN_SHARE * self.order.duration_s)
        if now - self.started_at < begin_s:
            return None
        return max(0, self.number - (now < self.stepped_at))

    def apply(self, record, now):
        """Apply a record about this order; records come in log order."""
        self.started_at = min(self.started_at, now - record.elapsed_s)
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
        self.is_announced = True
        self.first_share = record.first_share
        if self.phase is record.phase is not rollout_records.Phase.RUNNING:
            return
        self.phase = record.phase
        self.ended_at = now
        if record.number > self.number:
            self.number = record.number
            self._effect_after_s = record.elapsed_s + EFFECT_DELAY_S

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
        self.comparison.record(self._find_side(version), signal, failed)

    def record_pace(self, version, ratio, now):
        """Record a time as a multiple of the old version's, None if unknown.

        Times before the first step and at the last one are left out.
        """
        step = self.find_step(now)
        if ratio is not None and step in comparison.COMPARED_STEPS:
            side = self._find_side(version)
            self.comparison.record_pace(side, step, ratio)

    def _find_side(self, version):
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

    def decide(self, instance, now, old_idle):
        """Return the next ``Step`` if it is due, or None.

        ``old_idle`` is whether this instance has nothing in flight at the
        old version.
        """
        elapsed = now - self.started_at
        if not self.is_announced:
            return self._make_step(self.number, self.phase, elapsed)
        if self.phase is not rollout_records.Phase.RUNNING:
            return None
        if self.comparison.is_bad(instance):
            return self._make_step(
                self.number, rollout_records.Phase.ROLLED_BACK, elapsed
            )
        duration = self.order.duration_s
        if elapsed < RAMP_FROM * duration:
            return None
        is_last_step = self.number + 1 == len(rollout_records.SHARES)
        if not self.comparison.may_advance(instance, is_last_step):
            if elapsed < END_BY * duration:
                return None
            return self._make_step(
                self.number, rollout_records.Phase.ROLLED_BACK, elapsed
            )
        if now - self.stepped_at < STEP_TIME * duration:
            return None
        if self.number + 1 < len(rollout_records.SHARES):
            return self._make_step(
                self.number + 1, rollout_records.Phase.RUNNING, elapsed
            )
        if old_idle or elapsed >= END_BY * duration:
            return self._make_step(
                self.number, rollout_records.Phase.COMPLETED, elapsed
            )
        return None

    def _make_step(self, number, phase, elapsed):
        return rollout_records.Step(
            self.order.offset,
            self.order.service,
            number,
            phase,
            elapsed,
            self.first_share,
        )


def compute_first_share(servers):
    """Return the first share of a service with ``servers`` servers."""
    return rollout_records.SHARES[0] * min(
        1.0, SERVERS_AT_FIRST_SHARE / max(1, servers)
    )


class Rollouts:
    """The newest order of each service, and the rejected versions."""

    __slots__ = ('_baseline', '_memory', '_now', '_pending_records',
                 '_replaced', 'by_service', 'rejected')  # fmt: skip

    def __init__(self, now, session_s=session_memory.SESSION_S):
        # Newest records of orders that have not been read yet.
        self._pending_records = {}
        # The contents of orders that newer ones have replaced.
        self._replaced = set()
        self._memory = session_memory.SessionMemory(now, session_s)
        self._now = now
        self._baseline = baseline.Baseline(now)
        self.by_service = {}
        self.rejected = set()

    def begin_request(self, service, key):
        """Note that a request of a session begins."""
        self._memory.begin((service, key))

    def record_attempt(self, server, key):
        """Note that a request of a session is sent to a server."""
        entry = server.entry
        self._memory.record((entry.service, key), entry.version)

    def end_request(self, service, key, is_session=True):
        """Note that a request has ended.

        Without ``is_session`` it had a key of its own.
        """
        self._memory.end((service, key), is_session)

    def apply_order(self, order, servers=0):
        """Apply an operator's order, unless it or a newer one is known.

        ``servers`` is the number of the service's servers. The first share
        of the instance that announces the roll-out holds for all.
        """
        known = self.by_service.get(order.service)
        if known is not None and not known.is_in_log:
            if order.content == known.order.content:
                known.adopt(order)
                self._apply_pending(order.service)
                return
            if order.content in self._replaced:
                return  # The operator writes the lost order again.
        elif known is not None and known.order.offset >= order.offset:
            return
        if known is not None:
            self._replaced.add(known.order.content)
        self._replaced.discard(order.content)
        self._begin(order, servers)

    def begin_era(self):
        """Start to compare with a log that was restored from an older copy.

        Roll-outs go on; what the log has lost of them is written again.
        """
        self._pending_records.clear()
        for rollout in self.by_service.values():
            rollout.begin_era()

    def _begin(self, order, servers):
        share = compute_first_share(servers)
        self.by_service[order.service] = Rollout(order, self._now(), share)
        self.rejected.discard((order.service, order.version))
        self._apply_pending(order.service)

    def _apply_pending(self, service):
        for record in self._pending_records.pop(service, {}).values():
            self.apply(record)

    def apply(self, record):
        """Apply a record of the log; return its ``Rollout`` or None.

        Records and orders are read separately, so a record may come first.
        """
        rollout = self.by_service.get(record.service)
        is_order_known = rollout is not None and rollout.is_in_log
        if not is_order_known or rollout.order.offset < record.order:
            writer = getattr(record, 'instance', None)
            self._pending_records.setdefault(record.service, {})[writer] = (
                record
            )
            return None
        if rollout.order.offset != record.order:
            return None
        rollout.apply(record, self._now())
        if rollout.phase is rollout_records.Phase.ROLLED_BACK:
            self.rejected.add((record.service, rollout.order.version))
        return rollout

    def record(self, server, signal, failed):
        """Record an outcome, if the service has a running roll-out."""
        rollout = self.by_service.get(server.entry.service)
        if (
            rollout is not None
            and rollout.phase is rollout_records.Phase.RUNNING
        ):
            rollout.record(server.entry.version, signal, failed)

    def record_time(self, server, kind, seconds):
        """Record a response time; times of one ``kind`` are comparable."""
        entry = server.entry
        key = entry.service, kind
        rollout = self.by_service.get(entry.service)
        if (
            rollout is not None
            and rollout.phase is rollout_records.Phase.RUNNING
        ):
            ratio = self._baseline.compute_ratio(key, seconds)
            rollout.record_pace(entry.version, ratio, self._now())
            if entry.version == rollout.order.version:
                return
        if (entry.service, entry.version) not in self.rejected:
            self._baseline.add(key, seconds)

    def select(self, service, servers, key, live=()):
        """Return the servers that a key's requests may run on.

        ``live`` are all of the service's, ``servers`` those to choose from. A
        share that no live server can serve does not count.
        """
        usable = [
            server
            for server in servers
            if (service, server.entry.version) not in self.rejected
        ]
        rollout = self.by_service.get(service)
        uses_new = self._uses_new(rollout, service, key)
        if (
            rollout is None
            or rollout.phase is rollout_records.Phase.ROLLED_BACK
        ):
            return usable
        version = rollout.order.version
        chosen = [
            s for s in usable if (s.entry.version == version) == uses_new
        ]
        if not chosen and (
            uses_new or {s.entry.version for s in live} == {version}
        ):
            return usable
        return chosen

    def _uses_new(self, rollout, service, key):
        """Return whether a key's requests go to the roll-out's new version.

        The first share takes new sessions only. Sessions that this instance
        has seen on another version stay there.
        """
        if rollout is None:
            return False
        share = rollout.get_share(self._now())
        position = rendezvous.hash_to_unit_interval(
            f'{service}/{rollout.order.version}/{key}'
        )
        if position >= share:
            return False
        if share > rollout.first_share:
            return True
        seen = self._memory.find((service, key))
        return seen in (None, rollout.order.version)
