"""Servers that state a rate limit, on a stand-in platform."""

import asyncio
import json

import msgspec
import pytest

from arbutuschute.policy import rate_limits
from arbutuschute.zones import fleet_size
from tests.platform import conftest
from tests.platform import standin

TOPIC = 'keyed.observations'
LIMIT = 'Server-Limit'
SIZED = {
    'Arbutuschute-Model': '*',
    'Arbutuschute-Token-Count': '400,20',
    'Arbutuschute-Prompt-Prefix': 'aa:100,bb:300',
}


def make_answer(limits, name=None):
    """Return a handler whose answers state ``limits[0]``, unless None."""

    async def answer(engine, request, body):
        more = {}
        if limits[0] is not None and name in (None, engine.name):
            more[LIMIT] = str(limits[0])
        return standin.web.Response(
            body=b'done', headers=standin.make_headers(request, **more)
        )

    return answer


async def send(world, number, path='/again/x'):
    headers = {'Arbutuschute-Attempt-Id': f'r-{number}'}
    async with world.call(path, headers=headers) as response:
        return response.status, await response.read()


def find_reports(world):
    return [
        json.loads(raw[1 + raw[0] :])
        for raw in world.store.topics.get(TOPIC, ())
        if raw[1:].startswith(b'limits/')
    ]


def put_report(world, name, demand, limits):
    report = rate_limits.LimitReport(name, 'r', demand, limits)
    world.store.put_raw(TOPIC, f'limits/{name}', msgspec.json.encode(report))


def count(world, name):
    return len(world.engines[name].seen)


# Guards against sending a server far more requests than the limit that its
# answers state.
async def test_server_gets_no_more_than_the_limit_it_states(world):
    await world.start([make_answer([5.0], 'i-0')] * 2)
    loop = asyncio.get_running_loop()
    began = loop.time()
    number = 0
    while loop.time() - began < 3.0:
        number += 1
        assert (await send(world, number))[0] == 200
    seconds = loop.time() - began
    assert 2 <= count(world, 'i-0') <= 5.0 * (seconds + 1.0) + 2
    assert count(world, 'i-1') > count(world, 'i-0')


async def test_request_waits_for_its_turn_or_is_refused_at_once(world):
    await world.start([make_answer([8.0])])
    await send(world, 0)
    await conftest.wait_for(lambda: find_reports(world))
    answers = await asyncio.gather(
        *(send(world, number) for number in range(1, 12))
    )
    served = [status for status, _ in answers if status == 200]
    refused = [json.loads(body) for status, body in answers if status == 503]
    assert served
    assert refused
    assert len(served) + len(refused) == len(answers)
    for problem in refused:
        assert problem['code'] == 'rate-limited'
        assert problem['ran'] == 'no'


async def test_limit_ends_with_an_answer_without_it(world):
    limits = [1.0]
    await world.start([make_answer(limits)])
    await send(world, 0)
    limits[0] = None
    found = world.instance.environment.rate_limits
    server = world.instance.environment.directory.servers['i-0']
    await conftest.wait_for(
        lambda: found.get_wait_s(server.incarnation, 'plain', 'r') <= 0.0
    )
    await send(world, 1)
    statuses = [(await send(world, number))[0] for number in range(2, 9)]
    assert statuses == [200] * 7
    await conftest.wait_for(lambda: find_reports(world))
    assert find_reports(world)[-1]['limits']['i-0 1'][0] == 0.0


async def test_limit_that_another_instance_heard_is_kept(world):
    await world.start([make_answer([None])] * 2)
    put_report(world, 'other', {'plain': 50.0}, {'i-0 1': (1.0, 0.0)})
    found = world.instance.environment.rate_limits
    await conftest.wait_for(found.list_limits)
    await asyncio.gather(*(send(world, number) for number in range(20)))
    assert count(world, 'i-0') <= 2
    await conftest.wait_for(lambda: find_reports(world)[-1]['demand'])


async def test_limit_is_known_after_a_restart(world):
    await world.start_platform([make_answer([1.0])])
    put_report(world, 'other', {'plain': 50.0}, {'i-0 1': (1.0, 0.0)})
    world.instance = world.make_instance()
    world.running = asyncio.ensure_future(world.instance.run())
    await conftest.wait_for(lambda: world.instance.environment.state == 'live')
    assert world.instance.environment.rate_limits.list_limits()


# Guards against limits that have ended coming back after an outage of the
# store: reports made meanwhile are outdated by then.
async def test_newest_report_is_written_after_an_outage_with_its_age(world):
    await world.start()
    world.store.broken_topics.add(TOPIC)
    name = world.instance.environment.name
    publish = world.instance.observations.publish
    publish(rate_limits.LimitReport(name, 'r', {}, {'s': (5.0, 0.0)}))
    await asyncio.sleep(0.1)
    publish(rate_limits.LimitReport(name, 'r', {}, {'s': (2.0, 1.0)}))
    await asyncio.sleep(0.5)
    world.store.broken_topics.clear()
    await conftest.wait_for(lambda: find_reports(world))
    await asyncio.sleep(0.3)
    (report,) = find_reports(world)
    per_s, age_s = report['limits']['s']
    assert per_s == 2.0
    assert age_s >= 1.5


