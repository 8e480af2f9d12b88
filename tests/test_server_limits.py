"""Engines that state a rate limit, between processes of the own interface."""

import asyncio
import time

from tests import deployment
from tests import documents

LIMIT_PER_S = 4.0
SECONDS = 6.0
WINDOW_S = 4.0
REFUSALS = ((503, 'rate-limited'), (429, 'overloaded'))


async def call_until(deployed, router, end, times):
    while time.monotonic() < end:
        answer = await deployed.chat(router, 'reports', max_tokens=1)
        times.append((time.monotonic(), answer.status, answer.body))


# Guards against sending an engine far more requests than the limit that its
# answers state, summed over all routers.
async def test_routers_together_keep_the_limit_of_an_engine():
    async with deployment.Deployment() as deployed:
        await deployed.start_platform()
        await deployed.start_engine('e1', ['rapport:1'])
        await deployed.start_engine('e2', ['rapport:1'])
        await deployed.publish_basics(documents.make_profile())
        await deployed.start_routers(('r1', 'mtl-a'), ('r2', 'mtl-a'))
        await deployed.set_faults('e1', rate_limit=LIMIT_PER_S)
        answers = []
        end = time.monotonic() + WINDOW_S + SECONDS
        callers = [
            asyncio.ensure_future(call_until(deployed, router, end, answers))
            for router in ('r1', 'r2', 'r1', 'r2')
        ]
        await asyncio.sleep(WINDOW_S)
        before = len(await deployed.find_runs('e1'))
        await asyncio.gather(*callers)
        runs = len(await deployed.find_runs('e1')) - before
        assert {status for _, status, _ in answers} == {200}
        assert runs >= 0.5 * SECONDS * LIMIT_PER_S
        assert runs <= 1.5 * SECONDS * LIMIT_PER_S + 5
        assert len(answers) > 3 * runs


async def test_requests_wait_for_their_turn_or_are_refused():
    async with deployment.Deployment() as deployed:
        await deployed.start_platform()
        await deployed.start_engine('e1', ['rapport:1'])
        await deployed.publish_basics(documents.make_profile())
        await deployed.start_routers(('r1', 'mtl-a'))
        await deployed.set_faults('e1', rate_limit=LIMIT_PER_S)
        await deployed.chat('r1', 'reports', max_tokens=1)
        answers = await asyncio.gather(
            *(
                deployed.chat(
                    'r1',
                    'reports',
                    headers={'X-Deadline-Ms': '1500'},
                    max_tokens=1,
                )
                for _ in range(20)
            )
        )
        served = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status != 200]
        assert 4 <= len(served) <= 9
        for answer in refused:
            code = answer.document['code']
            # The router's own queue refuses what would wait too long, too.
            assert (answer.status, code) in REFUSALS
            assert answer.ran == 'no'
