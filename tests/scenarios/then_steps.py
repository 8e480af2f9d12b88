"""Then steps: checks of answers, bills, runs and states."""

import asyncio
import collections
import json

from pytest_bdd import parsers
from pytest_bdd import then

from tests import deployment
from tests.scenarios import support


@then(
    parsers.re(
        'the number of bookings made by "(?P<name>[^"]+)" '
        'is (?P<count>[0-9]+)$'
    )
)
def check_made(world, name, count):
    made = world.run(world.deployed.get_standin(name, 'made'))['made']
    assert len(made) == int(count)


@then(
    parsers.parse(
        'the number of bookings made by "{name}" is at most {count:d}'
    )
)
def check_made_at_most(world, name, count):
    made = world.run(world.deployed.get_standin(name, 'made'))['made']
    assert len(made) <= count


@then('all answers are equal')
def check_equal(world):
    assert len({answer.body for answer in world.answers}) == 1
    assert world.answers[0].status == 200


@then('all successful answers are of the same booking')
def check_same_booking(world):
    numbers = {a.document['number'] for a in world.answers if a.status == 200}
    assert len(numbers) <= 1


@then(parsers.parse('the answer reports ran "{ran}"'))
def check_ran(world, ran):
    assert len(world.answers) == 1
    assert world.answers[0].ran == ran, world.answers[0].body


@then(parsers.parse('all answers report ran "{ran}"'))
def check_all_ran(world, ran):
    for answer in world.answers:
        assert answer.status != 200
        assert answer.ran == ran, answer.body


@then(parsers.parse('the answer has status {status:d}'))
def check_status(world, status):
    assert [a.status for a in world.answers] == [status]


@then(parsers.parse('all answers have status {status:d}'))
def check_all_status(world, status):
    assert {a.status for a in world.answers} == {status}, [
        a.body for a in world.answers
    ]


@then(parsers.parse('no answer has status {status:d}'))
def check_no_status(world, status):
    assert status not in {a.status for a in world.answers}


@then(parsers.parse('each of the {count:d} requests has exactly one bill'))
def check_bills(world, count):
    """Check each bill that is listed: one per request, no id twice."""
    assert world.sent_requests == count
    deployed = world.deployed

    async def read():
        found = await deployed.read_bills()
        settled = all(bill['state'] != 'opened' for bill in found)
        return found if len(found) >= count and settled else None

    for task in world.pending:
        task.cancel()
    world.pending = []
    bills = world.run(deployment.wait_for(read, f'{count} bills'))
    assert len(bills) == count, bills
    charged = collections.Counter(bill['id'] for bill in bills)
    assert set(charged.values()) == {1}


@then(parsers.parse('no new request ran on "{version}"'))
def check_no_new_runs(world, version):
    before = world.runs_before.get(version, 0)
    assert world.count_runs(version) == before


@then('the command succeeds')
def check_command(world):
    code, out, err = world.commands[0]
    assert code == 0, out + err


@then(
    parsers.parse('one command succeeds and one is refused with "{failure}"')
)
def check_race(world, failure):
    codes = sorted(code for code, _, _ in world.commands)
    assert codes == [0, 4], world.commands
    (refused,) = (out for code, out, _ in world.commands if code == 4)
    assert json.loads(refused)['code'] == failure


@then(parsers.parse('every instance has halted "{version}"'))
def check_halted(world, version):
    async def halted():
        statuses = [
            await world.deployed.get_status(n) for n in world.live_routers
        ]
        return all(s and f'reports/{version}' in s['halted'] for s in statuses)

    world.run(deployment.wait_for(halted, f'{version} halted everywhere'))


@then('no instance has halted a version')
def check_none_halted(world):
    # An evaluation follows each heartbeat.
    world.run(asyncio.sleep(5 * deployment.FAST_CONTROL['heartbeat_s']))
    statuses = [
        world.run(world.deployed.get_status(n)) for n in world.live_routers
    ]
    assert statuses
    assert all(status['halted'] == [] for status in statuses)


