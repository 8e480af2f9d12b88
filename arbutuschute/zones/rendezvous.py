"""Rendezvous hashing: all instances rank names alike for a key."""

import xxhash

HASH_SPAN = 2**64


def rank(key, names):
    """Return ``names`` by descending weight for ``key``."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
        reverse=True,
    )


def hash_to_unit_interval(key):
    """Return a number in [0, 1) that depends on ``key`` alone.

    The key may hold text that wasn't UTF-8, as a header may be.
    """
    raw = key.encode(errors='surrogateescape')
    return xxhash.xxh3_64_intdigest(raw) / HASH_SPAN
