"""Roll-outs that an operator orders, in steps of growing shares.

All instances fold the same records in the same order, so they agree on
the step of a roll-out. A step is appended only if its writer has read all
records before it.
"""

from arbutuschute.policy import baseline
from arbutuschute.policy import rollout_records
from arbutuschute.policy import sessions

# Servers of the old version up to which the first share is that large; with
# more it shrinks. More servers mean more requests. The trials that a decision
# needs stay the same, while sessions that change version unseen grow in number
# with the requests.
SERVERS_AT_FIRST_SHARE = 9


def compute_first_share(servers):
    """Return the first share of a service with ``servers`` servers."""
    return rollout_records.SHARES[0] * min(
        1.0, SERVERS_AT_FIRST_SHARE / max(1, servers)
    )


class Rollouts:
    """The newest order of each service, and the rejected versions."""

    __slots__ = ('_baseline', '_memory', '_name', '_now', '_pending_records',
                 '_replaced', '_stop_records', '_wall', 'by_service',
                 'rejected')  # fmt: skip

    def __init__(self, now, session_s=sessions.SESSION_S, name='',
                 wall=float):  # fmt: skip
        # This instance's name, and a clock in Unix seconds.
        self._name = name
        self._wall = wall
        # Newest records of orders that have not been read yet.
        self._pending_records = {}
        # The sessions of instances that have stopped, by service and name.
        self._stop_records = {}
        # The contents of orders that newer ones have replaced.
        self._replaced = set()
        self._memory = sessions.SessionMemory(now, session_s)
        self._now = now
        self._baseline = baseline.Baseline(now)
        self.by_service = {}
        self.rejected = set()

    def begin_request(self, service, key, is_session=True):
        """Note that a request of a session begins.

        Without ``is_session`` it has a key of its own.
        """
        self._memory.begin((service, key), is_session)

    def record_attempt(self, server, key):
        """Note that a request of a session is sent to a server."""
        entry = server.entry
        self._memory.record((entry.service, key), entry.version)

    def end_request(self, service, key):
        """Note that a request has ended."""
        self._memory.end((service, key))

    def apply_order(self, order, servers=0, listed=(), settled=()):
        """Apply an operator's order, unless it or a newer one is known.

        ``servers`` is the number of the service's servers. The first share
        of the instance that announces the roll-out holds for all. ``listed``
        are the versions that have servers, ``settled`` those that had some
        long before the order came, () if that isn't known.
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
        self._begin(order, servers, listed, settled)

    def begin_era(self):
        """Start to compare with a log that was restored from an older copy.

        Roll-outs go on; what the log has lost of them is written again.
        """
        self._pending_records.clear()
        for rollout in self.by_service.values():
            rollout.begin_era()

    def _begin(self, order, servers, listed, settled):
        # Imported at the first order, so that no start waits for it.
        from arbutuschute.policy import rollout_state

        share = compute_first_share(servers)
        known = self.by_service.get(order.service)
        if known is None:
            made = rollout_state.begin(
                order, self._now(), share, listed, settled
            )
        else:
            made = rollout_state.follow(
                known, order, self._now(), share, listed
            )
        self.by_service[order.service] = made
        self.rejected.discard((order.service, order.version))
        self._apply_pending(order.service)
        for record in self._stop_records.values():
            self._apply_stop_record(record)

    def _apply_pending(self, service):
        pending = self._pending_records.pop(service, {})
        for record, written_at in pending.values():
            self.apply(record, self._now() - written_at)

    def apply(self, record, age_s=0.0):
        """Apply a record of the log; return its ``Rollout`` or None.

        Records and orders are read separately, so a record may come first.
        ``age_s`` is how long ago it was written, as far as is known.
        """
        if record.order is None:
            self._stop_records[record.service, record.instance] = record
            self._apply_stop_record(record)
            return None
        rollout = self.by_service.get(record.service)
        is_order_known = rollout is not None and rollout.is_in_log
        if not is_order_known or rollout.order.offset < record.order:
            writer = type(record), getattr(record, 'instance', None)
            self._pending_records.setdefault(record.service, {})[writer] = (
                record,
                self._now() - age_s,
            )
            return None
        if rollout.order.offset != record.order:
            if isinstance(record, rollout_records.Step) and record.version:
                self._apply_replaced(rollout, record)
            return None
        if isinstance(record, rollout_records.Sessions):
            rollout.lists.apply(record, record.instance == self._name)
            return rollout
        rollout.apply(record, self._now(), age_s)
        if rollout.phase is rollout_records.Phase.ROLLED_BACK:
            self.rejected.add((record.service, rollout.order.version))
        return rollout

    def _apply_replaced(self, rollout, step):
        rollout.apply_replaced(step)
        is_ordered = step.version == rollout.order.version
        if step.phase is rollout_records.Phase.ROLLED_BACK and not is_ordered:
            self.rejected.add((step.service, step.version))

    def _apply_stop_record(self, record):
        """Add the sessions of an instance that stopped to its roll-out's."""
        rollout = self.by_service.get(record.service)
        if rollout is None:
            return
        order_age_s = self._now() - rollout.started_at
        if sessions.is_of_use(
            record, order_age_s, self._memory.keep_s, self._wall()
        ):
            rollout.lists.apply(record)

    def list_sessions(self, rollout):
        """Return ``Sessions`` to write for a roll-out, None if all are known.

        These are the sessions that would go to the new version at an instance
        that has never seen them.
        """
        service = rollout.order.service
        if not rollout.is_in_log or not rollout.is_before_ramp(self._now()):
            return None
        found = rollout.find_movable(self._memory.find_all(service))
        if not rollout.lists.add(service, found):
            return None
        return rollout.lists.make_record(
            service, rollout.order.offset, self._name, self._wall()
        )

    def confirm_listed(self, record):
        """Note that the log has ``Sessions`` of this instance."""
        rollout = self.by_service.get(record.service)
        if rollout is not None and rollout.order.offset == record.order:
            rollout.lists.confirm(record)

    def list_sessions_at_stop(self):
        """Return ``Sessions`` of each service, for instances that go on."""
        records = []
        for service in self._memory.list_services():
            rollout = self.by_service.get(service)
            if rollout is not None and rollout.is_before_ramp(self._now()):
                record = self.list_sessions(rollout)
            else:
                record = sessions.make_stop_record(
                    service, self._memory.find_all(service), self._name,
                    self._wall(),
                )  # fmt: skip
            if record is not None and record.versions:
                records.append(record)
        return records

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
        if rollout is not None and rollout.is_set_aside(entry.version):
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
        if rollout is None:
            return usable
        choice = rollout.make_choice(self._now())
        position, seen = 0.0, None
        if rollout.phase is rollout_records.Phase.RUNNING:
            position = rollout.find_position(key)
            seen = self._memory.find((service, key))
            if seen is None:
                seen = rollout.lists.find(service, key)
        return choice.select(usable, live, position, seen)
