"""Configuration, servers and roll-outs that are read from the store."""

import asyncio

import pytest

from arbutuschute.platform import followers
from arbutuschute.platform import settings
from arbutuschute.policy import rollout_records
from tests.platform import conftest
from tests.platform import standin


async def send(world, path='/again/x', **more):
    async with world.call(path, **more) as response:
        await response.read()
        return response.status


async def send_as(world, request_id):
    headers = {'Arbutuschute-Attempt-Id': request_id}
    return await send(world, headers=headers)


async def wait_for_status(world, status, path='/again/x', within_s=5.0):
    async with asyncio.timeout(within_s):
        while await send(world, path) != status:
            await asyncio.sleep(0.02)


async def test_new_route_applies(world):
    await world.start()
    route = conftest.make_route('new', 'idempotent')
    assert await send(world, '/new/x') == 404
    changed = conftest.make_configuration(2, [route])
    world.store.put('keyed.op', 'config', changed)
    await wait_for_status(world, 200, '/new/x')


async def test_revoked_key_is_refused(world):
    await world.start()
    changed = conftest.make_configuration(2, keys=['another'])
    world.store.put('keyed.op', 'config', changed)
    await wait_for_status(world, 401)
    arrived = world.count_arrivals()
    assert await send(world) == 401
    assert world.count_arrivals() == arrived


# Once no organisation had a key left, every request ran: with the keys that
# were taken away, with unknown ones and with none.
@pytest.mark.parametrize('tenants', [[], [{'name': 'dispatch'}]])
async def test_nobody_is_served_once_the_last_key_is_revoked(world, tenants):
    await world.start()
    changed = conftest.make_configuration(2)
    world.store.put('keyed.op', 'config', {**changed, 'tenants': tenants})
    await wait_for_status(world, 401)
    arrived = world.count_arrivals()
    for key in (standin.KEY, 'unknown', '', None):
        headers = {'Arbutuschute-Key': key}
        for path in ('/once/x', '/again/x', '/stream/x'):
            assert await send(world, path, headers=headers) == 401
    assert world.count_arrivals() == arrived
    assert (
        await send(world, '/open/x', headers={'Arbutuschute-Key': None}) == 200
    )


async def test_configuration_with_malformed_tenants_changes_nothing(world):
    await world.start()
    changed = conftest.make_configuration(2)
    world.store.put('keyed.op', 'config', {**changed, 'tenants': None})
    await conftest.wait_for(lambda: world.instance.operator.position == 2)
    assert world.instance.environment.table.version == 1
    for key, status in ((standin.KEY, 200), ('unknown', 401), (None, 401)):
        headers = {'Arbutuschute-Key': key}
        assert await send(world, headers=headers) == status


async def test_configuration_without_tenants_needs_no_key(world):
    await world.start()
    changed = conftest.make_configuration(2)
    del changed['tenants']
    world.store.put('keyed.op', 'config', changed)
    await conftest.wait_for(
        lambda: world.instance.environment.table.version == 2
    )
    for key in ('unknown', None):
        assert await send(world, headers={'Arbutuschute-Key': key}) == 200


async def test_older_configuration_does_not_return(world):
    await world.start()
    route = conftest.make_route('new', 'idempotent')
    changed = conftest.make_configuration(5, [route])
    world.store.put('keyed.op', 'config', changed)
    await wait_for_status(world, 200, '/new/x')
    world.store.put('keyed.op', 'config', conftest.make_configuration(3))
    world.store.put('keyed.op', 'rollout/other', 'malformed')
    await conftest.wait_for(lambda: world.instance.operator.position == 4)
    assert await send(world, '/new/x') == 200


async def test_malformed_configuration_changes_nothing(world):
    await world.start()
    world.store.put_raw('keyed.op', 'config', b'{"version": 9, "routes": 1}')
    await conftest.wait_for(lambda: world.instance.operator.position == 2)
    assert await send(world) == 200


async def test_newest_valid_configuration_of_a_read_applies(world):
    await world.start()
    world.store.fault = 'busy'
    await conftest.wait_for(lambda: world.instance.servers.is_failing)
    route = conftest.make_route('new', 'idempotent')
    world.store.put('keyed.op', 'config', conftest.make_configuration(2))
    changed = conftest.make_configuration(3, [route])
    world.store.put('keyed.op', 'config', changed)
    world.store.put_raw('keyed.op', 'config', b'{"version": 9}')
    world.store.fault = None
    await wait_for_status(world, 200, '/new/x')


