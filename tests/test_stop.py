"""The end of a router's stop, on the own interface.

Guards against admitting requests for the whole grace period and cutting off
those that run at its end, so that nobody knows whether they have run.
"""

import asyncio
import collections
import signal

from tests import deployment
from tests import documents

DRAIN_S = 1.5
# More than leaving, draining and settling may take.
STOPPED_WITHIN_S = 15.0
# At this pace a request outlasts the stop.
TOKEN_S = 0.2
TOKENS = 100


async def start(deployed):
    await deployed.start_engine('e1', ['rapport:1'], '--token-s', str(TOKEN_S))
    await deployed.publish_basics(documents.make_profile())
    await deployed.start_routers(('r1', 'mtl-a'), drain_s=DRAIN_S)


async def test_running_request_gets_an_answer_at_the_end(deployed):
    await start(deployed)
    calls = [
        asyncio.ensure_future(
            deployed.chat('r1', 'reports', max_tokens=TOKENS, stream=stream)
        )
        for stream in (False, True)
    ]

    async def has_begun():
        return await deployed.find_runs('e1')

    await deployment.wait_for(has_begun, 'requests at the engine')
    router = deployed.processes['r1']
    router.send(signal.SIGTERM)
    whole, stream = await asyncio.gather(*calls)
    assert whole.status == 502
    assert whole.document['code'] == 'interrupted'
    assert whole.ran in ('unknown', 'yes')
    assert b'"code":"interrupted"' in stream.body
    assert not stream.is_whole
    assert await router.wait() == 0


async def test_request_late_in_the_stop_is_refused(deployed):
    await start(deployed)
    running = asyncio.ensure_future(
        deployed.chat('r1', 'reports', max_tokens=TOKENS)
    )
    router = deployed.processes['r1']
    await asyncio.sleep(0.3)
    router.send(signal.SIGTERM)
    await asyncio.sleep(deployment.FAST_CONTROL['leave_s'] + 0.3)
    late = await deployed.chat('r1', 'reports')
    assert (late.status, late.ran) == (503, 'no')
    assert (await running).status == 502
    assert await router.wait() == 0


# A caller whose body arrives slowly sees its connection close without an
# answer, or holds the stop up.
async def test_request_whose_body_is_half_read_gets_an_answer(deployed):
    await start(deployed)
    router = deployed.processes['r1']
    host, port = deployed.addresses['r1'].removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer %s\r\nContent-Length: 9999\r\n\r\n{'
        % documents.KEY.encode()
    )
    await asyncio.sleep(0.2)
    router.send(signal.SIGTERM)
    async with asyncio.timeout(STOPPED_WITHIN_S):
        raw = await reader.read()
        assert raw.startswith(b'HTTP/1.1 503'), raw
        assert b'"code":"stopping"' in raw
        assert b'"ran":"no"' in raw
        assert await router.wait() == 0
    writer.close()


# Callers that connect during the stop are accepted and then cut off.
async def test_every_accepted_request_is_answered_to_the_end_of_a_stop(
    deployed,
):
    await start(deployed)
    host, port = deployed.addresses['r1'].removeprefix('http://').split(':')
    outcomes = collections.Counter()

    async def send_on_new_connections():
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                outcomes['not accepted'] += 1
                return
            writer.write(b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                         b'Content-Length: 0\r\n\r\n')  # fmt: skip
            try:
                outcomes[(await reader.readline()).strip()] += 1
            except OSError as error:
                outcomes[repr(error)] += 1
            writer.close()

    callers = [
        asyncio.ensure_future(send_on_new_connections()) for _ in range(8)
    ]
    await asyncio.sleep(0.3)
    deployed.processes['r1'].send(signal.SIGTERM)
    async with asyncio.timeout(STOPPED_WITHIN_S):
        await asyncio.gather(*callers)
    assert outcomes.pop('not accepted') == len(callers)
    statuses = {b'HTTP/1.1 401 Unauthorized',
                b'HTTP/1.1 503 Service Unavailable'}  # fmt: skip
    assert outcomes.keys() <= statuses, outcomes
