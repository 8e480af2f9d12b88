"""When steps: sessions, roll-outs, leaving servers, lease holders."""

from pytest_bdd import parsers
from pytest_bdd import when

from tests import deployment
from tests.scenarios import support
from tests.scenarios import when_steps


def send_session(world, session, router, headers):
    return world.deployed.chat(router, 'reports', headers=headers)


@when(parsers.parse('sessions "{names}" send a request to "{router}"'))
def send_sessions(world, names, router):
    sessions = support.split_list(names)
    world.run_callers(
        *(
            world.deployed.chat(
                router, 'reports', headers={'X-Session': session}
            )
            for session in sessions
        )
    )
    record_sessions(world, sessions)


@when(parsers.parse('sessions "{names}" send their token to "{router}"'))
def send_tokens(world, names, router):
    sessions = support.split_list(names)
    tokens = [world.sessions[name][-1].token for name in sessions]
    world.run_callers(
        *(
            world.deployed.chat(
                router, 'reports', headers={'X-Session-Token': token}
            )
            for token in tokens
        )
    )
    record_sessions(world, sessions)


def record_sessions(world, sessions):
    for session, answer in zip(sessions, world.answers, strict=True):
        assert answer.status == 200, answer.body
        answer.version = (
            f'{answer.headers["X-Model"]}:{answer.headers["X-Version"]}'
        )
        answer.token = answer.headers.get('X-Session-Token', '')
        world.sessions.setdefault(session, []).append(answer)


@when(parsers.parse('the roll-out of "{new}" moves to step {step:d}'))
def advance_rollout(world, new, step):
    code, out, err = world.run(
        world.deployed.run_command('rollout', 'advance', 'reports', new)
    )
    assert code == 0, out + err


@when(parsers.parse('"{name}" is leaving but the list does not show it'))
def leave_unlisted(world, name):
    world.run(world.deployed.post_control(name, 'leaving'))
    world.record_runs()


@when(parsers.parse('the list shows that "{name}" is leaving'))
def leave_listed(world, name):
    entry = {**world.deployed.listed[name], 'state': 'leaving'}
    world.run(world.deployed.list_instance(**entry))


@when(parsers.parse('"{router}" has seen that "{name}" is leaving'))
def wait_until_leaving_seen(world, router, name):
    async def seen():
        status = await world.deployed.get_status(router)
        return name in status['leaving_servers']

    world.run(deployment.wait_for(seen, f'{name} leaving'))
    world.run(world.deployed.post_control(name, 'leaving'))


def find_holder(world):
    async def holder():
        for name in world.live_routers:
            status = await world.deployed.get_status(name)
            if status and status['orders_fence'] is not None:
                return name

    return world.run(deployment.wait_for(holder, 'a holder'))


@when('an instance holds the orders lease')
def wait_for_holder(world):
    world.holder = find_holder(world)


@when('the holder is killed')
def kill_holder(world):
    world.deployed.processes[world.holder].kill()


@when('the holder is frozen')
def freeze_holder(world):
    world.deployed.processes[world.holder].freeze()


@when('the holder thaws')
def thaw_holder(world):
    world.deployed.processes[world.holder].thaw()


@when(
    parsers.parse(
        'callers start {streams:d} streams of {count:d} tokens from "{name}"'
    )
)
def start_streams(world, streams, count, name):
    for _ in range(streams):
        when_steps.start_stream(world, count, name)


@when(parsers.parse('"{name}" becomes {factor:d} times slower'))
def slow_engine(world, name, factor):
    world.run(world.deployed.set_faults(name, slow_factor=factor))
