"""Given steps: servers, profiles, routers and faults of stand-ins."""

import asyncio
import json

from pytest_bdd import given
from pytest_bdd import parsers

from tests import documents
from tests.scenarios import support


@given(
    parsers.parse(
        'an engine "{name}" that ignores fencing with versions "{versions}"'
    )
)
def start_unfenced_engine(world, name, versions):
    world.run(
        world.deployed.start_engine(
            name, support.split_list(versions), '--ignores-fencing'
        )
    )


@given(parsers.parse('an engine "{name}" with versions "{versions}"'))
def start_engine(world, name, versions):
    world.run(world.deployed.start_engine(name, support.split_list(versions)))
    if world.live_routers:
        world.run(asyncio.sleep(0.5))


@given(parsers.parse('a service "{name}"'))
def start_service(world, name):
    world.run(world.deployed.start_service(name))


@given(parsers.parse('a profile "{name}" for the service "{service}"'))
def publish_service_profile(world, name, service):
    profile = documents.make_booking(name, service)
    world.run(world.deployed.publish_basics(profile))


@given(parsers.parse('a profile "{name}" with versions "{versions}"'))
def publish_profile(world, name, versions):
    profile = documents.make_profile(name, support.split_list(versions))
    world.run(world.deployed.publish_basics(profile))


@given(
    parsers.parse(
        'a profile "{name}" that replaces "{old}" by "{new}" '
        'at steps "{steps}"'
    )
)
def publish_rollout(world, name, old, new, steps):
    model = old.split(':')[0]
    rule = {
        'model': model,
        'old': old.split(':')[1],
        'new': new.split(':')[1],
        'steps': [float(step) for step in support.split_list(steps)],
        'step_s': 3600.0,
    }
    profile = documents.make_profile(name, (old, new), replacements=[rule])
    world.run(world.deployed.publish_basics(profile))


@given(
    parsers.parse(
        'a profile "{name}" with a cascade from "{cheap}" to "{expensive}"'
    )
)
def publish_cascade(world, name, cheap, expensive):
    profile = documents.make_profile(
        name,
        (cheap, expensive),
        cascade={
            'cheap': cheap.split(':')[0],
            'dear': expensive.split(':')[0],
            'quality_target': 0.9,
        },
    )
    code, out, err = world.run(world.deployed.publish(profile, wait=True))
    assert code == 0, out + err


@given(parsers.parse('routers "{places}"'))
def start_routers(world, places):
    pairs = [place.split(' in ') for place in support.split_list(places)]
    world.run(world.deployed.start_routers(*pairs))


@given(parsers.parse('calls to "{name}" take {seconds:g} s'))
def delay_service(world, name, seconds):
    world.run(world.deployed.set_faults(name, delay_s=seconds))


@given(parsers.parse('the next reply of "{name}" is lost'))
def lose_service_reply(world, name):
    world.run(world.deployed.set_faults(name, lose_replies=1))


@given(
    parsers.parse(
        'the next {count:d} replies of the log for "{stream}" are lost'
    )
)
def lose_log_replies(world, count, stream):
    world.run(
        world.deployed.set_faults(
            'platform', lose_replies=count, streams=[stream]
        )
    )


@given(
    parsers.parse(
        'the next {count:d} appends to "{stream}" arrive {seconds:g} s late'
    )
)
def delay_appends(world, count, stream, seconds):
    world.run(
        world.deployed.set_faults(
            'platform',
            streams=[stream],
            delay_appends=count,
            delay_appends_s=seconds,
        )
    )


@given('the store is down')
def stop_store(world):
    world.run(world.deployed.set_faults('platform', outage=True))


@given(parsers.parse('the log does not answer "{name}"'))
def block_log(world, name):
    world.run(world.deployed.set_faults('platform', cut=[name]))


@given(parsers.parse('all links of "{name}" are cut'))
def cut_links(world, name):
    deployed = world.deployed
    world.run(deployed.start_link_around(name))
    others = set(world.live_routers)
    world.run(asyncio.sleep(1.0))
    world.run(deployed.wait_for_mesh(sorted(others)))
    world.run(deployed.set_faults('platform', cut=[name]))
    world.run(deployed.set_faults(f'link-{name}', outage=True))


@given(parsers.parse('"{name}" breaks the next stream after {count:d} tokens'))
def break_stream(world, name, count):
    world.run(world.deployed.set_faults(name, break_after=count, breaks=1))


@given(
    parsers.parse(
        '"{name}" sends the next {count:d} answers under another request\'s id'
    )
)
def mislabel_answers(world, name, count):
    world.run(world.deployed.set_faults(name, cross=count))


@given(parsers.parse('"{name}" fails the next {count:d} requests'))
def fail_requests(world, name, count):
    world.run(world.deployed.set_faults(name, error=count))


@given(parsers.parse('"{name}" refuses everything'))
def refuse_everything(world, name):
    world.run(world.deployed.set_faults(name, refuse=True))


def make_reports(versions):
    """Return the document of the profile ``reports`` with versions."""
    return documents.make_profile('reports', support.split_list(versions))


def read_revision(world, name='reports'):
    """Return the current revision of a profile, read by the command."""
    code, out, err = world.run(
        world.deployed.run_command('revision', name, '--json')
    )
    assert code == 0, err
    return json.loads(out)['revision']
