"""Checks of two builds of the project that run side by side.

Run it as ``python -m tests.versions OLD``, where OLD is the path of
another checkout. It prints one line a check, and exits 0 if all passed.
"""

import asyncio
import functools
import pathlib
import sys

from tests import deployment
from tests.scenarios import support
from tests import sides
from tests import versions_platform

NEW = pathlib.Path(__file__).resolve().parent.parent
STREAM_TOKENS = 400
REQUESTS_EACH = 6
KEY = 'kept'


async def check_peers(site):
    """Check that both are ready and live peers of each other."""
    for build in ('old', 'new'):
        await site.start(build)
    await site.deployed.wait_for_mesh(['old', 'new'])
    for build, other in (('old', 'new'), ('new', 'old')):

        async def lists(build=build, other=other):
            status = await site.deployed.get_status(build)
            return status and other in status['peers']

        await deployment.wait_for(lists, f'{other} a live peer of {build}')
    for build in ('old', 'new'):
        statuses = await site.run_command(build, 'status', '--json')
        states = {name: (s or {}).get('state') for name, s in statuses.items()}
        sides.require(states == {'old': 'live', 'new': 'live'}, states)
    return 'both live, each lists the other; both trees verified'


async def check_publishing(site, build, other):
    """Check that a publication of one build is in force on the other."""
    await site.publish_basics(build)
    name = f'of-{build}'
    published = await site.publish(build, sides.make_profile(name))
    sides.require(set(published['in_force']) == {'old', 'new'}, published)
    for router in (other, build):
        await site.chat(router, name)
    return f'in force on {published["in_force"]}, answered at {other}'


async def check_requests(site):
    """Check that requests to each build succeed."""
    for name in ('old', 'new'):
        await asyncio.gather(*(site.chat(name) for _ in range(REQUESTS_EACH)))
    return f'{REQUESTS_EACH} answered at each'


async def check_key(site, first, second):
    """Check that a call with the same key at both builds runs once."""
    before = await site.count_made()
    answers = [await site.book(name, f'k-{first}') for name in (first, second)]
    made = await site.count_made() - before
    sides.require(made == 1, f'ran {made} times')
    sides.require(
        answers[0].body == answers[1].body, [a.body for a in answers]
    )
    return f'ran once, same answer {answers[1].body.decode()}'


async def check_session(site):
    """Check that a session keeps its version at the other build."""
    starts = {'s1': 'old', 's2': 'old', 's3': 'new', 's4': 'new'}
    found = {name: [] for name in starts}

    async def send(session, router):
        answer = await site.chat(router, **{'X-Session': session})
        found[session].append(answer.headers['X-Version'])

    for session, router in starts.items():
        await send(session, router)
    await site.run_command('old', 'rollout', 'advance', 'reports', 'rapport:2')
    for session in starts:
        await send(session, 'new')
        await send(session, 'old')
    sides.require(all(set(v) == {'1'} for v in found.values()), found)
    later = [
        (await site.chat(name, **{'X-Session': f'later-{name}'})).headers[
            'X-Version'
        ]
        for name in ('old', 'new')
    ]
    sides.require(later == ['2', '2'], f'new sessions on {later}')
    return f'{len(found)} sessions stayed on 1, new ones on {later}'


async def check_bills(site):
    """Check that the bills are complete, by the command of both builds."""
    counts = [
        len(await site.wait_for_bills(build)) for build in ('old', 'new')
    ]
    return (
        f'{counts} bills of {len(site.sent)} requests and {len(site.keys)} '
        'keys, all settled'
    )


async def check_killed(site, owner, other):
    """Check that the other build settles a killed owner's open bill."""
    first = asyncio.Event()
    stream = asyncio.ensure_future(
        support.stream(site.deployed, owner, STREAM_TOKENS, first)
    )
    await asyncio.wait_for(first.wait(), deployment.WAIT_S)
    site.deployed.processes[owner].kill()
    answer = await stream
    sides.require(not answer.is_whole, 'the stream ended before its owner')
    request = answer.headers['X-Request-Id']
    site.sent.add(request)
    bills = await site.wait_for_bills(other)
    states = [
        bill['state'] for bill in bills if sides.find_request(bill) == request
    ]
    await site.start(owner)
    await site.deployed.wait_for_mesh(['old', 'new'])
    return f'{len(bills)} bills, that of the cut stream is {states}'


