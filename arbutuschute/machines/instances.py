"""Instances on the platform's list, which lags behind their state."""

import asyncio
import typing

import aiohttp
import msgspec
from returns import result

from arbutuschute import connections
from arbutuschute import decoding
from arbutuschute import errors

LIST_TIMEOUT_S = 2.0


class Instance(msgspec.Struct, frozen=True):
    """One live or leaving instance.

    ``versions`` are ``model:version`` names that an engine has loaded, and
    ``checks_fencing`` says whether it refuses orders with an old number.
    """

    name: str
    kind: typing.Literal['router', 'engine', 'service']
    zone: str
    region: str
    address: str = ''
    peer_address: str = ''
    operators_address: str = ''
    state: typing.Literal['live', 'leaving'] = 'live'
    versions: tuple[str, ...] = ()
    service: str = ''
    checks_fencing: bool = False


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's response."""

    instances: tuple[Instance, ...]


_decoder = decoding.make_msgpack_decoder(Instance)


def encode(instance):
    """Return the bytes of an entry, for peers."""
    return msgspec.msgpack.encode(instance)


def decode(raw):
    """Return the entry in a peer's message, or None if it is malformed."""
    try:
        return _decoder.decode(raw)
    except msgspec.DecodeError:
        return None


async def fetch_instances(session, url, reader):
    """Return ``Result`` with the instances on the platform's list.

    The failure is ``StoreDown``.
    """
    try:
        async with session.get(
            f'{url}/instances',
            headers={'X-Instance': reader},
            timeout=aiohttp.ClientTimeout(total=LIST_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            body = await connections.read_all(response)
            if response.status != 200:
                return result.Failure(errors.StoreDown('instance list'))
            listed = decoding.decode_json(body, InstanceList)
            return result.Success(listed.instances)
    except (
        aiohttp.ClientError,
        asyncio.TimeoutError,
        msgspec.DecodeError,
        OSError,
    ) as error:
        if isinstance(error, asyncio.TimeoutError):
            connections.close_idle(session)
        return result.Failure(errors.StoreDown('instance list'))
