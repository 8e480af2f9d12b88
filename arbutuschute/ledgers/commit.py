"""Group commit: appends queued entries to a log stream in batches."""

import asyncio
import collections
import contextlib

import msgspec

from arbutuschute.contracts import changes

MAX_BATCH_ENTRIES = 500
RETRY_PAUSE_S = 0.2
# Copies from which the log is restored are some seconds old.
KEEP_S = 60.0
MAX_RECENT_ENTRIES = 50_000


def split(record):
    """Return the raw entries of a record that ``GroupCommit`` wrote."""
    return changes.split_batch(record.value)


class GroupCommit:
    """Appends entries to one stream in order, retrying until it succeeds.

    An append with an unknown outcome is retried: entries carry ids, and
    readers drop duplicates. Entries of the last minute are kept, to append
    them again if the log is restored from an older copy.
    """

    __slots__ = (
        '_client',
        '_get_period_s',
        '_pending',
        '_recent',
        '_rewriting',
        '_stream',
        '_timer',
        '_urgent',
        '_wake',
        'failing_since',
    )

    def __init__(self, client, stream, timer, get_period_s=lambda: 0.0):
        self._client = client
        self._stream = stream
        self._timer = timer
        self._get_period_s = get_period_s
        self._pending = collections.deque()
        # Entries in the log, with the time of their append, oldest first.
        self._recent = collections.deque(maxlen=MAX_RECENT_ENTRIES)
        # Futures of entries that are appended again.
        self._rewriting = []
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self.failing_since = None

    def __len__(self):
        return len(self._pending)

    def append(self, entry, urgent=False):
        """Queue an entry; return a future of its offset in the log.

        An urgent entry ends the batch period early.
        """
        committed = asyncio.get_running_loop().create_future()
        self._pending.append((entry, committed))
        self._wake.set()
        if urgent:
            self._urgent.set()
        return committed

    @property
    def is_rewriting(self):
        """Whether entries that the log has lost are still to be appended."""
        self._rewriting = [one for one in self._rewriting if not one.done()]
        return bool(self._rewriting)

    def handle_restore(self):
        """Append what the log may have lost again, before all others."""
        lost = [entry for _, entry in self._recent]
        self._recent.clear()
        for entry in reversed(lost):
            committed = asyncio.get_running_loop().create_future()
            self._pending.appendleft((entry, committed))
            self._rewriting.append(committed)
        if lost:
            self._wake.set()

    def cancel_if_unsent(self, committed):
        """Remove an entry not yet sent; return whether it was removed."""
        for queued in self._pending:
            if queued[1] is committed:
                self._pending.remove(queued)
                return True
        return False

    async def run(self):
        """Append queued entries, one batch at a time, until cancelled."""
        while True:
            await self._wake.wait()
            await self._collect_batch()
            self._urgent.clear()
            await self._append_batch()
            if not self._pending:
                self._wake.clear()

    async def _collect_batch(self):
        """Wait for more entries for one period, unless one is urgent."""
        period_s = self._get_period_s()
        if not period_s or len(self._pending) >= MAX_BATCH_ENTRIES:
            return
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._urgent.wait(), period_s)

    async def _append_batch(self):
        count = min(len(self._pending), MAX_BATCH_ENTRIES)
        batch = [self._pending.popleft() for _ in range(count)]
        if not batch:
            return
        value = changes.encode_batch(msgspec.Raw(entry) for entry, _ in batch)
        while True:
            answer = await self._client.append(self._stream, value)
            offset = answer.value_or(None)
            if offset is not None:
                break
            if self.failing_since is None:
                self.failing_since = self._timer.now()
            await self._timer.sleep(RETRY_PAUSE_S)
        self.failing_since = None
        now = self._timer.now()
        while self._recent and now - self._recent[0][0] > KEEP_S:
            self._recent.popleft()
        for entry, committed in batch:
            self._recent.append((now, entry))
            if not committed.done():
                committed.set_result(offset.offset)
