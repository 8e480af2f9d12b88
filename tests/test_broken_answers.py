"""The own link against servers whose answers are broken.

Guards against passing such an answer on: the caller is told that the request
may have run.
"""

import pytest

from arbutuschute import connections
from arbutuschute import errors
from tests import broken
from tests import documents
from tests import scripted
from tests import test_faulty_engines as faulty

BODIES = {
    faulty.send: faulty.ANSWER % broken.REQUEST_ID,
    faulty.call_service: b'booked',
    faulty.read_events: faulty.STREAM % (2 * (broken.REQUEST_ID,)),
}


@pytest.mark.parametrize('send', BODIES)
@pytest.mark.parametrize('heads', broken.HEADS)
async def test_broken_head_is_a_failure(heads, send):
    sent = []
    async with scripted.ScriptedServer(
        lambda *_: (sent[-1], scripted.CLOSE)
    ) as server:
        for case, head in broken.HEADS[heads].items():
            sent.append(broken.make_answer(head, BODIES[send]))
            failure = await faulty.find_failure(send, server)
            assert failure.ran is errors.Ran.UNKNOWN, case


@pytest.mark.parametrize('send', BODIES)
async def test_unusual_head_is_sound(send):
    for case, head in broken.SOUND.items():
        answer = broken.make_answer(head, BODIES[send])
        async with (
            scripted.ScriptedServer(
                lambda *_, answer=answer: (answer, scripted.CLOSE)
            ) as server,
            connections.make_session() as session,
        ):
            assert await send(session, server, 'r-1'), case


# The same through a router's process.
@pytest.mark.parametrize('heads', broken.HEADS)
async def test_broken_head_reaches_no_caller(deployed, heads):
    sent = []

    def answer(number, request_id):
        body = faulty.STREAM % (request_id, request_id)
        return broken.make_answer(sent[-1], body, request_id), scripted.CLOSE

    async with (
        scripted.ScriptedServer(answer, 'e1') as engine,
        scripted.ScriptedServer(answer, 'booking') as service,
    ):
        await faulty.list_server(deployed, engine)
        await faulty.list_server(
            deployed, service, kind='service', service='booking'
        )
        await deployed.publish_basics(
            documents.make_profile(), documents.make_booking()
        )
        await deployed.start_routers(('r1', 'mtl-a'))
        for case, head in broken.HEADS[heads].items():
            sent.append(head)
            answers = [
                await deployed.chat('r1', 'reports', stream=True),
                await deployed.chat('r1', 'reports'),
                await deployed.post(
                    'r1',
                    '/services/visits/new',
                    {},
                    headers={'Idempotency-Key': case.replace(' ', '-')},
                ),
            ]
            for found in answers:
                assert (found.status, found.ran) == (502, 'unknown'), case
