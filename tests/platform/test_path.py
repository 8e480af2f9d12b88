"""Requests from a caller to a backend server, on a stand-in platform."""

import asyncio

import aiohttp
import pytest

from tests.platform import conftest
from tests.platform import standin


async def test_request_is_forwarded_with_its_organisation(world):
    await world.start()
    async with world.call(
        '/again/x?q=%2Fa', data=b'body', headers={'X-Own': 'kept'}
    ) as response:
        assert response.status == 200
        assert await response.read() == b'done by i-0'
        assert (
            response.headers['Arbutuschute-Response-Seal']
            == standin.ORIGIN_PROOF
        )
    headers, path, body = world.engines['i-0'].seen[0]
    assert (path, body) == ('/again/x?q=%2Fa', b'body')
    assert headers['Arbutuschute-Tenant'] == 'dispatch'
    assert headers['Arbutuschute-Expect-Instance'] == 'i-0'
    assert headers['X-Own'] == 'kept'
    assert 'Arbutuschute-Key' not in headers
    assert 0 < int(headers['Arbutuschute-Deadline-Ms']) < 2000


async def test_caller_cannot_set_what_the_router_sets(world):
    await world.start()
    own = {
        'Arbutuschute-Tenant': 'other',
        'Arbutuschute-Hold': 'h',
        'Arbutuschute-Pin-Ms': '100',
        'Arbutuschute-Kv-Backup': '1.2.3.4:5',
        'Kv-From': '1.2.3.4:5/x',
        'Arbutuschute-Expect-Instance': 'i-9',
    }
    async with world.call('/again/x', headers=own) as response:
        assert response.status == 200
    headers = world.engines['i-0'].requests[0]
    assert headers.getall('Arbutuschute-Tenant') == ['dispatch']
    assert headers.getall('Arbutuschute-Expect-Instance') == ['i-0']
    for name in ('Hold', 'Pin-Ms', 'Kv-Backup'):
        assert f'Arbutuschute-{name}' not in headers
    assert 'Kv-From' not in headers


@pytest.mark.parametrize(
    ('path', 'more', 'status'),
    [
        ('/nowhere/x', {}, 404),
        ('/again', {}, 404),
        ('/again/x', {'Arbutuschute-Key': 'unknown'}, 401),
        ('/again/x', {'Arbutuschute-Key': None}, 401),
        ('/again/x', {'Host': 'other.example'}, 404),
        ('/again/x', {'X-Long': 'x' * 5000}, 431),
        ('/again/x', {'Arbutuschute-Deadline-Ms': 'soon'}, 400),
        ('/again/x', {'Arbutuschute-Prompt-Prefix': 'a:b'}, 400),
        ('/again/x', {'Arbutuschute-Attempt-Id': None}, 400),
        ('/again/x', {'Arbutuschute-Attempt-Id': ' '}, 400),
    ],
)
async def test_bad_input_is_refused_and_not_forwarded(
    world, path, more, status
):
    await world.start()
    async with world.call(path, headers=more) as response:
        assert response.status == status
        problem = await response.json()
        assert problem['ran'] == 'no'
    assert world.count_arrivals() == 0
    async with world.call('/again/x') as response:
        assert response.status == 200


async def test_body_over_the_limit_is_refused(world):
    await world.start()
    async with world.call('/again/x', data=b'x' * 20_000) as response:
        assert response.status == 413
    assert world.count_arrivals() == 0


async def send_raw(world, path, rest):
    """Send a valid head and ``rest``; return the connection's streams."""
    reader, writer = await world.connect()
    writer.write(
        b'POST ' + path + b' HTTP/1.1\r\nHost: a.example\r\n'
        b'Arbutuschute-Key: ' + standin.KEY.encode() + b'\r\n'
        b'Arbutuschute-Attempt-Id: r-1\r\n' + rest
    )
    return reader, writer


async def test_broken_chunks_end_only_their_connection(world):
    await world.start()
    reader, writer = await send_raw(
        world, b'/again/x', b'Transfer-Encoding: chunked\r\n\r\nnot a size\r\n'
    )
    answer = await asyncio.wait_for(reader.read(200), 5)
    assert b' 400 ' in answer.splitlines()[0]
    writer.close()
    assert world.count_arrivals() == 0
    async with world.call('/again/x') as response:
        assert response.status == 200


async def test_request_with_two_lengths_is_refused(world):
    await world.start()
    reader, writer = await world.connect()
    writer.write(
        b'POST /again/x HTTP/1.1\r\nHost: a.example\r\n'
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\nGET /again/y HTTP/1.1\r\nHost: a.example\r\n\r\n'
    )
    answer = await asyncio.wait_for(reader.read(200), 5)
    assert b' 400 ' in answer.splitlines()[0]
    writer.close()
    assert world.count_arrivals() == 0


