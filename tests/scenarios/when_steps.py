"""When steps: actions of callers and operators, and failures."""

import asyncio
import json

from pytest_bdd import parsers
from pytest_bdd import when

from tests import deployment
from tests.scenarios import given_steps
from tests.scenarios import support

LEASE_S = deployment.FAST_CONTROL['lease_s']
BOOKING_PATH = '/services/visits/new'


def book(world, key, router, deadline_ms=None):
    headers = {'Idempotency-Key': key}
    if deadline_ms:
        headers['X-Deadline-Ms'] = str(deadline_ms)
    return world.deployed.post(
        router, BOOKING_PATH, {'flue': 3}, headers=headers
    )


@when(
    parsers.re('a caller books with key "(?P<key>[^"]+)" at "(?P<at>[^"]+)"$')
)
def book_one(world, key, at):
    world.run_callers(book(world, key, at))


@when(
    parsers.parse('a caller books with key "{key}" at "{at}" within {ms:d} ms')
)
def book_within(world, key, at, ms):
    world.run_callers(book(world, key, at, ms))


@when(
    parsers.parse(
        'a caller books with key "{key}" at "{at}" until it succeeds'
    )
)
def book_until_success(world, key, at):
    async def booked():
        answer = await book(world, key, at)
        return answer if answer.status == 200 else None

    world.answers = [world.run(deployment.wait_for(booked, 'a booking'))]


@when(
    parsers.parse(
        'a caller books with key "{key}" at "{first}" and "{second}" '
        'concurrently'
    )
)
def book_twice(world, key, first, second):
    world.run_callers(book(world, key, first), book(world, key, second))


@when(parsers.parse('a caller starts booking with key "{key}" at "{at}"'))
def start_booking(world, key, at):
    world.start_caller(book(world, key, at))
    world.run(asyncio.sleep(0.1))


@when(
    parsers.parse('the number of bookings made by "{name}" reaches {count:d}')
)
def wait_until_made(world, name, count):
    async def made():
        found = await world.deployed.get_standin(name, 'made')
        return len(found['made']) == count

    world.run(deployment.wait_for(made, f'{count} made'))


@when(parsers.parse('"{name}" is killed'))
def kill(world, name):
    world.deployed.processes[name].kill()


@when(parsers.parse('"{name}" is frozen'))
def freeze(world, name):
    world.deployed.processes[name].freeze()


@when(parsers.parse('"{name}" thaws'))
def thaw(world, name):
    world.deployed.processes[name].thaw()


@when(parsers.parse('"{name}" receives SIGTERM'))
def stop(world, name):
    world.deployed.processes[name].popen.terminate()

    async def leaving():
        status = await world.deployed.get_status(name)
        return status is None or status['state'] != 'live'

    world.run(deployment.wait_for(leaving, f'{name} leaving'))


@when('the store goes down')
def stop_store(world):
    world.run(world.deployed.set_faults('platform', outage=True))


@when('the store is available again')
def restore_store(world):
    world.run(world.deployed.set_faults('platform'))


@when(parsers.parse('{count:d} lease period has passed'))
def wait_lease_periods(world, count):
    world.run(asyncio.sleep(count * LEASE_S + 1.0))
    world.record_runs()


@when('all callers have received their answers')
def collect_answers(world):
    world.collect_answers()


@when(parsers.parse('callers send {count:d} requests to "{routers}"'))
def send_requests(world, count, routers):
    world.record_runs()
    names = support.split_list(routers)
    world.sent_requests += count
    world.run_callers(
        *(
            world.deployed.chat(names[i % len(names)], 'reports')
            for i in range(count)
        )
    )


@when(
    parsers.parse(
        'callers send {count:d} requests one after another to "{name}"'
    )
)
def send_in_turn(world, count, name):
    world.record_runs()
    world.sent_requests += count
    world.answers = [
        world.run(world.deployed.chat(name, 'reports')) for _ in range(count)
    ]


@when(parsers.parse('callers start sending {count:d} requests to "{name}"'))
def start_requests(world, count, name):
    world.record_runs()
    for _ in range(count):
        world.start_caller(world.deployed.chat(name, 'reports'))
    world.run(asyncio.sleep(0.2))


def start_stream(world, count, name, headers=None):
    started = asyncio.Event()
    world.sent_requests += 1
    world.start_caller(
        support.stream(world.deployed, name, count, started, headers)
    )
    world.run(asyncio.wait_for(started.wait(), deployment.WAIT_S))


@when(
    parsers.re(
        r'a caller starts a stream of (?P<count>\d+) tokens '
        r'from "(?P<name>[^"]+)"$'
    )
)
def start_plain_stream(world, count, name):
    start_stream(world, int(count), name)


