"""Tasks that follow the store's topics and apply new records."""

import msgspec
from returns import result

from arbutuschute import errors
from arbutuschute import logs
from arbutuschute.platform import configuration
from arbutuschute.platform import directory as directory_records
from arbutuschute.platform import readers
from arbutuschute.platform import store as store_module

# An empty response after this wait confirms that nothing is newer. Each read
# is a priced call. The share keeps the wait at a fraction of the lease,
# whatever its length.
MAX_OPERATOR_WAIT_S = 1.8
WAIT_SHARE_OF_LEASE = 0.4
# Servers write about once a second and each read is a priced call. A leaving
# server has to be noticed within the deployment's bound: this share of it may
# pass between two reads, the rest is for slow responses.
SERVER_PERIOD_SHARE_OF_BOUND = 0.55
PAUSE_AFTER_FAILURE_S = 0.25
# In an outage of the store the zone's reader retries it after the pause above,
# and its peers query the reader. They also retry the store themselves, as it
# may be unavailable to the reader alone: once more within the time in which a
# leaving server has to be noticed, then with growing pauses.
MIN_DIRECT_BACKOFF_S = 0.5
MAX_DIRECT_BACKOFF_S = 2.0
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


def _ignore(_):
    pass


class TopicFollower:
    """Follows one keyed topic and applies its records.

    ``apply(record)`` is called for each record with a value and may raise
    ``msgspec.DecodeError``; ``remove(key)`` for each deletion;
    ``keep_only(keys)`` with the keys found when the topic is read from its
    beginning. With ``zone_reader``, new records come from the zone's reader
    while it is healthy, and otherwise from the store.
    """

    __slots__ = ('_apply', '_direct_backoff_s', '_direct_retry_at',
                 '_failed_reads', '_failing_since', '_keep_only', '_log',
                 '_read_limits', '_remove', '_store', '_timer', '_topic',
                 '_was_long_poll', '_zone_reader', 'confirmed_at', 'failing',
                 'position')  # fmt: skip

    def __init__(self, store, timer, topic, log, apply, remove=_ignore,
                 keep_only=_ignore, zone_reader=None,
                 read_limits=None):  # fmt: skip
        self._store = store
        self._timer = timer
        self._topic = topic
        self._log = log
        self._apply = apply
        self._remove = remove
        self._keep_only = keep_only
        self._zone_reader = zone_reader
        self._read_limits = read_limits
        self.position = None
        self.failing = False
        # Failed reads in a row, and when the first one failed.
        self._failed_reads = 0
        self._failing_since = float('-inf')
        # Whether the last read was a long poll at the zone's reader.
        self._was_long_poll = False
        # No direct read before this time after failures.
        self._direct_retry_at = float('-inf')
        self._direct_backoff_s = 0.0
        # When the store last had nothing newer than what has been read.
        self.confirmed_at = float('-inf')

    async def read(self, wait_s=0.0, is_direct=False):
        """Read once; return ``Result`` with whether all records were read.

        The store may wait ``wait_s`` for new records; ``is_direct`` bypasses
        the zone's reader.
        """
        if self.position is None:
            answer = await self._read_newest()
        else:
            answer = await self._read_next(wait_s, is_direct)
        self._record_result(answer)
        return answer

    async def wait(self, period_s):
        """Wait until the next read is due.

        That is at once after a long poll at the zone's reader.
        """
        was_long_poll, self._was_long_poll = self._was_long_poll, False
        if not was_long_poll:
            await self._timer.sleep(period_s)

    async def _read_newest(self):
        requested_at = self._timer.now()
        answer = await self._store.read_newest(self._topic)
        if isinstance(answer, result.Failure):
            return answer
        records, end = answer.unwrap()
        for record in sorted(records, key=lambda record: record.offset):
            self._apply_record(record)
        # Records that the pages lack are read next, from ``end`` on.
        self._keep_only({r.key for r in records if r.value is not None})
        self.position = end
        self._was_long_poll = False
        self.confirmed_at = requested_at
        self._share_records(end, (), requested_at)
        return result.Success(True)

    async def _read_next(self, wait_s, is_direct):
        requested_at = self._timer.now()
        page = None
        if self._zone_reader is not None and not is_direct:
            page = await self._zone_reader.read(
                self._topic,
                self.position,
                self._read_limits,
                self.confirmed_at,
            )
        self._was_long_poll = page is not None
        if page is None:
            if not is_direct and self._timer.now() < self._direct_retry_at:
                return result.Failure(errors.StoreDown('left to the reader'))
            answer = await self._read_store(self._limit_wait(wait_s))
            self._back_off_direct_reads(answer)
            if isinstance(answer, result.Failure):
                return answer
            page = answer.unwrap()
        else:
            self.confirmed_at = max(
                self.confirmed_at, requested_at + page.current_after_s
            )
        self._apply_page(page)
        return result.Success(page.next >= page.end)

    def _limit_wait(self, wait_s):
        """Return how long the store may wait for new records.

        A response without records confirms nothing before it arrives. While
        the zone's reader fails, the last confirmation may be old already.
        """
        if self._read_limits is None:
            return wait_s
        fresh_until = self.confirmed_at + self._read_limits.max_age_s
        return min(wait_s, max(0.0, fresh_until - self._timer.now()))

    def _back_off_direct_reads(self, answer):
        """Retry an unavailable store less often if the reader does so, too."""
        now = self._timer.now()
        if isinstance(answer, result.Success):
            self._direct_backoff_s = 0.0
            return
        if self._zone_reader is None or not self._zone_reader.follows_reader:
            return
        self._direct_backoff_s = min(
            max(2 * self._direct_backoff_s, MIN_DIRECT_BACKOFF_S),
            MAX_DIRECT_BACKOFF_S,
        )
        self._direct_retry_at = now + self._direct_backoff_s

    async def _read_store(self, wait_s):
        requested_at = self._timer.now()
        answer = await self._store.read(self._topic, self.position, wait_s)
        if isinstance(answer, result.Failure):
            if isinstance(answer.failure(), errors.StoreGap):
                self.position = None
                self._log.info('records gone', topic=self._topic)
            return answer
        page = answer.unwrap()
        if page.next >= page.end:
            # The store responds early only with new records.
            waited_s = self._timer.now() - requested_at
            self.confirmed_at = requested_at + (
                wait_s if waited_s >= wait_s else 0.0
            )
        self._share_records(page.start, page.records, self.confirmed_at)
        return answer

    def _share_records(self, start, records, confirmed_at):
        if self._zone_reader is not None:
            self._zone_reader.record_read(
                self._topic, start, records, confirmed_at
            )

    def _apply_page(self, page):
        for number, raw in enumerate(page.records):
            record = store_module.split_keyed(raw, page.start + number)
            if record is not None:
                self._apply_record(record)
        self.position = page.next

    def _apply_record(self, record):
        if record.value is None:
            self._remove(record.key)
            return
        try:
            self._apply(record)
        except msgspec.DecodeError as error:
            self._log.error(
                'record malformed',
                topic=self._topic,
                key=record.key,
                cause=str(error),
            )

    def _record_result(self, answer):
        """Record whether reads fail; log when that changes."""
        failed = isinstance(answer, result.Failure)
        self._failed_reads += failed
        if failed == self.failing:
            return
        self.failing = failed
        if failed:
            self._failing_since = self._timer.now()
            cause = answer.failure().detail
            self._log.warning('store lost', topic=self._topic, cause=cause)
            return
        self._log.info(
            'store regained',
            topic=self._topic,
            failed_reads=self._failed_reads,
            lost_ms=logs.round_to_ms(self._timer.now() - self._failing_since),
        )
        self._failed_reads = 0


