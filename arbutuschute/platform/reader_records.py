"""Records that name zone readers, and limits of reads through one."""

import msgspec

from arbutuschute import decoding

# A reader sends each large record to all peers of its zone, which holds up the
# requests on a thin link. Machines with a thinner link than this wait longer
# before they take over.
WIDE_LINK_MBPS = 100.0
THIN_LINK_DELAY_S = 1.0


def compute_takeover_delay_s(link_mbps):
    """Return how long a machine leaves the role to those with wider links."""
    share = min(1.0, link_mbps / WIDE_LINK_MBPS)
    return THIN_LINK_DELAY_S * (1.0 - share)


class ReadLimits(msgspec.Struct, frozen=True):
    """Limits of a read through the zone's reader.

    The reader may wait up to ``wait_s`` for a new record, and its data may
    be up to ``max_age_s`` old.
    """

    wait_s: float
    max_age_s: float


class Entry(msgspec.Struct, frozen=True):
    """A zone's reader, by the address that its zone peers query."""

    address: str
    instance: str


def decode_entry(record, log):
    """Return the ``Entry`` in a record; None if it is malformed."""
    try:
        return decoding.decode_json(record.value, Entry)
    except msgspec.DecodeError as error:
        log.error('record malformed', key=record.key, cause=str(error))
        return None
