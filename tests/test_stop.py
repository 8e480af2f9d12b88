"""The end of a router's stop, on the own interface.

Guards against admitting requests for the whole grace period and cutting off
those that run at its end, so that nobody knows whether they have run.
"""

import asyncio
import signal

from tests import deployment
from tests import documents

DRAIN_S = 1.5
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
