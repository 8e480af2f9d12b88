"""What the ``arbutuschute`` commands have in common."""

import asyncio

import aiohttp
import click
from returns import result

from arbutuschute.cli import output
from arbutuschute.contracts import changes
from arbutuschute.contracts import profiles
from arbutuschute import documents
from arbutuschute import operator_client

IN_FORCE_WITHIN_S = 14.0


def make_publication(kind, document, based_on, configuration):
    """Return the change that publishes a document."""
    is_profile = kind == 'profile'
    make = (
        changes.PublishProfile if is_profile else changes.PublishOrganisation
    )
    change = make(
        id=operator_client.make_id(),
        author=operator_client.OPERATOR,
        document=document,
        based_on=based_on if based_on is not None else -1,
    )
    if based_on is not None:
        return change
    current = operator_client.find_revision(configuration, change)
    return make(
        id=change.id,
        author=change.author,
        document=document,
        based_on=current,
    )


def make_status_row(name, status_document):
    """Return what a person sees of one instance."""
    known = status_document or {}
    return {
        'instance': name,
        'zone': known.get('zone'),
        'state': known.get('state', 'no answer'),
        'revision': known.get('offset'),
        'confirmed': known.get('confirmed'),
        'in_flight': known.get('in_flight'),
        'unsettled_bills': known.get('unsettled_bills'),
        'silent_peers': known.get('silent', ()),
    }


def read_document(file, as_json):
    """Return (kind, document) of a checked file, or end the command."""
    raw = documents.read_json(file)
    content = raw.value_or(None)
    is_organisation = isinstance(content, dict) and 'key_hash' in content
    kind = 'organisation' if is_organisation else 'profile'
    checker = (
        profiles.check_organisation
        if is_organisation
        else profiles.check_profile
    )
    checked = raw.bind(lambda found: checker(found, file))
    return kind, unwrap(checked, as_json)


def split_version(name):
    """Return the model and version in MODEL:VERSION, or end the command."""
    model, colon, version = name.partition(':')
    if not (model and colon and version):
        raise click.BadParameter(f'expected MODEL:VERSION, got {name}')
    return model, version


def run(platform, act, as_json):
    """Run ``act`` with an operator's client; return its value or exit."""

    async def run():
        async with aiohttp.ClientSession() as session:
            return await act(operator_client.OperatorClient(session, platform))

    return unwrap(asyncio.run(run()), as_json)


def unwrap(outcome_or_failure, as_json):
    """Return the value of a ``Result``, or end the command."""
    if isinstance(outcome_or_failure, result.Failure):
        output.exit_with(outcome_or_failure.failure(), as_json)
    return outcome_or_failure.unwrap()


def run_changes(platform, make_changes, wait, as_json):
    """Append changes, wait until they are in force, and print them."""

    async def act(at):
        configuration = await at.read_configuration()
        state = configuration.value_or(None)
        if state is None:
            return configuration
        lines = []
        for change in make_changes(state):
            answer = await at.apply_change(change)
            settled = answer.value_or(None)
            if settled is None:
                return answer
            lines.append((change, settled.offset))
        if not wait:
            return result.Success((lines, None))
        in_force = await at.wait_in_force(lines[-1][1], IN_FORCE_WITHIN_S)
        return in_force.map(lambda names: (lines, names))

    lines, names = run(platform, act, as_json)
    print_changes(lines, names, as_json)


def print_changes(lines, names, as_json):
    """Print (change, revision) pairs and the instances that have them."""
    if as_json:
        rows = [
            {'change': change.id, 'revision': revision}
            for change, revision in lines
        ]
        output.print_json({'changes': rows, 'in_force': names})
        return
    for change, revision in lines:
        what = type(change).__struct_config__.tag
        click.echo(f'{what}: accepted as revision {revision}')
    if names is not None:
        click.echo(f'in force on {len(names)} instances: {", ".join(names)}')
