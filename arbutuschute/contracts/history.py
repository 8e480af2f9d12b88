"""The running instance's copy of the configuration, and how it starts.

It starts from the log, from a snapshot in the log or, while the store is
unavailable, from a peer. It only moves forward in log order.
"""

import collections

import msgspec

from arbutuschute.contracts import fold
from arbutuschute.links import log
from arbutuschute import messages

MAX_RECENT_RECORDS = 2000
MAX_RECORDS_PER_MESSAGE = 200


class History:
    """Applies records to the configuration and serves peers that lag."""

    __slots__ = ('_recent', 'configuration', 'has_diverged')

    def __init__(self):
        # Whether the log has another record at an offset that was applied.
        self.has_diverged = False
        self.configuration = fold.Configuration()
        self._recent = collections.deque(maxlen=MAX_RECENT_RECORDS)

    def apply(self, record):
        """Apply one record, in order.

        Records that are read again are those that are known, unless the log
        was restored and others were written at their offsets.
        """
        if record.offset <= self.configuration.offset:
            self._check_known(record)
            return
        fold.apply_record(self.configuration, record)
        self._recent.append(record)

    def _check_known(self, record):
        known = self.find_record(record.offset)
        if known is not None and known.value != record.value:
            self.has_diverged = True

    def find_record(self, offset):
        """Return the record at an offset, None if it isn't known."""
        for record in self._recent:
            if record.offset == offset:
                return record
        return None

    def restore_state(self, state):
        """Replace the configuration by ``state`` if it is newer.

        Return whether it was.
        """
        if state.offset <= self.configuration.offset:
            return False
        for name in state.__struct_fields__:
            setattr(self.configuration, name, getattr(state, name))
        self._recent.clear()
        return True

    def make_records(self, identity, offset):
        """Return a message with what a peer at ``offset`` is missing."""
        sender, incarnation = identity
        recent = self._recent
        if recent and recent[0].offset <= offset + 1:
            missing = [r for r in recent if r.offset > offset]
            return messages.ConfigurationRecords(
                sender=sender,
                incarnation=incarnation,
                records=tuple(
                    (record.offset, record.time, bytes(record.value))
                    for record in missing[:MAX_RECORDS_PER_MESSAGE]
                ),
            )
        return messages.ConfigurationRecords(
            sender=sender,
            incarnation=incarnation,
            state=msgspec.json.encode(self.configuration),
        )

    def apply_peer_records(self, message):
        """Apply a peer's records; return the next offset to read."""
        if message.state is not None:
            self.restore_state(fold.load_state(message.state))
        for offset, time, value in message.records:
            if offset == self.configuration.offset + 1:
                self.apply(log.Record(offset, time, msgspec.Raw(value)))
        return self.configuration.offset + 1


async def read_start(client, stream):
    """Return (state, records, answered) from the log's retained records.

    ``state`` is None if the log has no prefix to start from.
    """
    records = []
    position = 0
    first = None
    while True:
        answer = await client.read(stream, position)
        page = answer.value_or(None)
        if page is None:
            return None, [], False
        if first is None:
            first = page.first
        records.extend(page.records)
        position = records[-1].offset + 1 if records else page.head
        if position >= page.head or not page.records:
            return fold.find_start(records, first), records, True
