"""Following of one topic of the store: its newest records, then new ones."""

import msgspec
from returns import result

from arbutuschute import errors
from arbutuschute import logs
from arbutuschute.platform import known_records
from arbutuschute.platform import store as store_module

# In an outage of the store the zone's reader retries it in this period, and
# its peers query the reader after the same pause.
PAUSE_AFTER_FAILURE_S = 0.25
# An instance without a zone reader that responds retries the store itself.
# An instance that starts does so with the topic of zone readers as well, so
# that this period matters to it if that topic alone is unavailable.
ALONE_PERIOD_S = 1.0
# A slow store names the zone's readers within this time.
KNOWN_WAIT_S = 1.0
# After a read that brought nothing and has not waited.
IDLE_PAUSE_S = 0.05


def _ignore(_):
    pass


def _do_nothing():
    pass


class TopicFollower:
    """Follows one keyed topic and applies its records.

    ``apply(record)`` is called for each record with a value and may raise
    ``msgspec.DecodeError``; ``remove(key)`` for each deletion;
    ``keep_only(keys)`` with the keys found when the topic is read from its
    beginning. With ``zone_reader``, records come from the zone's reader while
    it is healthy, and otherwise from the store.

    ``begin_era()`` is called when the store has been restored, before its
    newest records are applied. ``is_restored`` says whether those are being
    applied: they may be older than what is known. ``is_snapshot`` says
    whether it is the newest records, and not those that follow.
    """

    __slots__ = ('_apply', '_begin_era', '_failed_reads', '_failing_since',
                 '_keep_only', '_known', '_log', '_read_limits', '_remove',
                 '_store', '_timer', '_topic', '_tried_at', '_was_long_poll',
                 '_zone_reader', 'confirmed_at', 'failing', 'is_restored',
                 'is_snapshot', 'position')  # fmt: skip

    def __init__(self, store, timer, topic, log, apply, remove=_ignore,
                 keep_only=_ignore, zone_reader=None, read_limits=None,
                 begin_era=_do_nothing):  # fmt: skip
        self._store = store
        self._timer = timer
        self._topic = topic
        self._log = log
        self._apply = apply
        self._remove = remove
        self._keep_only = keep_only
        self._begin_era = begin_era
        self._zone_reader = zone_reader
        self._read_limits = read_limits
        self._known = known_records.KnownRecords(timer.now)
        # The offset to read next, None to read the newest records.
        self.position = None
        self.is_restored = self.is_snapshot = False
        self.failing = False
        # When the newest read began.
        self._tried_at = float('-inf')
        # Failed reads in a row, and when the first one failed.
        self._failed_reads = 0
        self._failing_since = float('-inf')
        # Whether the last read was a long poll at the zone's reader.
        self._was_long_poll = False
        # When the store last had nothing newer than what has been read.
        self.confirmed_at = float('-inf')

    @property
    def era(self):
        """The era of what was read, None before the first read."""
        return self._known.era

    def has_key(self, key):
        """Return whether there is a record with this key."""
        return key in self._known.newest

    async def read(self, wait_s=0.0, is_direct=False):
        """Read once; return ``Result`` with whether all records were read.

        The store may wait ``wait_s`` for new records; ``is_direct`` bypasses
        the zone's reader.
        """
        answer = None
        before = self.era, self.position
        self._tried_at = self._timer.now()
        if self.position is not None:
            answer = await self._read_next(wait_s, is_direct)
        if self.position is None:
            answer = await self._read_newest()
        self._record_result(answer)
        if self._zone_reader is not None and self.position is not None:
            self._zone_reader.share_newest(
                self._topic,
                self._known.newest,
                self.position,
                self.confirmed_at,
                self.era,
            )
        if not answer.value_or(True) and before == (self.era, self.position):
            await self._timer.sleep(IDLE_PAUSE_S)
        return answer

    async def wait(self, period_s):
        """Wait until the next read is due.

        That is at once after a long poll at the zone's reader.
        """
        was_long_poll, self._was_long_poll = self._was_long_poll, False
        if not was_long_poll:
            await self._timer.sleep(period_s)

    async def wait_after_failure(self, pause_s=PAUSE_AFTER_FAILURE_S):
        """Wait after a failed read until the next one is due.

        ``pause_s`` is the pause of the zone's reader and, as querying it
        costs nothing, of the peers that it responds to.
        """
        if self._zone_reader is None:
            await self._timer.sleep(pause_s)
        else:
            await self._zone_reader.wait_for_retry(
                pause_s, ALONE_PERIOD_S, self._tried_at
            )

    async def _read_newest(self):
        """Read the newest record of each key, from the zone's reader if any.

        At a start, what the reader has may be old: then new records are to be
        read next.
        """
        snapshot = await self._fetch_snapshot()
        if snapshot is not None:
            return self._accept_snapshot(
                snapshot, snapshot.confirmed_at, 'zone reader'
            )
        reader = self._zone_reader
        if self._known.end is not None and not (
            reader is None or reader.may_read_directly()
        ):
            return result.Failure(errors.StoreDown('left to the reader'))
        requested_at = self._timer.now()
        answer = await self._store.read_newest(self._topic)
        if isinstance(answer, result.Failure):
            self._record_failed_call()
            return answer
        snapshot = answer.unwrap()
        if not self._known.check_store(snapshot.era, snapshot.end):
            self._log.warning(
                'store has less than is known',
                topic=self._topic,
                end=snapshot.end,
                known_end=self._known.end,
                era=snapshot.era,
            )
            return result.Failure(errors.StoreDown('stale response'))
        self._share_records(snapshot.end, (), requested_at, snapshot.era)
        return self._accept_snapshot(snapshot, requested_at, 'store')

    async def _fetch_snapshot(self):
        """Return the zone reader's ``Snapshot``; None to read the store.

        The store has turned the position away, if there was one, so records
        that end there are of no use.
        """
        if self._zone_reader is None:
            return None
        if not self.failing:
            await self._zone_reader.wait_until_known(KNOWN_WAIT_S)
        snapshot = await self._zone_reader.read_newest(self._topic)
        if snapshot is None:
            return None
        if not self._known.has_news(snapshot.era, snapshot.end):
            self._log.info(
                'zone reader has nothing newer',
                topic=self._topic,
                end=snapshot.end,
                known_end=self._known.end,
                era=snapshot.era,
            )
            return None
        return snapshot

    def _accept_snapshot(self, snapshot, confirmed_at, source):
        """Apply a snapshot; return ``Result`` with whether it is recent."""
        self.confirmed_at = confirmed_at
        self._apply_snapshot(snapshot)
        age_s = self._timer.now() - self.confirmed_at
        self._log.info(
            'topic read',
            topic=self._topic,
            source=source,
            records=len(snapshot.records),
            end=snapshot.end,
            era=snapshot.era,
            age_ms=logs.round_to_ms(age_s),
        )
        limits = self._read_limits
        return result.Success(limits is None or age_s <= limits.max_age_s)

    def _apply_snapshot(self, snapshot):
        self.is_snapshot = True
        if self._known.is_restored(snapshot.era, snapshot.end):
            self.is_restored = True
            self._begin_era()
        self._known.begin(snapshot.era)
        for record in sorted(snapshot.records, key=lambda r: r.offset):
            self._apply_record(record)
        # Records that the pages lack are read next, from ``end`` on.
        self._keep_only(
            {r.key for r in snapshot.records if r.value is not None}
        )
        self.position = self._known.end = snapshot.end
        self._was_long_poll = False
        self.is_restored = self.is_snapshot = False

    async def _read_next(self, wait_s, is_direct):
        requested_at = self._timer.now()
        found = None
        if self._zone_reader is not None and not is_direct:
            found = await self._zone_reader.read(
                self._topic,
                self.position,
                self._read_limits,
                self.confirmed_at,
                self.era,
            )
        if isinstance(found, store_module.Snapshot):
            if self._is_of_use(found):
                return self._accept_snapshot(
                    found, found.confirmed_at, 'zone reader'
                )
            found = None
        self._was_long_poll = found is not None
        if found is None:
            reader = self._zone_reader
            if not is_direct and reader and not reader.may_read_directly():
                return result.Failure(errors.StoreDown('left to the reader'))
            answer = await self._read_store(self._limit_wait(wait_s))
            if isinstance(answer, result.Failure):
                return answer
            found = answer.unwrap()
        else:
            self.confirmed_at = max(
                self.confirmed_at, requested_at + found.current_after_s
            )
        self._apply_page(found)
        return result.Success(found.next >= found.end)

    def _is_of_use(self, snapshot):
        """Return whether a snapshot has new records or confirms the known.

        A peer that is cut off from the store, too, would give the same one
        again and again.
        """
        age_s = self._timer.now() - snapshot.confirmed_at
        found = snapshot.era, snapshot.end
        return self._known.has_news(*found) or (
            self._known.is_same(*found)
            and age_s <= self._read_limits.max_age_s
        )

    def _limit_wait(self, wait_s):
        """Return how long the store may wait for new records.

        A response without records confirms nothing before it arrives. While
        the zone's reader fails, the last confirmation may be old already.
        """
        if self._read_limits is None:
            return wait_s
        fresh_until = self.confirmed_at + self._read_limits.max_age_s
        return min(wait_s, max(0.0, fresh_until - self._timer.now()))

    async def _read_store(self, wait_s):
        requested_at = self._timer.now()
        answer = await self._store.read(self._topic, self.position, wait_s)
        if isinstance(answer, result.Failure):
            if isinstance(answer.failure(), errors.StoreGap):
                self._drop_position('records gone')
            else:
                self._record_failed_call()
            return answer
        page = answer.unwrap()
        if page.era != self.era:
            self._known.observe_era(page.era)
            self._drop_position('position of another era', era=page.era)
            return result.Failure(errors.StoreRestored(page.era))
        if page.next >= page.end:
            self.confirmed_at = requested_at
            # With records the store responds before the wait is over, and
            # the response may arrive long after that.
            waited_s = self._timer.now() - requested_at
            is_early = page.records or page.is_repeat
            if not is_early and waited_s >= wait_s:
                self.confirmed_at += wait_s
        self._share_records(
            page.start, page.records, self.confirmed_at, page.era
        )
        return answer

    def _drop_position(self, cause, **facts):
        """Read the topic anew: the position is of no use."""
        self._log.info(
            cause, topic=self._topic, position=self.position, **facts
        )
        self.position = None

    def _record_failed_call(self):
        if self._zone_reader is not None:
            self._zone_reader.record_failed_call()

    def _share_records(self, start, records, confirmed_at, era):
        if self._zone_reader is not None:
            self._zone_reader.record_read(
                self._topic, start, records, confirmed_at, era
            )

    def _apply_page(self, page):
        for number, raw in enumerate(page.records):
            record = store_module.split_keyed(raw, page.start + number)
            if record is not None:
                self._apply_record(record)
        self.position = self._known.end = page.next

    def _apply_record(self, record):
        if not self._known.add(record):
            return
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
        except Exception as fault:
            # Any writer may have written it; it would end each instance that
            # reads it, and again after its restart.
            self._log.opt(exception=fault).error(
                'record fault', topic=self._topic, key=record.key
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