async def run_peers(report, sources):
    """Check routers of both builds in one deployment."""
    async with deployment.Deployment() as deployed:
        site = sides.Site(deployed, sources)
        await site.start_basics()
        pairs = (('old', 'new'), ('new', 'old'))
        await report.check('routers are peers', lambda: check_peers(site))
        for pair in pairs:
            await report.check(
                f'{pair[0]} command publishes',
                functools.partial(check_publishing, site, *pair),
            )
        await report.check('requests', lambda: check_requests(site))
        for pair in pairs:
            await report.check(
                f'one key at {pair[0]}, then {pair[1]}',
                functools.partial(check_key, site, *pair),
            )
        await report.check('sessions', lambda: check_session(site))
        await report.check('bills', lambda: check_bills(site))
        for pair in pairs:
            await report.check(
                f'{pair[0]} killed with an open bill',
                functools.partial(check_killed, site, *pair),
            )


async def write_log(site, build):
    """Write a log by one build alone; return its bills, status and answer."""
    await site.start_basics()
    await site.start(build, 'writer')
    await site.publish_basics(build)
    for _ in range(REQUESTS_EACH):
        await site.chat('writer')
    answer = await site.book('writer', KEY)
    await site.run_command(build, 'snapshot', '--json')
    # The snapshot is a record like others; all of them are applied.
    await site.publish(build, sides.make_profile('later'))
    bills = await site.wait_for_bills(build)
    status = await site.deployed.get_status('writer')
    await site.stop('writer')
    return bills, status, answer.body


async def run_stored(report, sources, writer, reader):
    """Check a log of one build, read by the other started alone."""
    name = f'log of {writer}, read by {reader}'
    async with deployment.Deployment() as deployed:
        site = sides.Site(deployed, sources)
        written = []

        async def write():
            written.extend(await write_log(site, writer))
            await site.start(reader, 'reader')
            return f'{len(written[0])} bills written, {reader} started alone'

        async def read_configuration():
            status = written[1]

            async def is_same():
                found = await deployed.get_status('reader')
                return found and all(
                    found[key] == status[key] for key in ('offset', 'digest')
                )

            await deployment.wait_for(is_same, f'{status["offset"]} applied')
            await site.chat('reader', 'later')
            return f'offset {status["offset"]}, same digest, request answered'

        async def read_bills():
            found = await site.wait_for_bills(reader)
            missing = [bill for bill in written[0] if bill not in found]
            sides.require(not missing, f'missing or changed: {missing}')
            return f'{len(written[0])} as written, {len(found)} in all'

        async def read_claims():
            answer = await site.book('reader', KEY)
            sides.require(answer.body == written[2], answer.body)
            made = await site.count_made()
            sides.require(made == 1, f'ran {made} times')
            return f'ran once, same answer {answer.body.decode()}'

        await report.check(name, write)
        await report.check(f'{name}: configuration', read_configuration)
        await report.check(f'{name}: claims', read_claims)
        await report.check(f'{name}: bills', read_bills)


async def run(old):
    """Run all checks; return the exit code."""
    report = sides.Report()
    sources = {'old': pathlib.Path(old).resolve(), 'new': NEW}
    await run_peers(report, sources)
    await run_stored(report, sources, 'old', 'new')
    await run_stored(report, sources, 'new', 'old')
    await versions_platform.run(report, sources)
    print(f'{report.passed} passed, {report.failed} failed')
    return int(report.failed > 0)


if __name__ == '__main__':
    if len(sys.argv) != 2 or not pathlib.Path(sys.argv[1]).is_dir():
        sys.exit('usage: python -m tests.versions OLD')
    sys.exit(asyncio.run(run(sys.argv[1])))
