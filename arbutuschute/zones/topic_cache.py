"""A cache of the newest records of one topic, by offset and era."""

import asyncio
import collections
import zlib

# Limits of one topic's cache: enough for a peer that is a few reads behind.
# One that is further behind takes the newest record of each key.
MAX_RECORDS = 2000
MAX_BYTES = 1024 * 1024
# Larger records are compressed, if the peer accepts that.
MIN_COMPRESSED_BYTES = 4 * 1024


class TopicCache:
    """The newest records of one topic, at offsets ``first`` to ``end``.

    ``confirmed_at`` is when the store was last known to have no more.
    """

    __slots__ = (
        '_bytes',
        '_compressed',
        '_records',
        '_records_added',
        'confirmed_at',
        'end',
        'era',
        'first',
    )

    def __init__(self):
        self._bytes = 0
        # Compressed copies of large records, by offset.
        self._compressed = {}
        self._records_added = asyncio.Event()
        self._records = collections.deque()
        self.first = self.end = self.era = 0
        self.confirmed_at = float('-inf')

    def extend(self, start, records, confirmed_at, era=0):
        """Add records read from the store.

        Older ones are cleared after a gap, and at the start of an era.
        """
        has_new_era = era != self.era
        if has_new_era or start != self.end:
            self._records.clear()
            self._compressed.clear()
            self._bytes = 0
            self.first = self.end = start
        if has_new_era:
            self.era = era
            self.confirmed_at = confirmed_at
        self._records.extend(records)
        self._bytes += sum(map(len, records))
        self.end += len(records)
        while self._records and (
            len(self._records) > MAX_RECORDS or self._bytes > MAX_BYTES
        ):
            self._bytes -= len(self._records.popleft())
            self._compressed.pop(self.first, None)
            self.first += 1
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if records or has_new_era:
            added, self._records_added = self._records_added, asyncio.Event()
            added.set()

    def has(self, start, era):
        """Return whether all records from ``start`` on are cached."""
        return era == self.era and start >= self.first

    def copy(self, start):
        """Return the records from ``start`` on."""
        skipped = start - self.first
        if skipped >= len(self._records):
            return ()
        return tuple(self._records)[skipped:]

    def compress(self, start, records):
        """Return records at ``start`` with large ones compressed.

        The second value holds their positions. Each is compressed once, for
        all peers.
        """
        sent = list(records)
        positions = []
        for position, raw in enumerate(records):
            if len(raw) < MIN_COMPRESSED_BYTES:
                continue
            offset = start + position
            if offset not in self._compressed:
                self._compressed[offset] = zlib.compress(raw)
            sent[position] = self._compressed[offset]
            positions.append(position)
        return tuple(sent), tuple(positions)

    async def wait_past(self, start, era, seconds):
        """Wait at most ``seconds`` until there is a record at ``start``.

        Return at once if the era is another one.
        """
        try:
            async with asyncio.timeout(seconds):
                while era == self.era and self.end <= start:
                    await self._records_added.wait()
        except TimeoutError:
            return