async def test_public_route_needs_no_key(world):
    await world.start()
    headers = {'Arbutuschute-Key': None, 'Arbutuschute-Tenant': 'faked'}
    async with world.call('/open/x', headers=headers) as response:
        assert response.status == 200
    assert 'Arbutuschute-Tenant' not in world.engines['i-0'].requests[0]


@pytest.mark.parametrize(
    'answer',
    [
        standin.reset,
        standin.answer_cut,
        standin.answer_crossed,
        standin.make_unframed(True),
    ],
)
async def test_request_that_may_have_run_is_not_retried(world, answer):
    await world.start([answer, answer])
    async with world.call('/once/x') as response:
        assert response.status == 502
        assert (await response.json())['ran'] == 'unknown'
    assert world.count_arrivals() == 1


async def test_refused_request_is_sent_to_another_server(world):
    await world.start([standin.refuse_full, standin.answer_ok])
    for _ in range(4):
        async with world.call('/once/x') as response:
            assert response.status == 200


async def test_refusal_by_all_states_not_run_and_retry_after(world):
    await world.start([standin.refuse_full, standin.refuse_full])
    async with world.call('/once/x') as response:
        assert response.status == 503
        assert 0 < float(response.headers['Retry-After']) <= 0.67
        assert (await response.json())['ran'] == 'no'


async def test_idempotent_request_is_retried_after_a_failure(world):
    await world.start([standin.answer_error, standin.answer_ok])
    for _ in range(4):
        async with world.call('/again/x') as response:
            assert response.status == 200


async def test_failure_of_all_servers_is_forwarded_unchanged(world):
    await world.start([standin.answer_error] * 2)
    async with world.call('/again/x') as response:
        assert response.status == 500
        assert await response.read() == b'broken'
        assert (
            response.headers['Arbutuschute-Response-Seal']
            == standin.ORIGIN_PROOF
        )


async def test_response_without_length_is_whole_if_closed(world):
    await world.start([standin.make_unframed(False)])
    async with world.call('/once/x') as response:
        assert response.status == 200
        assert await response.read() == b'no length'


async def test_silent_server_is_replaced_by_another(world):
    await world.start([standin.hang, standin.answer_ok])
    for _ in range(4):
        async with world.call('/again/x') as response:
            assert response.status == 200


async def test_request_past_its_deadline_gets_a_response(world):
    await world.start([standin.hang])
    async with world.call('/once/x', deadline_ms=300) as response:
        assert response.status == 504
        assert (await response.json())['ran'] == 'unknown'


async def test_disconnect_of_the_caller_cancels_the_work(world):
    await world.start([standin.hang])
    engine = world.engines['i-0']
    with pytest.raises(TimeoutError):
        async with world.call(
            '/once/x', timeout=aiohttp.ClientTimeout(total=0.2)
        ):
            pass
    await conftest.wait_for(lambda: engine.cancelled == 1, 0.5)


async def test_other_server_at_a_reused_address_refuses_the_request(world):
    await world.start([standin.answer_ok])
    world.engines['i-0'].name = 'i-other'
    async with world.call('/once/x') as response:
        assert response.status == 503
    assert world.engines['i-0'].running == 0


async def test_slow_head_ends_only_its_own_connection(world):
    await world.start()
    reader, writer = await world.connect()
    writer.write(b'POST /again/x HTTP/1.1\r\nHost: a.exam')
    async with world.call('/again/x') as response:
        assert response.status == 200
    answer = await asyncio.wait_for(reader.read(), 5)
    assert answer.startswith(b'HTTP/1.1 408')
    writer.close()


async def test_slow_body_is_refused(world):
    await world.start()
    reader, writer = await send_raw(
        world, b'/once/x', b'Content-Length: 10\r\n\r\nhalf'
    )
    answer = await asyncio.wait_for(reader.read(100), 5)
    assert answer.startswith(b'HTTP/1.1 408')
    writer.close()
    assert world.count_arrivals() == 0


async def test_idle_connection_serves_the_next_request(world):
    await world.start()
    async with world.call('/again/x') as response:
        await response.read()
    await asyncio.sleep(1.5)  # Longer than headerTimeoutMs.
    async with world.call('/again/x') as response:
        assert response.status == 200


async def test_request_with_two_ids_is_refused(world):
    await world.start()
    reader, writer = await send_raw(
        world,
        b'/once/x',
        b'Arbutuschute-Attempt-Id: r-2\r\nContent-Length: 0\r\n\r\n',
    )
    answer = await asyncio.wait_for(reader.read(200), 5)
    assert b' 400 ' in answer.splitlines()[0]
    writer.close()
    assert world.count_arrivals() == 0
