"""Decodes the entries that backend servers write about themselves."""

import ipaddress
import typing

import msgspec

from arbutuschute import decoding
from arbutuschute.machines import servers

TOPIC = 'keyed.servers'


MAX_COUNT = 2**53
MAX_PORT = 65_535
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]


class _Model(msgspec.Struct):
    name: _Name
    version: _Count = 0


class _Entry(msgspec.Struct, rename='camel'):
    service: _Name
    address: str
    zone: str
    # The version of the server's software.
    version: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
    state: str
    cold_remaining_ms: float = 0.0
    models: list[_Model] = []
    # When the server started, in Unix milliseconds.
    born: _Count = 0
    # Counts the server's writes since its start.
    sequence: _Count = 0


_decoder = decoding.make_json_decoder(_Entry)


def decode_entry(name, raw):
    """Return the ``Entry`` of a backend server; None if it is malformed."""
    try:
        found = _decoder.decode(raw)
    except msgspec.DecodeError:
        return None
    if found.state not in ('ready', 'draining'):
        return None
    if not _is_address(found.address):
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


def _is_address(text):
    """Return whether ``text`` is an IPv4 address and a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if not port.isascii() or not port.isdigit():
        return False
    return len(port) <= len(str(MAX_PORT)) and 0 < int(port) <= MAX_PORT
