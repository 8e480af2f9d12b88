"""Streams on a stand-in platform: whole, resumed, sized and aborted."""

import asyncio

import aiohttp
import pytest

from tests.platform import standin

SIZED = {
    'Arbutuschute-Model': '*',
    'Arbutuschute-Token-Count': '400,20',
    'Arbutuschute-Prompt-Prefix': 'aa:100,bb:300',
}


def make_events(count):
    return b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in
                    range(1, count + 1))  # fmt: skip


async def test_stream_is_forwarded_whole(world):
    await world.start([standin.make_stream(5)])
    async with world.call('/stream/x') as response:
        assert response.status == 200
        assert response.headers['Content-Type'] == 'text/event-stream'
        assert await response.read() == make_events(5)


@pytest.mark.parametrize('cuts_event', [False, True])
async def test_broken_stream_resumes_at_another_server(world, cuts_event):
    streams = [
        standin.make_stream(
            6, break_after=4, gap_s=0.01, cuts_event=cuts_event
        )
        for _ in range(2)
    ]
    await world.start(streams)
    async with world.call('/stream/x') as response:
        assert await response.read() == make_events(6)
        assert (
            response.headers['Arbutuschute-Response-Seal']
            == standin.ORIGIN_PROOF
        )
    resumed = [
        headers['Last-Event-Id']
        for engine in world.engines.values()
        for headers in engine.requests
        if 'Last-Event-Id' in headers
    ]
    assert '3' in resumed


async def test_caller_may_resume(world):
    await world.start([standin.make_stream(5)])
    headers = {'Last-Event-Id': '3'}
    async with world.call('/stream/x', headers=headers) as response:
        assert await response.read() == make_events(5)[len(make_events(3)) :]


async def test_stream_that_no_server_finishes_ends_broken(world):
    async def answer(engine, request, body):
        start = int(request.headers.get('Last-Event-Id', 0))
        breaking = standin.make_stream(9, break_after=start + 2, gap_s=0.01)
        return await breaking(engine, request, body)

    await world.start([answer])
    with pytest.raises(aiohttp.ClientPayloadError):
        async with world.call('/stream/x') as response:
            await response.read()


async def test_answer_with_low_confidence_is_replaced_by_the_large_model(
    world,
):
    async def answer(engine, request, body):
        model = request.headers['Arbutuschute-Model']
        confidence = '5' if model == 'small' else '95'
        stream = standin.make_stream(3, confidence=confidence)
        return await stream(engine, request, body)

    await world.start([answer])
    async with world.call('/sized/x', headers=SIZED) as response:
        assert await response.read() == make_events(3)
    models = [
        headers['Arbutuschute-Model']
        for headers in world.engines['i-0'].requests
    ]
    assert models == ['small', 'large']


async def test_answer_with_high_confidence_of_the_small_model_is_kept(world):
    await world.start([standin.make_stream(3, confidence='95')])
    async with world.call('/sized/x', headers=SIZED) as response:
        assert await response.read() == make_events(3)
    assert world.count_arrivals() == 1


async def test_model_that_the_caller_names_is_not_changed(world):
    await world.start([standin.make_stream(3, confidence='5')])
    headers = {**SIZED, 'Arbutuschute-Model': 'named'}
    async with world.call('/stream/x', headers=headers) as response:
        await response.read()
    seen = world.engines['i-0'].requests[0]
    assert seen.getall('Arbutuschute-Model') == ['named']
    assert seen['Arbutuschute-Prompt-Prefix'] == 'aa:100,bb:300'


async def test_unresponsive_server_is_replaced_within_a_stream(world):
    async def stall(engine, request, body):
        if 'Last-Event-Id' in request.headers:
            return await standin.make_stream(4)(engine, request, body)
        response = await begin(request, 2)
        await asyncio.sleep(60)
        return response

    async def begin(request, count):
        response = standin.web.StreamResponse(
            headers=standin.make_headers(request)
        )
        await response.prepare(request)
        await response.write(make_events(count))
        return response

    await world.start([stall, stall])
    async with world.call('/stream/x', deadline_ms=5000) as response:
        assert await response.read() == make_events(4)


async def test_failure_of_the_second_server_is_not_sent_after_events(world):
    async def answer(engine, request, body):
        if 'Last-Event-Id' in request.headers:
            return await standin.answer_error(engine, request, body)
        breaking = standin.make_stream(9, break_after=4, gap_s=0.01)
        return await breaking(engine, request, body)

    await world.start([answer, answer])
    reader, writer = await world.connect()
    writer.write(
        b'POST /stream/x HTTP/1.1\r\nHost: a.example\r\n'
        b'Arbutuschute-Attempt-Id: r-1\r\nContent-Length: 0\r\n'
        b'Arbutuschute-Key: ' + standin.KEY.encode() + b'\r\n\r\n'
    )
    received = b''
    try:
        while chunk := await asyncio.wait_for(reader.read(4096), 5):
            received += chunk
    except ConnectionResetError:
        pass
    writer.close()
    assert received.count(b'HTTP/1.1') == 1
    assert b'broken' not in received
    assert b'0\r\n\r\n' not in received
