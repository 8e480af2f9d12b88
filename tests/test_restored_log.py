"""A log that comes back from an older copy, on the own interface.

Guards against losing what was acknowledged: publications, claims of work that
runs at most once, bills; and against fencing numbers that go back.
"""

import asyncio

import msgspec

from arbutuschute.ledgers import commit
from arbutuschute.ledgers import leases
from arbutuschute.links import log
from tests import deployment
from tests import documents
from tests import stepping

LEASE_S = 2.0


async def start(deployed, *routers):
    await deployed.start_engine('e1', ['rapport:1'])
    await deployed.publish_basics(documents.make_profile())
    await deployed.start_routers(*((name, 'mtl-a') for name in routers))


async def copy(deployed):
    await deployed.post_control('platform', 'copy')


async def restore(deployed):
    await deployed.post_control('platform', 'restore')


async def wait_until_answered(deployed, router, profile):
    async def is_answered():
        answer = await deployed.chat(router, profile)
        return answer.status == 200

    await deployment.wait_for(is_answered, f'{router} answers {profile}')


async def test_lost_publication_stays_in_force_and_is_written_again(deployed):
    await start(deployed, 'r1', 'r2')
    await copy(deployed)
    await deployed.publish(documents.make_profile(name='later'), wait=True)
    await restore(deployed)
    for _ in range(10):
        assert (await deployed.chat('r1', 'later')).status == 200
        await asyncio.sleep(0.05)
    await wait_until_answered(deployed, 'r2', 'later')
    await deployed.publish(documents.make_profile(name='after'), wait=True)
    await deployed.start_router('r3', 'mtl-a')
    for profile in ('later', 'after'):
        await wait_until_answered(deployed, 'r3', profile)


async def test_work_that_runs_once_is_not_run_again(deployed):
    await deployed.start_engine('e1', ['rapport:1'])
    await deployed.publish_basics(documents.make_profile(idempotent=False))
    await deployed.start_routers(('r1', 'mtl-a'))
    await copy(deployed)
    headers = {'Idempotency-Key': 'visit-1'}
    first = await deployed.chat('r1', 'reports', headers=headers)
    assert first.status == 200
    await restore(deployed)
    await deployed.start_router('r2', 'mtl-a')

    async def is_replayed(router):
        again = await deployed.chat(router, 'reports', headers=headers)
        assert again.status == 200 or again.ran == 'no'
        return again.status == 200

    for router in ('r1', 'r2'):
        await deployment.wait_for(
            lambda router=router: is_replayed(router), f'{router} replays'
        )
    assert len(await deployed.find_runs('e1')) == 1


async def test_lost_bills_are_written_again_once(deployed):
    await start(deployed, 'r1', 'r2')
    await copy(deployed)
    for router in ('r1', 'r2', 'r1'):
        assert (await deployed.chat(router, 'reports')).status == 200

    async def are_billed():
        return len(await deployed.read_bills()) == 3

    await deployment.wait_for(are_billed, 'bills')
    await restore(deployed)
    await deployment.wait_for(are_billed, 'bills written again')


def test_fencing_number_rises_across_eras():
    known = leases.Leases(5.0)
    claim = msgspec.json.encode(leases.Claim('orders', 'r1/1'))
    known.apply_entry(claim, 900, 1.0)
    before = known.find_fence('orders', 'r1/1')
    known.begin_era(1)
    assert known.find_fence('orders', 'r1/1') is None
    known.apply_entry(claim, 3, 2.0)
    assert known.find_fence('orders', 'r1/1') > before


class PagedClient:
    """A log client whose pages are set by the test."""

    def __init__(self):
        self.page = log.Page(0, 0)
        self.starts = []
        self.appended = []

    async def read(self, stream, start, wait_s=0.0):
        self.starts.append(start)
        return log.result.Success(self.page)

    async def append(self, stream, value):
        self.appended.append(value)
        return log.result.Success(log._Appended(len(self.appended)))


def make_records(count):
    return tuple(
        log.Record(offset, 1.0, msgspec.Raw(b'{}')) for offset in range(count)
    )


async def test_log_that_is_behind_confirms_nothing():
    client = PagedClient()
    timer = stepping.SteppedTimer()
    follower = log.LogFollower(client, 's', timer)
    client.page = log.Page(0, 5, make_records(5))
    await follower.read_once()
    assert follower.confirmed_at == 0.0
    timer.time = 9.0
    follower.least_head = 5
    client.page = log.Page(0, 2, make_records(2), era=1)
    for _ in range(3):
        await follower.read_once()
    assert follower.position == 2
    assert follower.confirmed_at == 0.0
    client.page = log.Page(0, 5, make_records(5), era=1)
    await follower.read_once()
    assert follower.confirmed_at == 9.0


async def test_late_response_of_the_old_era_changes_nothing():
    client = PagedClient()
    follower = log.LogFollower(client, 's', stepping.SteppedTimer())
    client.page = log.Page(0, 2, make_records(2), era=1)
    await follower.read_once()
    client.page = log.Page(0, 5, make_records(5), era=0)
    await follower.read_once()
    assert (follower.position, follower.era) == (2, 1)


async def test_recent_entries_are_appended_again():
    client = PagedClient()
    timer = stepping.SteppedTimer()
    group = commit.GroupCommit(client, 's', timer)
    async with stepping.run_together([group.run()]):
        for entry in (b'"old"', b'"new"'):
            timer.time += commit.KEEP_S + 1.0
            await group.append(entry)
        client.appended.clear()
        group.handle_restore()
        assert group.is_rewriting
        await group.append(b'"later"')
        assert not group.is_rewriting
    (batch,) = client.appended
    assert b'old' not in batch
    assert batch.index(b'new') < batch.index(b'later')
