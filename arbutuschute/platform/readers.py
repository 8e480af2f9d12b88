"""Choice of the instance in each zone that reads the store for the others.

The reader of each zone is named by a record in a topic of the store. Two
instances that take the role at once do no harm: both read the store, and
the newest record counts.
"""

import asyncio

import msgspec
from returns import result

from arbutuschute import errors
from arbutuschute.platform import reader_records
from arbutuschute.platform import retries
from arbutuschute.platform import store as store_module
from arbutuschute.policy import backoff
from arbutuschute.zones import fleet_size
from arbutuschute.zones import log_cache as log_cache_module

TOPIC = 'keyed.readers'
# A zone peer takes over from a reader that has failed for this long; a killed
# process is back within 2 s.
TAKEOVER_AFTER_S = 2.5
# How long a silent reader holds a request up beyond the wait that it allows.
SILENCE_S = log_cache_module.RESPONSE_TIMEOUT_S
# Spreads the takeovers of peers that notice a lost reader at the same time:
# they then read the first one's record before they write their own.
TAKEOVER_JITTER_S = 1.5
# A reader that has started itself has read a topic within this time. Until
# then zone peers that start ask it again; a silent one is passed by at once.
NEWEST_WAIT_S = 1.0
# A reader that failed is not queried for this long; the store is read instead.
RETRY_AFTER_S = 0.5
CHECK_PERIOD_S = 0.5
# An instance that starts in an outage of the store tries it with the topic of
# readers, which is small.
MIN_START_BACKOFF_S = 0.25
MAX_START_BACKOFF_S = 0.8
# In an outage zone peers leave the store to their reader. They retry it
# themselves, too, as it may be unavailable to the reader alone: once more
# within the time in which a leaving server has to be noticed, then about once
# a second.
MIN_DIRECT_BACKOFF_S = 0.5
MAX_DIRECT_BACKOFF_S = 1.0
# In an outage the reader queries peers that have not queried it for this
# long: one that was started anew knows nobody whom it could query.
SILENT_PEER_S = 2.0
FORGOTTEN_PEER_S = fleet_size.ADDRESS_MEMORY_S
# More than a zone has; addresses are taken from queries as they are.
MAX_QUERIED_PEERS = 64
# How often a reader checks whether another instance has taken over.
OWN_CHECK_PERIOD_S = 10.0