class OperatorFollower:
    """Follows the operator's records and renews the configuration lease."""

    __slots__ = ('_apply_order', '_apply_table', '_freshness', '_log',
                 '_offset', '_pending_tables', '_timer', '_topic',
                 '_wait_s')  # fmt: skip

    def __init__(self, store, timer, log, freshness, apply_table,
                 apply_order, zone_reader=None):  # fmt: skip
        self._timer = timer
        self._log = log
        self._freshness = freshness
        self._apply_table = apply_table
        self._apply_order = apply_order
        self._offset = -1
        self._pending_tables = []
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
        read_limits = readers.ReadLimits(
            peer_wait_s, max(max_age_s, peer_wait_s)
        )
        self._topic = TopicFollower(
            store, timer, configuration.TOPIC, log, self._apply,
            zone_reader=zone_reader, read_limits=read_limits,
        )  # fmt: skip

    @property
    def position(self):
        """The offset of the next record, None before the first read."""
        return self._topic.position

    def _apply(self, record):
        if record.key == configuration.CONFIGURATION_KEY:
            self._pending_tables.append(record)
        elif record.key.startswith(configuration.ROLLOUT_PREFIX):
            self._apply_order(
                configuration.decode_order(record.value, record.offset)
            )

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
            self._apply_table(table)
            self._offset = record.offset
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
                await self._timer.sleep(PAUSE_AFTER_FAILURE_S)
            elif answer.unwrap():
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
        read_limits = readers.ReadLimits(
            self._period_s + LATE_READ_SLACK_S,
            self._period_s + LATE_READ_SLACK_S,
        )
        self._topic = TopicFollower(
            store, timer, directory_records.TOPIC, log, self._apply,
            self._remove, directory.keep_only, zone_reader, read_limits,
        )  # fmt: skip

    @property
    def is_failing(self):
        """Whether the last read failed."""
        return self._topic.failing

    def _apply(self, record):
        entry = directory_records.decode_entry(record.key, record.value)
        if entry is None:
            self._log.debug('server entry malformed', server=record.key)
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

    def _remove(self, name):
        if name in self._directory.servers:
            self._log.info('server gone', server=name)
        self._directory.remove(name)

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            if self._topic.failing:
                self._directory.defer_removals(RETURN_AFTER_OUTAGE_S)
            answer = await self._topic.read()
            self._directory.apply_deferred_removals()
            if isinstance(answer, result.Failure):
                await self._timer.sleep(PAUSE_AFTER_FAILURE_S)
            elif answer.unwrap():
                self.is_loaded = True
                await self._topic.wait(self._period_s)