@when(
    parsers.parse(
        'a caller starts a stream of {count:d} tokens from "{name}" '
        'with id "{given_id}"'
    )
)
def start_named_stream(world, count, name, given_id):
    start_stream(world, count, name, {'X-Request-Id': given_id})


@when(
    parsers.parse(
        'a caller retries the stream of {count:d} tokens from "{name}" '
        'with id "{given_id}"'
    )
)
def retry_named_stream(world, count, name, given_id):
    headers = {'X-Request-Id': given_id}
    world.run_callers(
        support.stream(world.deployed, name, count, asyncio.Event(), headers)
    )


@when(
    parsers.parse(
        'a caller requests a stream of {count:d} tokens from "{name}"'
    )
)
def request_stream(world, count, name):
    world.sent_requests += 1
    world.run_callers(
        support.stream(world.deployed, name, count, asyncio.Event())
    )


@when(
    parsers.parse('a caller starts a request of {count:d} tokens to "{name}"')
)
def start_request(world, count, name):
    world.sent_requests += 1
    world.start_caller(world.deployed.chat(name, 'reports', max_tokens=count))


@when(parsers.parse('"{name}" runs {count:d} requests'))
def wait_until_runs(world, name, count):
    async def runs():
        return len(await world.deployed.find_runs(name)) == count

    world.run(deployment.wait_for(runs, f'{count} runs'))


@when(parsers.re('an operator withdraws "(?P<version>[^"]+)"$'))
def withdraw(world, version):
    world.commands = [
        world.run(
            world.deployed.run_command(
                'withdraw', 'version', version, '--no-wait'
            )
        )
    ]
    assert world.commands[0][0] == 0, world.commands


@when(parsers.parse('an operator withdraws "{version}" and waits'))
def withdraw_and_wait(world, version):
    world.commands = [
        world.run(world.deployed.run_command('withdraw', 'version', version))
    ]
    world.record_runs()


@when(
    parsers.re(
        'an operator publishes "reports" with versions "(?P<versions>[^"]+)"$'
    )
)
def publish(world, versions):
    document = given_steps.make_reports(versions)
    code, out, err = world.run(world.deployed.publish(document))
    assert code == 0, out + err


@when(
    parsers.parse(
        'an operator publishes "reports" with versions "{versions}" and waits'
    )
)
def publish_and_wait(world, versions):
    document = given_steps.make_reports(versions)
    world.commands = [world.run(world.deployed.publish(document, wait=True))]


@when(
    'two operators publish "reports" based on the same revision concurrently'
)
def publish_concurrently(world):
    revision = given_steps.read_revision(world)

    async def publish_all():
        return await asyncio.gather(
            *(
                world.deployed.publish(
                    given_steps.make_reports(versions), based_on=revision
                )
                for versions in ('rapport:1, rapport:2', 'rapport:2')
            )
        )

    world.commands = world.run(publish_all())


@when(
    parsers.parse(
        'an operator sends a publication of "reports" with versions '
        '"{versions}" that is delayed'
    )
)
def publish_delayed(world, versions):
    """Append a publication that arrives late, its connection broken."""
    revision = given_steps.read_revision(world)
    change = {
        'kind': 'publish-profile',
        'id': 'held-up',
        'author': 'operator',
        'document': given_steps.make_reports(versions),
        'based_on': revision,
    }

    async def append():
        try:
            async with world.deployed.session.post(
                world.deployed.platform + '/log/configuration',
                data=json.dumps({'entries': [change]}),
            ):
                return
        except Exception:
            return

    world.run(append())


def wait_for_record(world, part):
    """Wait until the configuration stream contains ``part``, some bytes."""

    async def is_contained():
        async with world.deployed.session.get(
            world.deployed.platform + '/log/configuration?from=0'
        ) as response:
            return part in await response.read()

    world.run(deployment.wait_for(is_contained, f'{part} in the log'))
    world.run(asyncio.sleep(0.5))


@when('the delayed append has arrived')
def wait_for_delayed_append(world):
    wait_for_record(world, b'held-up')


@when('an instance has written a snapshot')
def wait_for_snapshot(world):
    wait_for_record(world, b'"snapshot"')


@when(parsers.parse('router "{name}" starts in "{zone}"'))
def start_router(world, name, zone):
    world.run(world.deployed.start_router(name, zone, wait=False))
    deployed = world.deployed
    world.run(
        deployment.wait_for(lambda: deployed.is_live(name), f'{name} live')
    )


@when('an operator writes a snapshot')
def write_snapshot(world):
    code, _, err = world.run(world.deployed.run_command('snapshot'))
    assert code == 0, err


@when(parsers.parse('the log keeps only {count:d} records'))
def truncate_log(world, count):
    world.run(
        world.deployed.post_control('platform', 'retained', {'records': count})
    )
