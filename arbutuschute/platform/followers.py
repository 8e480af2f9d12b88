"""Tasks that follow the operator's and the backend servers' records."""

import msgspec
from returns import result

from arbutuschute.platform import configuration
from arbutuschute.platform import directory as directory_records
from arbutuschute.platform import evacuations
from arbutuschute.platform import reader_records
from arbutuschute.platform import readers
from arbutuschute.platform import topics

# An empty response after this wait confirms that nothing is newer. Each read
# is a priced call. The share keeps the wait at a fraction of the lease,
# whatever its length.
MAX_OPERATOR_WAIT_S = 1.8
WAIT_SHARE_OF_LEASE = 0.4
# Servers write about once a second and each read is a priced call. A leaving
# server has to be noticed within the deployment's bound: this share of it may
# pass between two reads, the rest is for slow responses.
SERVER_PERIOD_SHARE_OF_BOUND = 0.55
# A response with records confirms nothing about the time waited for it. The
# next wait is shorter, for peers that rely on this instance's confirmation.
WAIT_SHARE_AFTER_RECORDS = 0.2
# A peer waits this share of the reader's wait, so that it renews its
# confirmation more often: the ages of both confirmations add up.
ZONE_READER_WAIT_SHARE = 0.5
# Slack for a late read by the zone's reader.
LATE_READ_SLACK_S = 0.4
# Time to read the store after its reader has not responded.
DIRECT_READ_S = 0.2
# Entries that lapsed in an outage of the store are back within this time.
RETURN_AFTER_OUTAGE_S = 2.0
# Below every version of a configuration.
NO_VERSION = float('-inf')
# An entry of a server that is gone lapses within three of its heartbeats, so
# one that is still listed after this time is of a server that is alive.
RESTORED_ENTRY_S = 6.0
# The same for entries that the store may write up to 6 s after they were sent.
LATE_ENTRY_S = 10.0


class OperatorFollower:
    """Follows the operator's records and renews the configuration lease."""

    __slots__ = ('_apply_order', '_apply_table', '_evacuations', '_freshness',
                 '_log', '_offset', '_pending_tables', '_store_version',
                 '_timer', '_topic', '_version', '_wait_s')  # fmt: skip

    def __init__(self, store, timer, log, freshness, apply_table,
                 apply_order, zone_reader=None,
                 evacuation_orders=None):  # fmt: skip
        self._timer = timer
        self._log = log
        self._freshness = freshness
        self._apply_table = apply_table
        self._apply_order = apply_order
        self._evacuations = evacuation_orders
        self._offset = -1
        self._pending_tables = []
        # The highest version that was applied, and that of the store.
        self._version = self._store_version = NO_VERSION
        self._wait_s = min(
            MAX_OPERATOR_WAIT_S, WAIT_SHARE_OF_LEASE * freshness.lease_s
        )
        peer_wait_s = ZONE_READER_WAIT_SHARE * self._wait_s
        # Records of this age leave time to read the store if the next request
        # to the reader gets no response.
        max_age_s = min(
            self._wait_s + LATE_READ_SLACK_S,
            freshness.lease_s - readers.SILENCE_S - DIRECT_READ_S,
        )
        read_limits = reader_records.ReadLimits(
            peer_wait_s, max(max_age_s, peer_wait_s)
        )
        self._topic = topics.TopicFollower(
            store, timer, configuration.TOPIC, log, self._apply,
            self._remove, self._keep_only, zone_reader, read_limits,
            self._begin_era,
        )  # fmt: skip

    def _begin_era(self):
        """Compare offsets with those of the new era only.

        The operator writes again what the store has lost.
        """
        self._offset = -1
        self._store_version = NO_VERSION

    @property
    def _is_store_behind(self):
        """Whether the store lacks the configuration that is in force.

        It may lack a newer one, too, so it confirms nothing.
        """
        return self._store_version < self._version

    @property
    def position(self):
        """The offset of the next record, None before the first read."""
        return self._topic.position

    def _apply(self, record):
        if record.key == configuration.CONFIGURATION_KEY:
            self._pending_tables.append(record)
        elif record.key.startswith(configuration.ROLLOUT_PREFIX):
            self._apply_order(
                configuration.decode_order(record.value, record.offset),
                is_new=not self._topic.is_snapshot,
            )
        elif self._evacuations is not None and record.key.startswith(
            evacuations.PREFIX
        ):
            self._evacuations.apply(
                record, self._freshness.confirmed_at, self._topic.is_restored
            )

    def _remove(self, key):
        if self._evacuations is not None:
            self._evacuations.remove(key, self._topic.is_restored)

    def _keep_only(self, keys):
        if self._evacuations is not None:
            self._evacuations.keep_only(keys)

    def _apply_newest_table(self):
        """Apply the newest valid configuration of the last read."""
        records, self._pending_tables = self._pending_tables, []
        for record in reversed(records):
            if record.offset <= self._offset:
                return
            try:
                table = configuration.decode_table(record.value)
            except msgspec.DecodeError as error:
                self._log.error(
                    'record malformed', key=record.key, cause=str(error)
                )
                continue
            self._offset = record.offset
            self._store_version = table.version
            if self._is_store_behind:
                self._log.warning(
                    'configuration of the store is older',
                    version=table.version,
                    in_force=self._version,
                    offset=record.offset,
                    era=self._topic.era,
                )
                return
            self._version = table.version
            self._apply_table(table)
            return

    async def run(self):
        """Follow the topic until cancelled."""
        wait_s = self._wait_s
        while True:
            position = self._topic.position
            answer = await self._topic.read(wait_s)
            self._apply_newest_table()
            wait_s = self._wait_s
            if self._topic.position != position:
                wait_s *= WAIT_SHARE_AFTER_RECORDS
            if isinstance(answer, result.Failure):
                # A read without a wait shows sooner that the store is back.
                wait_s = 0.0
                await self._topic.wait_after_failure()
                continue
            if not answer.unwrap():
                continue
            if self._evacuations is not None:
                self._evacuations.apply_due(self._freshness.confirmed_at)
            if not self._is_store_behind:
                self._freshness.confirm(self._topic.confirmed_at)


