"""The own link against servers whose answers are broken.

Guards against passing such an answer on: the caller is told that the request
may have run.
"""

import pytest

from arbutuschute import connections
from arbutuschute import errors
from arbutuschute.links import engine
from tests import broken
from tests import documents
from tests import scripted
from tests import test_faulty_engines as faulty

BODIES = {
    faulty.send: faulty.ANSWER % broken.REQUEST_ID,
    faulty.call_service: b'booked',
    faulty.read_events: faulty.STREAM % (2 * (broken.REQUEST_ID,)),
}
# More than the kernel buffers (net.ipv4.tcp_wmem: 4 MiB).
UPLOAD = b'x' * 6_000_000


async def upload(session, server, request_id):
    """Return the body of the answer to a request with a large body."""
    async with faulty.open_attempt(session, server, request_id, UPLOAD) as (
        response,
        backend,
    ):
        return await engine.read_body(response, backend, faulty.DEADLINE_S)


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


@pytest.mark.parametrize('send', BODIES)
async def test_unknown_coding_is_a_failure(send):
    sent = []
    async with scripted.ScriptedServer(
        lambda *_: (sent[-1], scripted.LATE_CLOSE)
    ) as server:
        for case, answer in broken.make_coded_answers(BODIES[send]).items():
            sent.append(answer)
            failure = await faulty.find_failure(send, server)
            assert failure.ran is errors.Ran.UNKNOWN, case


# The body ends with the connection, so that its part looked whole.
@pytest.mark.parametrize('end', scripted.ENDS)
async def test_reset_during_an_upload_is_a_failure(end):
    sent = []
    async with scripted.ScriptedServer(
        lambda *_: (sent[-1], end), reads_bodies=False
    ) as server:
        for framing in (broken.NO_LENGTH, *broken.CODINGS.values()):
            sent.append(broken.make_unframed(framing, b'part'))
            failure = await faulty.find_failure(upload, server)
            assert failure.ran is errors.Ran.UNKNOWN, framing


# A whole answer is no less whole because the server doesn't read the rest.
async def test_early_answer_with_a_length_is_whole():
    answer = broken.make_answer(broken.SOUND['as usual'], b'booked')
    async with (
        scripted.ScriptedServer(
            lambda *_: (answer, scripted.LATE_RESET), reads_bodies=False
        ) as server,
        connections.make_session() as session,
    ):
        assert await upload(session, server, 'r-1') == b'booked'


async def test_reset_during_an_upload_reaches_no_caller(deployed):
    sent = []

    def answer(number, request_id):
        part = broken.make_unframed(sent[-1], b'part', request_id)
        return part, scripted.LATE_RESET

    async with scripted.ScriptedServer(
        answer, 'booking', reads_bodies=False
    ) as service:
        await faulty.list_server(
            deployed, service, kind='service', service='booking'
        )
        limits = {'body_bytes': 2 * len(UPLOAD)}
        await deployed.publish_basics(documents.make_booking(limits=limits))
        await deployed.start_routers(('r1', 'mtl-a'))
        for framing in (broken.NO_LENGTH, *broken.CODINGS.values()):
            sent.append(framing)
            found = await deployed.post(
                'r1',
                '/services/visits/new',
                {'photograph': UPLOAD.decode()},
                headers={'Idempotency-Key': f'key-{len(sent)}'},
            )
            assert (found.status, found.ran) == (502, 'unknown'), framing


# The heads again, through a router's process.
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
