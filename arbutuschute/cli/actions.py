"""Helpers that the ``arbutuschute`` commands share."""

import asyncio

import click
from returns import result

from arbutuschute.cli import output
from arbutuschute import connections
from arbutuschute.contracts import changes
from arbutuschute.contracts import profiles
from arbutuschute import documents
from arbutuschute import operator_client

IN_FORCE_TIMEOUT_S = 14.0


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
    current = operator_client.get_revision(configuration, change)
    return make(
        id=change.id,
        author=change.author,
        document=document,
        based_on=current,
    )


def make_restoration(name, configuration):
    """Return the change that restores MODEL:VERSION, or else a zone."""
    who = {
        'id': operator_client.make_id(),
        'author': operator_client.OPERATOR,
    }
    if ':' not in name:
        current = configuration.get_evacuated().get(name, -1)
        return changes.RestoreZone(**who, zone=name, based_on=current)
    model, version = split_version(name)
    return changes.RestoreVersion(
        **who,
        model=model,
        version=version,
        based_on=configuration.withdrawn.get(name, -1),
    )


def make_status_row(name, status_document):
    """Return one instance's row of the status table."""
    document = status_document or {}
    return {
        'instance': name,
        'zone': document.get('zone'),
        'state': document.get('state', 'no response'),
        'revision': document.get('offset'),
        'confirmed': document.get('confirmed'),
        'in_flight': document.get('in_flight'),
        'unsettled_bills': document.get('unsettled_bills'),
        'silent_peers': document.get('silent', ()),
    }


def read_document(file, as_json):
    """Return (kind, document) of a valid file, or exit."""
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
    """Return the model and version in MODEL:VERSION, or exit."""
    model, colon, version = name.partition(':')
    if not (model and colon and version):
        raise click.BadParameter(f'expected MODEL:VERSION, got {name}')
    return model, version


def run(platform, callback, as_json):
    """Run ``callback`` with an operator's client; return its value or exit."""

    async def run():
        async with connections.make_session() as session:
            return await callback(
                operator_client.OperatorClient(session, platform)
            )

    return unwrap(asyncio.run(run()), as_json)


def unwrap(outcome, as_json):
    """Return the value of a ``Result``, or print its failure and exit."""
    if isinstance(outcome, result.Failure):
        output.exit_with(outcome.failure(), as_json)
    return outcome.unwrap()


def run_changes(platform, make_changes, wait, as_json):
    """Append changes, wait until they are in force if asked, print them."""

    async def callback(client):
        configuration = await client.read_configuration()
        state = configuration.value_or(None)
        if state is None:
            return configuration
        applied = []
        for change in make_changes(state):
            answer = await client.apply_change(change)
            outcome = answer.value_or(None)
            if outcome is None:
                return answer
            applied.append((change, outcome.offset))
        if not wait:
            return result.Success((applied, None))
        in_force = await client.wait_until_in_force(
            applied[-1][1], IN_FORCE_TIMEOUT_S
        )
        return in_force.map(lambda names: (applied, names))

    applied, names = run(platform, callback, as_json)
    print_changes(applied, names, as_json)


def print_changes(applied, names, as_json):
    """Print (change, revision) pairs and where they are in force."""
    if as_json:
        rows = [
            {'change': change.id, 'revision': revision}
            for change, revision in applied
        ]
        output.print_json({'changes': rows, 'in_force': names})
        return
    for change, revision in applied:
        what = type(change).__struct_config__.tag
        click.echo(f'{what}: accepted as revision {revision}')
    if names is not None:
        click.echo(f'in force on {len(names)} instances: {", ".join(names)}')
