"""All clients but the links to backend servers, and answers that are broken.

Guards against acting on what a store, a peer, a server that is polled, the
rating service or a router never said.
"""

import struct
import types

import aiohttp
import msgspec
import pytest
from returns import result
import yarl

from arbutuschute.cli import route_explanation
from arbutuschute import connections
from arbutuschute.links import log
from arbutuschute.links import rating
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from arbutuschute import operator_client
from arbutuschute import orders
from arbutuschute.platform import store
from arbutuschute.zones import log_cache
from tests import broken
from tests import scripted
from tests import test_faulty_engines as faulty

TIMEOUT_S = 2.0


async def send_order(session, server):
    sender = types.SimpleNamespace(
        _environment=types.SimpleNamespace(http_once=session)
    )
    return await orders.OrderControl._call(
        sender, 'POST', f'http://{server.address}/orders', b'{}'
    )


async def query_router(session, server):
    client = operator_client.OperatorClient(session, '')
    router = types.SimpleNamespace(
        operators_address=f'http://{server.address}'
    )
    return await client.query_router(router, 'status')


# What each client calls, and a body that it accepts.
CLIENTS = {
    'store': (
        lambda session, server: store.Store(session, server.address).read(
            't', 0
        ),
        struct.pack('>QQI', 1, 0, 2) + b'\1k',
    ),
    'newest records': (
        lambda session, server: store.Store(
            session, server.address
        ).read_newest('t'),
        b'{"items": [], "more": false, "end": 0}',
    ),
    'append': (
        lambda session, server: store.Store(session, server.address).put(
            't', 'k', b'v'
        ),
        b'{"offset": 0}',
    ),
    'zone peer': (
        lambda session, server: log_cache.fetch(
            session, server.address, 't', 0, 0.0
        ),
        msgspec.msgpack.encode(log_cache.CacheResponse(0, 0, 0.0, 0.0, ())),
    ),
    'own log': (
        lambda session, server: log.LogClient(
            session, f'http://{server.address}', 'r', TIMEOUT_S
        ).read('s', 0),
        b'{"first": 0, "head": 0}',
    ),
    'instance list': (
        lambda session, server: instances.fetch_instances(
            session, f'http://{server.address}', 'r'
        ),
        b'{"instances": []}',
    ),
    'load poll': (
        lambda session, server: fleet.fetch_load(
            session, faulty.make_backend(server)
        ),
        b'{"running": 0, "waiting": 0, "slots": 1}',
    ),
    'order': (send_order, b'{}'),
    'rating': (
        lambda session, server: rating.RatingClient(
            session, f'http://{server.address}', None, None
        )._poll('r-1'),
        b'{"rating": 0.5}',
    ),
    'operator': (query_router, b'{}'),
    'explanation': (
        lambda session, server: route_explanation._fetch(
            yarl.URL(f'http://{server.address}/explain')
        ),
        b'{}',
    ),
}


async def accepts(client, answer, end=scripted.CLOSE):
    """Return whether a client takes an answer for one."""
    call, _ = CLIENTS[client]
    async with (
        scripted.ScriptedServer(
            lambda *_: (answer, end), needs_id=False
        ) as server,
        connections.make_session() as session,
    ):
        try:
            found = await call(session, server)
        except aiohttp.ClientError:
            return False
    return found is not None and not isinstance(found, result.Failure)


@pytest.mark.parametrize('client', CLIENTS)
async def test_sound_answer_is_accepted(client):
    for case, head in broken.SOUND.items():
        answer = broken.make_answer(head, CLIENTS[client][1])
        assert await accepts(client, answer), case


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('heads', broken.HEADS)
async def test_broken_head_is_not_accepted(heads, client):
    for case, head in broken.HEADS[heads].items():
        answer = broken.make_answer(head, CLIENTS[client][1])
        assert not await accepts(client, answer), case


# Without a length, a part of an answer looked whole.
@pytest.mark.parametrize('client', CLIENTS)
async def test_reset_answer_is_not_accepted(client):
    answer = broken.make_unframed(broken.NO_LENGTH, CLIENTS[client][1])
    assert await accepts(client, answer, scripted.LATE_CLOSE)
    assert not await accepts(client, answer, scripted.LATE_RESET)


@pytest.mark.parametrize('client', CLIENTS)
async def test_unknown_coding_is_not_accepted(client):
    answers = broken.make_coded_answers(CLIENTS[client][1])
    for case, answer in answers.items():
        assert not await accepts(client, answer, scripted.LATE_CLOSE), case