class ServerFollower:
    """Follows the entries of backend servers."""

    __slots__ = (
        '_directory',
        '_log',
        '_period_s',
        '_timer',
        '_topic',
        'is_loaded',
    )

    def __init__(
        self, store, timer, log, directory, bound_s, zone_reader=None
    ):
        self._period_s = SERVER_PERIOD_SHARE_OF_BOUND * bound_s
        self._timer = timer
        self._log = log
        self._directory = directory
        self.is_loaded = False
        read_limits = reader_records.ReadLimits(
            self._period_s + LATE_READ_SLACK_S,
            self._period_s + LATE_READ_SLACK_S,
        )
        self._topic = topics.TopicFollower(
            store, timer, directory_records.TOPIC, log, self._apply,
            self._remove, directory.keep_only, zone_reader, read_limits,
            self._begin_era,
        )  # fmt: skip

    def _begin_era(self):
        """Give servers whose entries the store has lost time to renew them."""
        self._directory.defer_removals(RETURN_AFTER_OUTAGE_S)

    @property
    def is_failing(self):
        """Whether the last read failed."""
        return self._topic.failing

    def _apply(self, record):
        entry = directory_records.decode_entry(record.key, record.value)
        if entry is None:
            self._log.debug('server entry malformed', server=record.key)
            return
        if self._directory.is_outdated(entry):
            self._hold_back(
                record, entry, 'server entry of the store is older'
            )
            return
        if not self._topic.is_snapshot and self._directory.is_unconfirmed(
            entry
        ):
            self._hold_back(record, entry, 'server entry unconfirmed')
            return
        known = self._directory.servers.get(entry.name)
        if known is None or known.entry.state != entry.state:
            self._log.info(
                'server listed',
                server=entry.name,
                service=entry.service,
                version=entry.version,
                zone=entry.zone,
                state=entry.state,
                offset=record.offset,
            )
        self._directory.apply(entry)

    def _hold_back(self, record, entry, event):
        """Don't use an entry yet that may be older than what is known."""
        self._log.info(
            event,
            server=entry.name,
            state=entry.state,
            born=entry.born,
            sequence=entry.sequence,
            offset=record.offset,
        )
        if self._topic.is_restored:
            self._directory.keep(entry.name)
            self._directory.hold_back(entry, RESTORED_ENTRY_S)
        else:
            self._directory.hold_back(entry, LATE_ENTRY_S)

    def _remove(self, name):
        if name not in self._directory.servers:
            self._directory.remove(name)
            return
        is_deferred = not self._directory.remove(name)
        self._log.info('server gone', server=name, deferred=is_deferred)

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            if self._topic.failing:
                self._directory.defer_removals(RETURN_AFTER_OUTAGE_S)
            answer = await self._topic.read()
            self._directory.apply_deferred()
            if isinstance(answer, result.Failure):
                # In an outage older entries of a zone peer are the newest.
                self.is_loaded |= self._topic.position is not None
                await self._topic.wait_after_failure()
            elif answer.unwrap():
                self.is_loaded = True
                await self._topic.wait(self._period_s)