class ZoneReader:
    """Reads topics through the zone's reader; takes over from a lost one."""

    __slots__ = ('_direct_backoff', '_direct_retry_at', '_entry', '_era',
                 '_failing_since', '_failure_cause', '_has_become_known',
                 '_is_entry_doubtful', '_is_healthy', '_is_reader_answering',
                 '_key', '_log', '_log_cache', '_own_entry', '_peers',
                 '_random', '_retries', '_retry_at', '_session',
                 '_stale_cause', '_store', '_takeover_delay_s',
                 '_timer')  # fmt: skip

    def __init__(self, store, session, timer, log, random, log_cache, zone,
                 address, identity, link_mbps=reader_records.WIDE_LINK_MBPS,
                 era=None, peers=None):  # fmt: skip
        self._store = store
        self._session = session
        self._timer = timer
        self._log = log
        self._random = random
        self._log_cache = log_cache
        self._era = era
        # Counts the zone peers that query this instance, unless it is None.
        self._peers = peers
        self._retries = retries.Retries(timer, random)
        # No direct read before this time after failures.
        self._direct_retry_at = float('-inf')
        self._direct_backoff = backoff.Backoff(
            MIN_DIRECT_BACKOFF_S, MAX_DIRECT_BACKOFF_S
        )
        self._key = f'reader/{zone}'
        self._own_entry = reader_records.Entry(address, identity)
        self._takeover_delay_s = reader_records.compute_takeover_delay_s(
            link_mbps
        )
        self._entry = None
        self._has_become_known = asyncio.Event()
        # Whether the store may have lost this instance's entry.
        self._is_entry_doubtful = False
        self._retry_at = float('-inf')
        self._failing_since = timer.now()
        # The state that was logged last; single failures are not logged.
        self._is_healthy = False
        self._is_reader_answering = False
        # Why the reader's last response was too old, None if it was not.
        self._stale_cause = None
        self._failure_cause = ''

    @property
    def is_reader(self):
        """Whether this instance reads the store for its zone."""
        return self._entry is not None and (
            self._entry.address == self._own_entry.address
        )

    @property
    def follows_reader(self):
        """Whether another instance is the reader and responds to this one."""
        return self._is_reader_answering and not self.is_reader

    async def read(self, topic, start, read_limits, confirmed_at, era=0):
        """Return a ``Page`` from the zone's reader; None to read the store.

        If the reader has no records from ``start`` on in this era, return a
        ``Snapshot`` of what it has.

        ``confirmed_at`` is when the caller last had all records. The reader
        may be silent or cut off from the store, so it may hold the request
        only until that confirmation is ``max_age_s`` old.
        """
        entry = self._entry
        if entry is None or self.is_reader:
            return None
        if self._timer.now() < self._retry_at:
            return None
        fresh_for_s = confirmed_at + read_limits.max_age_s - self._timer.now()
        answer = await log_cache_module.fetch(
            self._session,
            entry.address,
            topic,
            start,
            min(read_limits.wait_s, max(fresh_for_s, 0.0)),
            era,
            peer=self._own_entry.address,
        )
        if isinstance(answer, result.Failure):
            failure = answer.failure()
            if not isinstance(failure, errors.ReaderSilent):
                return await self.read_newest(topic, wait_s=0.0)
            self._is_reader_answering = False
            self._record_failure(failure.detail)
            return None
        self._is_reader_answering = True
        response = answer.unwrap()
        if response.era not in (None, era):
            return None
        if response.age_s > read_limits.max_age_s:
            self._stale_cause = f'{topic} is {response.age_s:.2f} s old'
            return None
        # Topics that may be older don't tell whether the store is read.
        if response.age_s <= TAKEOVER_AFTER_S:
            self._record_success(entry)
        return store_module.Page(
            response.end,
            start,
            start,
            response.records,
            response.held_s - response.age_s,
            era,
        )

    @property
    def is_known(self):
        """Whether the topic of readers has been read since the start."""
        return self._has_become_known.is_set()

    async def read_newest(self, topic, wait_s=NEWEST_WAIT_S):
        """Return a ``Snapshot`` of the zone's reader; None without one.

        A reader that starts, too, has ``wait_s`` to read the topic. A large
        record would otherwise cross the link between regions once for each
        instance that starts.
        """
        entry = self._entry
        if entry is None or self.is_reader:
            return None
        if self._timer.now() < self._retry_at:
            return None
        answer, requested_at = await log_cache_module.fetch_newest_at_start(
            self._session, self._timer, entry.address, topic, wait_s
        )
        if isinstance(answer, result.Failure):
            failure = answer.failure()
            if isinstance(failure, errors.ReaderSilent):
                self._record_failure(failure.detail)
            return None
        response = answer.unwrap()
        if self._era is not None:
            self._era.observe(response.era)
        return store_module.Snapshot(
            tuple(
                store_module.Record(record.key, record.value, record.offset)
                for record in response.records
            ),
            response.end,
            requested_at - response.age_s,
            response.era,
        )

    def share_newest(self, topic, records, end, confirmed_at, era):
        """Keep the newest records for zone peers that start.

        ``records`` maps keys to (offset, value).
        """
        self._log_cache.set_newest(topic, records, end, confirmed_at, era)

    def record_read(self, topic, start, records, confirmed_at, era):
        """Keep for zone peers what was read from the store.

        A reader whose response was too old is at fault if the store can be
        read from here. It may still be current in other topics, so it is
        queried again without a pause.
        """
        if self._stale_cause is not None:
            self._record_failure(self._stale_cause, 0.0)
            self._stale_cause = None
        self._record_answered_call()
        self._log_cache.extend(topic, start, records, confirmed_at, era)

    def record_failed_call(self):
        """Record a failed read of the store; the reader goes on retrying."""
        self._retries.record_failure()
        if self.follows_reader:
            self._direct_retry_at = self._timer.now() + self._retries.spread(
                self._direct_backoff.advance()
            )

    def may_read_directly(self):
        """Return whether the store may be read, past the zone's reader."""
        return self._timer.now() >= self._direct_retry_at

    async def wait_for_retry(self, pause_s, alone_period_s, tried_at):
        """Wait until a failed read is to be repeated.

        The reader retries each topic in the period ``pause_s`` for its zone,
        and peers query it after that pause. Without a reader that responds,
        the topics of an instance take turns in the period ``alone_period_s``.
        ``tried_at`` is when the read began.
        """
        if self.follows_reader:
            await self._timer.sleep(self._retries.spread(pause_s))
        elif self.is_reader:
            await self._retries.wait(pause_s, tried_at, takes_turns=False)
        else:
            await self._retries.wait(alone_period_s, tried_at)

    def _record_failure(self, cause, pause_s=RETRY_AFTER_S):
        now = self._timer.now()
        self._retry_at = now + pause_s
        self._failure_cause = cause
        if self._failing_since is None:
            self._failing_since = now

    def _record_answered_call(self):
        self._direct_backoff.reset()
        self._direct_retry_at = float('-inf')
        if self._retries.is_failing:
            self._retries.record_success()

    def _record_success(self, entry):
        self._failing_since = None
        self._retries.end_pauses()
        self._stale_cause = None
        if not self._is_healthy:
            self._is_healthy = True
            self._log.info('zone reader found', reader=entry.address)

    async def wait_until_known(self, seconds):
        """Wait at most ``seconds`` until the zone's reader is known."""
        if self.is_known:
            return
        await retries.wait_for_any(
            self._timer, seconds, (self._has_become_known,)
        )

    async def run(self):
        """Track the zone's reader and take over from a lost one."""
        pauses = backoff.Backoff(MIN_START_BACKOFF_S, MAX_START_BACKOFF_S)
        tried_at = self._timer.now()
        while not await self._refresh_entry():
            self._adopt_peer()
            pause_s = self._retries.spread(pauses.advance())
            left_s = tried_at + pause_s - self._timer.now()
            await self._timer.sleep(max(left_s, retries.MIN_PAUSE_S))
            tried_at = self._timer.now()
        self._set_known()
        checked_at = self._timer.now()
        while True:
            await self._timer.sleep(CHECK_PERIOD_S)
            if self.is_reader and self._retries.is_failing:
                await self._query_silent_peers()
            if not self.is_reader:
                if self._is_reader_lost():
                    await self._take_over()
            elif self._is_entry_doubtful:
                await self._renew_entry()
            elif self._timer.now() - checked_at >= OWN_CHECK_PERIOD_S:
                checked_at = self._timer.now()
                await self._refresh_entry()

    def _set_known(self):
        self._has_become_known.set()
        self._retries.end_pauses()

    def _adopt_peer(self):
        """Read from a zone peer that has queried this instance.

        The store names the zone's reader, but can't be read. Peers that run
        query the reader that they know, and readers their silent peers.
        """
        if self._peers is None or self._timer.now() < self._retry_at:
            return
        heard = self._peers.list_heard(0.0, FORGOTTEN_PEER_S)
        if not heard or (self._entry and self._is_reader_answering):
            return
        self._entry = reader_records.Entry(heard[-1], '')
        self._set_known()
        self._log.info('zone peer found', peer=heard[-1])

    async def _query_silent_peers(self):
        """Let peers that were started anew know where to read."""
        if self._peers is None:
            return
        silent = self._peers.list_heard(SILENT_PEER_S, FORGOTTEN_PEER_S)
        await asyncio.gather(
            *(
                log_cache_module.fetch(
                    self._session, address, TOPIC, 0, 0.0,
                    peer=self._own_entry.address,
                )
                for address in silent[-MAX_QUERIED_PEERS:]
            )
        )  # fmt: skip

    def handle_restore(self):
        """Write this instance's entry anew if the store has lost it."""
        self._is_entry_doubtful = True

    async def _renew_entry(self):
        if not await self._refresh_entry():
            return
        if self.is_reader or await self._offer():
            self._is_entry_doubtful = False

    def _is_reader_lost(self):
        if self._entry is None:
            return True
        since = self._failing_since
        if since is None:
            return False
        return self._timer.now() - since > TAKEOVER_AFTER_S

    async def _take_over(self):
        """Become the reader unless another instance has done so meanwhile."""
        if self._is_healthy:
            self._is_healthy = False
            self._log.warning('zone reader lost', cause=self._failure_cause)
        await self._timer.sleep(
            self._takeover_delay_s + TAKEOVER_JITTER_S * self._random.random()
        )
        known = self._entry
        if not await self._refresh_entry() or self._entry != known:
            return
        if not self._is_reader_lost():
            return
        await self._offer()

    async def _offer(self):
        """Write this instance's entry; return whether that worked."""
        answer = await self._store.put(
            TOPIC, self._key, msgspec.json.encode(self._own_entry)
        )
        written = isinstance(answer, result.Success)
        self._log.info('zone reader offered', written=written)
        if written:
            self._entry = self._own_entry
        return written

    async def _refresh_entry(self):
        """Read the entry of the zone's reader; return whether that worked."""
        answer = await self._store.read_newest(TOPIC)
        if isinstance(answer, result.Failure):
            return False
        found = None
        for record in answer.unwrap().records:
            if record.key == self._key and record.value is not None:
                found = reader_records.decode_entry(record, self._log)
        if found != self._entry:
            self._entry = found
            self._retry_at = float('-inf')
            self._failing_since = self._timer.now()
            if found is not None:
                self._log.info('zone reader', reader=found.address)
        return True