@then('every instance has the same configuration')
def check_digests(world):
    deployed = world.deployed

    async def alike():
        statuses = [await deployed.get_status(n) for n in world.live_routers]
        found = {(s['offset'], s['digest']) for s in statuses if s}
        return len(found) == 1 and all(statuses)

    world.run(deployment.wait_for(alike, 'the same configuration'))


@then(parsers.parse('the answer is whole with {count:d} tokens in order'))
def check_whole(world, count):
    (answer,) = world.answers
    check_tokens(answer, count)


def check_tokens(answer, count):
    assert answer.is_whole, answer.body[-300:]
    numbers = [int(token.split('.')[1]) for token in answer.text.split()]
    assert numbers == list(range(count))


@then(parsers.parse('all answers are whole with {count:d} tokens in order'))
def check_all_whole(world, count):
    for answer in world.answers:
        check_tokens(answer, count)


@then(parsers.parse('"{name}" has incremented the counter "{counter}"'))
def check_counter(world, name, counter):
    status = world.run(world.deployed.get_status(name))
    assert status['counters'].get(counter, 0) > 0


@then('no answer looks whole')
def check_not_whole(world):
    assert not any(answer.is_whole for answer in world.answers)


@then(parsers.parse('the answer ends with the error "{code}"'))
def check_error_event(world, code):
    (answer,) = world.answers
    last = answer.body.rstrip().rsplit(b'\n\n', 1)[-1]
    assert last.startswith(b'event: error')
    assert json.loads(last.split(b'data: ', 1)[1])['code'] == code


@then('each answer belongs to its own request')
def check_request_ids(world):
    for answer in world.answers:
        assert answer.document['id'] == answer.headers['X-Request-Id']
    ids = {answer.document['id'] for answer in world.answers}
    assert len(ids) == len(world.answers)
    assert 'another-request' not in ids


@then(parsers.parse('"{name}" ran {count:d} requests'))
def check_runs(world, name, count):
    assert len(world.run(world.deployed.find_runs(name))) == count


@then(parsers.parse('each session ran on "{version}" only'))
def check_sessions(world, version):
    for session, answers in world.sessions.items():
        assert {a.version for a in answers} == {version}, session


@then(parsers.parse('sessions "{names}" ran on "{version}" only'))
def check_some_sessions(world, names, version):
    for session in support.split_list(names):
        assert {a.version for a in world.sessions[session]} == {version}


@then(
    parsers.parse(
        'the answers report that the session moved from version "{old}"'
    )
)
def check_moved(world, old):
    for answer in world.answers:
        assert answer.headers.get('X-Session-Moved-From') == old


@then(
    parsers.parse(
        '"{router}" sent "{name}" at most {count:d} requests '
        'after it started leaving'
    )
)
def check_refused_leaving(world, router, name, count):
    found = world.run(world.deployed.get_standin(name, 'runs'))
    assert found['refused_leaving'] <= count


@then(parsers.parse('"{name}" ends with exit code {code:d}'))
def check_exit(world, name, code):
    process = world.deployed.processes[name]
    assert world.run(process.wait()) == code, process.read_log()


def read_versions(world, name):
    async def read():
        async with world.deployed.session.get(
            world.deployed.addresses[name] + '/load'
        ) as response:
            return (await response.json())['versions']

    return read()


@then(parsers.parse('"{first}" and "{second}" no longer have "{version}"'))
def check_unloaded(world, first, second, version):
    for name in (first, second):

        async def gone(name=name):
            return version not in await read_versions(world, name)

        world.run(deployment.wait_for(gone, f'{version} gone from {name}'))


@then(parsers.parse('some engine has loaded "{version}"'))
def check_loaded(world, version):
    async def loaded():
        for name in world.engines:
            if version in await read_versions(world, name):
                return True

    world.run(deployment.wait_for(loaded, f'{version} loaded'))


@then(
    'no engine accepted an order with a lower fencing number '
    'than an earlier one'
)
def check_fences(world):
    accepted = 0
    for name in world.engines:
        found = world.run(world.deployed.get_standin(name, 'runs'))
        fences = [order['fence'] for order in found['orders']]
        assert fences == sorted(fences), name
        accepted += len(fences)
    assert accepted > 0
