"""Streams that one server began and another one fails to go on with."""

import asyncio

import pytest

from tests import broken
from tests.platform import standin
from tests.platform import wire
from tests import scripted

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 7))
BEGUN = EVENTS[: len(EVENTS) // 2]
WRONG = {
    'failure': wire.make_response(b'r-1', b'500 Failed', b'broken\n\n' * 99),
    'not found': wire.make_response(b'r-1', b'404 Not Found', b'no such\n\n'),
    'refusal': wire.make_refusal(b'r-1'),
    'other server': b'HTTP/1.1 421 Moved\r\nContent-Length: 0\r\n\r\n',
    'of another request': wire.make_response(
        b'r-9', body=b'id: 4\ndata: x\n\n'
    ),
    'without a proof': (
        b'HTTP/1.1 200 OK\r\nArbutuschute-Attempt-Id: r-1\r\n'
        b'Content-Length: 5\r\n\r\noops\n\n'
    ),
    'incomplete head': (wire.HEAD % (b'200 OK', b'r-1')),
    'repeated': wire.make_response(b'r-1', body=BEGUN),
    'no protocol': b'oops\n\nid: 4\ndata: 4\n\n',
    'nothing': b'',
    'failure in a success': wire.make_response(
        b'r-1', body=b'upstream error\n\n'
    ),
    'head in a success': wire.make_response(
        b'r-1', body=wire.make_response(b'r-1', b'500 Failed', b'broken\n\n')
    ),
    'head without a length': (
        wire.HEAD % (b'200 OK', b'r-1')
        + b'\r\n'
        + wire.make_response(b'r-1', b'500 Failed', b'broken\n\n')
    ),
    **{
        case: broken.make_answer(head, EVENTS[len(BEGUN) :])
        for case, head in broken.SAMPLES.items()
    },
}


# Without a length, they end with their connection.
UNFRAMED = (
    'incomplete head', 'no protocol', 'nothing', 'head without a length'
)  # fmt: skip
CASES = [
    (case, end)
    for case in WRONG
    for end in (scripted.CLOSE, scripted.KEEP)
    if end == scripted.CLOSE or case not in UNFRAMED
]


async def read_raw(world):
    """Return all bytes of a stream's response, and whether it was reset."""
    reader, writer = await world.connect()
    writer.write(
        b'POST /stream/x HTTP/1.1\r\nHost: a.example\r\n'
        b'Arbutuschute-Attempt-Id: r-1\r\nContent-Length: 0\r\n'
        b'Arbutuschute-Deadline-Ms: 3000\r\n'
        b'Arbutuschute-Key: ' + standin.KEY.encode() + b'\r\n'
        b'Connection: close\r\n\r\n'
    )
    received = b''
    try:
        async with asyncio.timeout(5):
            while chunk := await reader.read(4096):
                received += chunk
    except ConnectionResetError:
        return received, True
    finally:
        writer.close()
    return received, False


def split_chunks(received):
    """Return (body, whether it is complete) of a chunked response."""
    _, _, rest = received.partition(b'\r\n\r\n')
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        if int(size, 16) == 0:
            return body, True
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body, False


def begin_stream(number, request_id):
    """Break off a stream; refuse to go on with it."""
    if number:
        return wire.make_refusal(request_id), scripted.CLOSE
    return (
        wire.HEAD % (b'200 OK', b'r-1')
        + b'Content-Type: text/event-stream\r\nContent-Length: 9999\r\n\r\n'
        + BEGUN,
        scripted.LATE_CLOSE,
    )


# Guards against the text or the head of a server's failure in the middle of a
# stream that another server had begun, and against a stream that ends early
# as if it was complete.
@pytest.mark.parametrize('case, end', CASES)
async def test_failure_is_not_sent_within_a_stream(world, serve, case, end):
    await serve('i-0', begin_stream)
    await serve('i-1', lambda *_: (WRONG[case], end), zone='far')
    received, _ = await read_raw(world)
    body, is_complete = split_chunks(received)
    assert received.count(b'HTTP/1.1 ') == 1
    assert body == BEGUN
    assert not is_complete


async def test_stream_goes_on_at_a_third_server(world, serve):
    await serve('i-0', begin_stream)
    await serve('i-1', lambda *_: (WRONG['repeated'], scripted.KEEP), zone='b')
    rest = EVENTS[len(BEGUN) :]
    last = await serve(
        'i-2',
        lambda number, request_id: (
            wire.make_response(request_id, body=rest),
            scripted.KEEP,
        ),
        zone='c',
    )
    received, _ = await read_raw(world)
    body, is_complete = split_chunks(received)
    assert b'Last-Event-Id: 3' in last.requests[0]
    assert (body, is_complete) == (EVENTS, True)


# Guards against a part of a stream that looks whole: it ends between two
# events, and has no length.
async def test_stream_that_is_reset_goes_on_elsewhere(world, serve):
    event_bytes = len(EVENTS) // 6
    parts = EVENTS[: 3 * event_bytes], EVENTS[3 * event_bytes :][:event_bytes]
    left = [
        (broken.make_unframed(broken.NO_LENGTH, part), scripted.LATE_RESET)
        for part in parts
    ]
    rest = EVENTS[4 * event_bytes :]
    left.append((wire.make_response(b'r-1', body=rest), scripted.KEEP))
    servers = [
        await serve(f'i-{zone}', lambda *_: left.pop(0), zone=zone)
        for zone in 'abc'
    ]
    received, _ = await read_raw(world)
    assert split_chunks(received) == (EVENTS, True)
    heads = b''.join(head for server in servers for head in server.requests)
    for last_id in (3, 4):
        assert b'Last-Event-Id: %d\r' % last_id in heads