async def test_without_the_store_keyed_requests_are_refused_in_time(world):
    await world.start()
    world.store.fault = 'silent'
    await wait_for_status(world, 503, within_s=1.8)
    assert await world.get_readiness() == 503
    world.store.fault = None
    await wait_for_status(world, 200)
    assert await world.get_readiness() == 200


async def test_instance_without_a_configuration_is_not_ready(world):
    world.store.fault = 'busy'
    starting = asyncio.ensure_future(world.start())
    await conftest.wait_for(lambda: world.instance is not None)
    await conftest.wait_for(lambda: world.instance.is_listening)
    assert await world.get_readiness() == 503
    world.store.fault = None
    await starting
    assert await send(world) == 200


async def test_leaving_server_gets_no_new_requests(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    world.list_engine(world.engines['i-0'], state='draining', sequence=2)
    server = world.instance.environment.directory.servers['i-0']
    await conftest.wait_for(lambda: server.leaving, 2.5)
    arrived = len(world.engines['i-0'].seen)
    for _ in range(6):
        assert await send(world) == 200
    assert len(world.engines['i-0'].seen) == arrived


async def test_removed_server_gets_no_new_requests(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    world.store.put('keyed.servers', 'i-1', None)
    servers = world.instance.environment.directory.servers
    await conftest.wait_for(lambda: 'i-1' not in servers, 2.5)
    for _ in range(6):
        assert await send(world) == 200
    assert not world.engines['i-1'].seen


async def test_malformed_entries_are_ignored(world):
    await world.start()
    entry = {'service': 'plain', 'address': '127.0.0.1:1', 'zone': 'a'}
    world.store.put('keyed.servers', 'i-bad', entry)
    full = {**entry, 'version': 'v1', 'slots': 4, 'sequence': 1}
    world.store.put('keyed.servers', 'i-odd', {**full, 'state': 'odd'})
    world.store.put_raw('keyed.servers', 'i-raw', b'\xff\x00')
    await world.add_engine('i-good')
    servers = world.instance.environment.directory.servers
    await conftest.wait_for(lambda: 'i-good' in servers)
    assert set(servers) == {'i-0', 'i-good'}


async def test_deleted_history_is_replaced_by_newest_records(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    world.store.fault = 'busy'
    world.store.put('keyed.servers', 'i-1', None)
    await world.add_engine('i-2')
    for _ in range(3):
        await world.add_engine(f'i-x{_}')
    world.store.compact('keyed.servers')
    world.store.fault = None
    servers = world.instance.environment.directory.servers
    await conftest.wait_for(
        lambda: 'i-2' in servers and 'i-1' not in servers,
        followers.RETURN_AFTER_OUTAGE_S + 3.0,
    )


async def test_entries_that_lapsed_in_an_outage_stay_in_use(world):
    await world.start()
    world.store.fault = 'busy'
    await conftest.wait_for(lambda: world.instance.servers.is_failing)
    world.store.put('keyed.servers', 'i-0', None)
    world.store.fault = None
    await conftest.wait_for(lambda: not world.instance.servers.is_failing)
    # The outage lasts longer than the lease of these settings (1.2 s).
    await conftest.wait_for(
        lambda: world.instance.environment.freshness.is_valid
    )
    assert await send(world) == 200
    world.list_engine(world.engines['i-0'], sequence=5)
    directory = world.instance.environment.directory
    await asyncio.sleep(followers.RETURN_AFTER_OUTAGE_S + 1.2)
    assert 'i-0' in directory.servers
    assert await send(world) == 200


async def test_server_not_listed_again_after_an_outage_is_removed(world):
    await world.start([standin.answer_ok, standin.answer_ok])
    world.store.fault = 'busy'
    await conftest.wait_for(lambda: world.instance.servers.is_failing)
    world.store.put('keyed.servers', 'i-0', None)
    world.store.fault = None
    directory = world.instance.environment.directory
    await conftest.wait_for(
        lambda: 'i-0' not in directory.servers,
        followers.RETURN_AFTER_OUTAGE_S + 3.0,
    )


async def test_new_process_under_an_old_name_is_another_server(world):
    await world.start()
    directory = world.instance.environment.directory
    before = directory.servers['i-0']
    world.list_engine(world.engines['i-0'], born=2)
    await conftest.wait_for(lambda: directory.servers['i-0'] is not before)


async def test_stop_finishes_running_requests(world):
    slow = standin.make_stream(10, gap_s=0.2)
    await world.start([slow])
    async with world.call('/stream/x', deadline_ms=10_000) as response:
        await response.content.readany()
        world.instance.request_stop()
        await asyncio.sleep(0.1)
        assert await world.get_readiness() == 503
        body = await response.read()
        assert b'data: 10\n\n' in body
    await asyncio.wait_for(world.running, 8)


async def test_stop_responds_on_idle_connections_and_closes_them(world):
    await world.start()
    assert await send(world) == 200
    world.instance.request_stop()
    await asyncio.sleep(0.1)
    async with world.call('/again/x') as response:
        assert response.status == 200
        assert response.headers['Connection'] == 'close'
    await asyncio.wait_for(world.running, 8)


async def test_rollout_completes_and_reports_its_status(world):
    await world.start()
    await world.add_engine('i-new', version='v2')
    order = {'service': 'plain', 'target': 'v2', 'durationS': 6}
    world.store.put('keyed.op', 'rollout/plain', order)
    statuses = set()
    number = 0
    async with asyncio.timeout(15):
        while 'completed' not in statuses:
            number += 1
            # Several at once, so that a busy machine sends enough of them.
            await asyncio.gather(
                *(send_as(world, f'{number}-{caller}') for caller in range(4))
            )
            raw = world.store.find('keyed.status', 'rollout/plain')
            if raw is not None:
                assert b'"target":"v2"' in raw
                statuses.add(
                    raw.split(b'"state":"')[1].split(b'"')[0].decode()
                )
            await asyncio.sleep(0.004)
    assert statuses == {'in_progress', 'completed'}


async def test_bad_version_is_rolled_back(world):
    await world.start()
    bad = await world.add_engine('i-new', standin.answer_error, version='v2')
    order = {'service': 'plain', 'target': 'v2', 'durationS': 20}
    for number in range(80):
        await send(world, headers={'Arbutuschute-Attempt-Id': f'{number}'})
    world.store.put('keyed.op', 'rollout/plain', order)
    number = 0
    async with asyncio.timeout(15):
        while b'rolled_back' not in (
            world.store.find('keyed.status', 'rollout/plain') or b''
        ):
            number += 1
            await send(world, headers={'Arbutuschute-Attempt-Id': f'{number}'})
            await asyncio.sleep(0.004)
    arrived = len(bad.seen)
    for number in range(100):
        await send(world, headers={'Arbutuschute-Attempt-Id': f'x{number}'})
    assert len(bad.seen) == arrived


async def test_instance_starts_with_the_steps_of_a_rollout(world):
    order = {'service': 'plain', 'target': 'v2', 'durationS': 6}
    step = rollout_records.Step(
        0, 'plain', 2, rollout_records.Phase.COMPLETED, 5.0
    )
    world.store.put('keyed.op', 'rollout/plain', order)
    world.store.put_raw(
        'keyed.rollouts', 'step/plain', rollout_records.encode(step)
    )
    await world.add_engine('i-new', version='v2')
    await world.start(answers=())
    assert await send(world) == 200


async def test_instance_starts_without_readable_steps_of_a_rollout(
    world,
):
    order = {'service': 'plain', 'target': 'v2', 'durationS': 6}
    world.store.put('keyed.op', 'rollout/plain', order)
    world.store.broken_topics = {'keyed.rollouts'}
    await world.start()
    assert await send(world) == 200


async def test_metrics_are_served_as_text(world):
    await world.start()
    assert await send(world) == 200
    async with world.http.get(world.metrics_url) as response:
        text = await response.text()
    assert 'arbutuschute_events_total{event="requests"} 1.0' in text
    assert 'label="dispatch",measure="total_ms.organisation"' in text


async def test_changed_settings_apply_without_a_signal(world):
    await world.start()
    text = world.settings_text
    path = world.settings_path
    environment = world.instance.environment
    before = environment.freshness.lease_s
    await asyncio.sleep(settings.CHECK_PERIOD_S + 0.2)
    assert environment.freshness.lease_s == before
    path.write_text(text.replace('revokeMs=1800', 'revokeMs=2800'))
    await conftest.wait_for(lambda: environment.freshness.lease_s > before)
    path.write_text('node=only\n')
    await asyncio.sleep(settings.CHECK_PERIOD_S + 0.2)
    assert environment.freshness.lease_s > before