# Guards against a limit that is not kept because the server that states it
# only refuses, as a full one does.
async def test_limit_in_a_refusal_is_kept(world):
    async def refuse(engine, request, body):
        return standin.web.Response(
            status=503, headers={'Arbutuschute-Not-Executed': '1', LIMIT: '1'}
        )

    await world.start([refuse, standin.answer_ok])
    found = world.instance.environment.rate_limits
    for number in range(40):
        assert (await send(world, number))[0] == 200
    assert found.list_limits() == {'i-0 1': 1.0}
    assert count(world, 'i-0') <= 2


# The address has a new owner, whose limit isn't that of the expected server.
async def test_limit_of_another_server_at_the_address_is_ignored(world):
    async def deny(engine, request, body):
        return standin.web.Response(status=421, headers={LIMIT: '1'})

    await world.start([deny, standin.answer_ok])
    for number in range(10):
        assert (await send(world, number))[0] == 200
    assert count(world, 'i-0')
    assert not world.instance.environment.rate_limits.list_limits()


@pytest.mark.parametrize('text', ['', 'many', 'nan', 'inf', '-inf', '1,2'])
async def test_malformed_limit_is_none(world, text):
    await world.start([make_answer([text])])
    for number in range(5):
        assert (await send(world, number))[0] == 200
    assert not world.instance.environment.rate_limits.list_limits()


@pytest.mark.parametrize('text', ['0', '-1', '0.0'])
async def test_server_that_accepts_nothing_is_asked_rarely(world, text):
    await world.start([make_answer([text], 'i-0')] * 2)
    for number in range(40):
        assert (await send(world, number))[0] == 200
    assert count(world, 'i-0') <= 2


async def test_stream_is_sent_to_a_server_without_a_limit(world):
    await world.start([standin.make_stream(3) for _ in range(2)])
    put_report(world, 'other', {'plain': 50.0}, {'i-0 1': (0.5, 0.0)})
    found = world.instance.environment.rate_limits
    await conftest.wait_for(found.list_limits)
    for number in range(10):
        status, _ = await send(world, number, '/stream/x')
        assert status == 200
    assert count(world, 'i-0') <= 2


# A dropped answer of the small model would use up two of the few requests.
async def test_limited_server_is_asked_for_the_large_model_at_once(
    world, capfd
):
    await world.start([standin.make_stream(3, confidence='5')])
    put_report(world, 'other', {}, {'i-0 1': (50.0, 0.0)})
    found = world.instance.environment.rate_limits
    await conftest.wait_for(found.list_limits)
    async with world.call('/sized/x', headers=SIZED) as response:
        assert response.status == 200
        await response.read()
    (seen,) = world.engines['i-0'].requests
    assert seen['Arbutuschute-Model'] == 'large'
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    (chosen,) = [line for line in lines if line['event'] == 'server chosen']
    assert chosen['model'] == 'large'


# Guards against one answer whose pieces are of two models.
async def test_stream_is_resumed_with_its_model_at_a_limited_server(world):
    await world.start([standin.make_stream(6, break_after=4, gap_s=0.01)])
    other = await world.add_engine('i-1', standin.make_stream(6), zone='far')
    put_report(world, 'other', {}, {'i-1 1': (50.0, 0.0)})
    environment = world.instance.environment
    await conftest.wait_for(environment.rate_limits.list_limits)
    await conftest.wait_for(
        lambda: len(environment.directory.find('plain')) == 2
    )
    async with world.call('/sized/x', headers=SIZED) as response:
        assert (await response.read()).count(b'\n\n') == 6
    (resumed,) = other.requests
    assert resumed['Last-Event-Id'] == '3'
    assert resumed['Arbutuschute-Model'] == 'small'


# Guards against an instance that takes the whole of a limit because nobody is
# heard: the store is away when a server begins to limit requests.
async def test_limit_in_an_outage_is_shared_with_the_instances_known_last(
    world,
):
    await world.start([make_answer([6.0])])
    size = fleet_size.ZoneSize('a', 'r', 6)
    world.store.put_raw(TOPIC, 'zone/a', msgspec.json.encode(size))
    environment = world.instance.environment
    await conftest.wait_for(lambda: environment.fleet_size.count() == 6)
    world.store.broken_topics.add(TOPIC)
    loop = asyncio.get_running_loop()
    began = loop.time()
    number = 0
    while loop.time() - began < 4.0:
        number += 1
        await send(world, number)
        await asyncio.sleep(0.02)
    assert 2 <= count(world, 'i-0') <= 1.5 * 4.0 * 6.0 / 6 + 2


async def test_reader_tells_the_size_of_its_zone(world):
    await world.start()
    await conftest.wait_for(
        lambda: any(
            raw[1:].startswith(b'zone/a')
            for raw in world.store.topics.get(TOPIC, ())
        )
    )
    assert world.instance.environment.fleet_size.get('a') == 1
