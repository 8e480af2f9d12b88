"""Decodes the entries that backend servers write about themselves."""

import math

import msgspec

from arbutuschute.machines import servers

TOPIC = 'keyed.servers'


class _Model(msgspec.Struct):
    name: str
    version: int = 0


class _Entry(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    # The version of the server's software.
    version: str
    slots: int
    state: str
    cold_remaining_ms: float = 0.0
    models: list[_Model] = []
    # When the server started, in Unix milliseconds.
    born: int = 0
    # Counts the server's writes since its start.
    sequence: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode_entry(name, raw):
    """Return the ``Entry`` of a backend server; None if it is malformed."""
    try:
        found = _decoder.decode(raw)
    except msgspec.DecodeError:
        return None
    host, _, port = found.address.rpartition(':')
    if found.state not in ('ready', 'draining') or found.slots < 1:
        return None
    if (
        not host
        or not port.isdigit()
        or not math.isfinite(found.cold_remaining_ms)
    ):
        return None
    return servers.Entry(
        name=name,
        service=found.service,
        address=found.address,
        zone=found.zone,
        version=found.version,
        slots=found.slots,
        state='leaving' if found.state == 'draining' else 'live',
        cold_s=found.cold_remaining_ms / 1000,
        born=found.born,
        sequence=found.sequence,
        models=tuple((model.name, model.version) for model in found.models),
    )
