"""Engines that send an answer twice, or more bytes than they announced.

Connections are kept on the own interface, so that a copy can arrive while
the next request waits on the same connection.
"""

import asyncio
import types

import msgspec
import pytest

from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.ledgers import leases
from arbutuschute import load_polling
from arbutuschute import orders
from arbutuschute import timer
from tests import scripted
from tests import test_faulty_engines as faulty


def make_answer(request_id):
    return faulty.make_response(request_id, body=faulty.ANSWER % request_id)


async def send_in_turn(server, send, *request_ids):
    """Return each request's body, or the failure that it ended in."""
    found = []
    async with connections.make_session() as session:
        for request_id in request_ids:
            try:
                found.append(await send(session, server, request_id))
            except errors.Failure as failure:
                found.append(failure)
            await asyncio.sleep(0.02)
    return found


# A caller gets the answer of the request before it on the same connection.
@pytest.mark.parametrize('send', [faulty.send, faulty.call_service])
@pytest.mark.parametrize('delay', ['with the answer', 'with the next one'])
async def test_caller_gets_no_copy_of_an_earlier_answer(send, delay):
    sent = []

    def answer(number, request_id):
        sent.append(make_answer(request_id))
        if delay == 'with the answer':
            return 2 * sent[-1], scripted.KEEP
        return b''.join(sent[-2:]), scripted.KEEP

    async with scripted.ScriptedServer(answer) as server:
        found = await send_in_turn(server, send, 'r-0', 'r-1', 'r-2')
    assert found[0] == faulty.ANSWER % b'r-0'
    for number, body in enumerate(found):
        if isinstance(body, errors.Failure):
            assert body.ran is errors.Ran.UNKNOWN
        else:
            assert body == faulty.ANSWER % b'r-%d' % number


# A whole answer is lost because of the bytes that follow it.
@pytest.mark.parametrize('send', [faulty.send, faulty.call_service])
@pytest.mark.parametrize('extra', [b'and more', b'HTTP/1.1 2', b'\0\r\n\r\n'])
async def test_whole_answer_survives_the_bytes_after_it(send, extra):
    async with scripted.ScriptedServer(
        lambda _, request_id: (make_answer(request_id) + extra, scripted.KEEP)
    ) as server:
        found = await send_in_turn(server, send, 'r-0', 'r-1')
        assert server.connections == 2
    assert found == [faulty.ANSWER % b'r-0', faulty.ANSWER % b'r-1']


# The parts in which a response arrives change nothing.
@pytest.mark.parametrize('step', [1, 2, 3, 7, 40])
async def test_answer_in_parts_is_whole(step):
    handler = connections.Connector()._factory()
    handler.set_response_params(read_until_eof=True)
    raw = b'HTTP/1.1 103 Hints\r\n\r\n' + make_answer(b'r-0') + b'excess'
    for start in range(0, len(raw), step):
        handler.data_received(raw[start : start + step])
    messages = [message for (message, _), _ in handler._buffer]
    assert [message.code for message in messages] == [103, 200]
    (_, payload), _ = handler._buffer[-1]
    assert await payload.read() == faulty.ANSWER % b'r-0'
    assert handler.should_close


# An engine is sent its orders twice, as a copy of an answer was taken for the
# list of its loaded versions, which then lacks them all.
async def test_copy_of_an_answer_is_no_report_of_the_engine():
    def answer(number, request_id):
        return 2 * make_answer(request_id), scripted.KEEP

    async with (
        scripted.ScriptedServer(answer) as server,
        connections.make_session() as kept,
        connections.make_session(
            connector=connections.Connector(force_close=True)
        ) as once,
    ):
        backend = faulty.make_backend(server)
        accepted = []
        environment = types.SimpleNamespace(
            http=kept,
            http_once=once,
            fleet=types.SimpleNamespace(
                servers={'e': backend},
                accept_report=lambda *report: accepted.append(report),
            ),
            timer=timer.VirtualTimer(),
        )
        await faulty.send(kept, server, 'r-0')
        await load_polling.LoadPoller(environment, None)._poll('e')
        control = orders.OrderControl(environment, leases.Leases(10.0))
        assert await control._poll(backend) is None
        assert not accepted
        assert server.connections == 3


def test_report_without_versions_is_refused():
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(
            faulty.ANSWER % b'r-0', type=orders._LoadedVersions
        )
