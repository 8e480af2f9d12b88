"""Arguments and help of the ``arbutuschute`` command, in one place."""

import sys

import click

from arbutuschute.cli import actions
from arbutuschute.cli import output
from arbutuschute.cli import route_explanation
from arbutuschute.cli import traces
from arbutuschute.contracts import changes
from arbutuschute import operator_client

PLATFORM_VARIABLE = 'ARBUTUSCHUTE_PLATFORM'

platform_option = click.option(
    '--platform',
    envvar=PLATFORM_VARIABLE,
    required=True,
    metavar='URL',
    help=f"The platform's address; or set {PLATFORM_VARIABLE}.",
)
json_option = click.option(
    '--json', 'as_json', is_flag=True, help='Print JSON.'
)
wait_option = click.option(
    '--wait/--no-wait',
    default=True,
    help='Wait until the change is in force on every live instance.',
)
based_on_option = click.option(
    '--based-on',
    type=int,
    metavar='REVISION',
    help='The revision that the change is based on; default: the current '
    'one. The command fails if there is a newer one.',
)


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(package_name='arbutuschute')
def arbutuschute():
    """Publish and withdraw profiles; inspect routers, bills and logs."""


@arbutuschute.command()
@click.argument('files', nargs=-1, required=True, type=click.Path())
@json_option
def check(files, as_json):
    """Check profile or organisation FILES without publishing them."""
    for file in files:
        kind, document = actions.read_document(file, as_json)
        if not as_json:
            click.echo(f'{file}: {kind} {document.name} is valid')
    if as_json:
        output.print_json({'valid': list(files)})


@arbutuschute.command()
@click.argument('files', nargs=-1, required=True, type=click.Path())
@based_on_option
@wait_option
@platform_option
@json_option
def publish(files, based_on, wait, platform, as_json):
    """Publish profile or organisation FILES.

    A file with a key_hash is an organisation, any other is a profile.
    """
    read = [actions.read_document(file, as_json) for file in files]

    def make_changes(configuration):
        return [
            actions.make_publication(kind, document, based_on, configuration)
            for kind, document in read
        ]

    actions.run_changes(platform, make_changes, wait, as_json)


@arbutuschute.group()
def withdraw():
    """Withdraw a version or a profile."""


@withdraw.command(name='version')
@click.argument('name', metavar='MODEL:VERSION')
@click.option('--reason', default='', help='Recorded with the change.')
@wait_option
@platform_option
@json_option
def withdraw_version(name, reason, wait, platform, as_json):
    """Stop all new work on MODEL:VERSION, in every profile."""
    model, version = actions.split_version(name)
    change = changes.WithdrawVersion(
        id=operator_client.make_id(),
        author=operator_client.OPERATOR,
        model=model,
        version=version,
        reason=reason,
    )
    actions.run_changes(platform, lambda _: [change], wait, as_json)


@withdraw.command(name='profile')
@click.argument('name')
@based_on_option
@wait_option
@platform_option
@json_option
def withdraw_profile(name, based_on, wait, platform, as_json):
    """Withdraw the profile NAME."""

    def make_changes(configuration):
        entry = configuration.profiles.get(name)
        current = entry.revision if entry else -1
        return [
            changes.WithdrawProfile(
                id=operator_client.make_id(),
                author=operator_client.OPERATOR,
                name=name,
                based_on=current if based_on is None else based_on,
            )
        ]

    actions.run_changes(platform, make_changes, wait, as_json)


@arbutuschute.command()
@click.argument('zone')
@wait_option
@platform_option
@json_option
def evacuate(zone, wait, platform, as_json):
    """Send no new requests to the backend servers in ZONE."""
    change = changes.EvacuateZone(
        id=operator_client.make_id(),
        author=operator_client.OPERATOR,
        zone=zone,
    )
    actions.run_changes(platform, lambda _: [change], wait, as_json)


@arbutuschute.command()
@click.argument('name', metavar='ZONE|MODEL:VERSION')
@wait_option
@platform_option
@json_option
def restore(name, wait, platform, as_json):
    """Use an evacuated ZONE again, or allow a withdrawn MODEL:VERSION."""
    actions.run_changes(
        platform,
        lambda configuration: [actions.make_restoration(name, configuration)],
        wait,
        as_json,
    )


@arbutuschute.command()
@click.argument('change_id', metavar='ID')
@platform_option
@json_option
def outcome(change_id, platform, as_json):
    """Show the outcome of the change ID, whose reply was lost."""
    found = actions.run(
        platform, lambda client: client.find_outcome(change_id), as_json
    )
    if as_json:
        output.print_json(found)
    else:
        verdict = 'accepted' if found.accepted else f'refused: {found.code}'
        click.echo(f'{change_id}: {verdict}, revision {found.offset}')


@arbutuschute.command()
@click.argument('name')
@platform_option
@json_option
def revision(name, platform, as_json):
    """Show the current revision of the profile NAME, for --based-on."""

    async def callback(client):
        configuration = await client.read_configuration()
        return configuration.bind(
            lambda state: operator_client.find_profile(state, name)
        )

    published = actions.run(platform, callback, as_json)
    if as_json:
        output.print_json({'name': name, 'revision': published.revision})
    else:
        click.echo(f'{name}: revision {published.revision}')


@arbutuschute.group()
def rollout():
    """Advance or halt a roll-out by hand."""


@rollout.command()
@click.argument('profile')
@click.argument('name', metavar='MODEL:NEW')
@wait_option
@platform_option
@json_option
def advance(profile, name, wait, platform, as_json):
    """Move the roll-out of MODEL:NEW in PROFILE to its next step."""
    model, new = actions.split_version(name)

    def make_changes(configuration):
        return [
            operator_client.make_advance(configuration, profile, model, new)
        ]

    actions.run_changes(platform, make_changes, wait, as_json)


@rollout.command()
@click.argument('profile')
@click.argument('name', metavar='MODEL:NEW')
@click.option('--reason', default='by an operator', show_default=True)
@wait_option
@platform_option
@json_option
def halt(profile, name, reason, wait, platform, as_json):
    """Halt a roll-out: new sessions get the version before MODEL:NEW."""
    model, new = actions.split_version(name)

    def make_changes(configuration):
        return [
            operator_client.make_halt(
                configuration, profile, model, new, reason
            )
        ]

    actions.run_changes(platform, make_changes, wait, as_json)


@arbutuschute.command()
@platform_option
@json_option
def status(platform, as_json):
    """Show the state and revision of every router instance."""
    statuses = actions.run(
        platform, lambda client: client.query_routers('status'), as_json
    )
    if as_json:
        output.print_json(statuses)
        return
    rows = [actions.make_status_row(name, s) for name, s in statuses.items()]
    output.print_table('Instances', rows)


@arbutuschute.command()
@click.argument('profile')
@click.option(
    '--organisation', default='', help='Organisation of the request.'
)
@click.option('--session', default='', help='Session of the request.')
@platform_option
@json_option
def explain(profile, organisation, session, platform, as_json):
    """Show where each instance would send a request under PROFILE."""
    answers = actions.run(
        platform,
        lambda client: client.query_routers(
            'explain',
            profile=profile,
            organisation=organisation,
            session=session,
        ),
        as_json,
    )
    if as_json:
        output.print_json(answers)
        return
    rows = [
        {
            'instance': name,
            'model': model['model'],
            'version': model['version'],
            'withdrawn': model['withdrawn'],
            'servers': sorted(model['servers']),
        }
        for name, answer in answers.items()
        for model in (answer or {}).get('models', ())
    ]
    output.print_table(f'Profile {profile}', rows)


@arbutuschute.command()
@click.option('--each', is_flag=True, help='List every bill.')
@platform_option
@json_option
def bills(each, platform, as_json):
    """Sum up the bills; each request counts once."""
    counted = actions.run(
        platform, lambda client: client.read_bills(), as_json
    )
    if each:
        rows = [
            {
                'id': bill.id,
                'state': bill.state.name.lower(),
                'outcome': bill.outcome,
                'model': bill.model,
                'version': bill.version,
                'output_tokens': bill.output_tokens,
                'cost': bill.cost,
            }
            for bill in counted.values()
        ]
    else:
        rows = operator_client.sum_bills(counted)
    if as_json:
        output.print_json(rows)
    else:
        output.print_table('Bills', rows)


@arbutuschute.command()
@platform_option
@json_option
def histograms(platform, as_json):
    """Show latency by organisation and class, for each instance."""
    answers = actions.run(
        platform, lambda client: client.query_routers('histograms'), as_json
    )
    if as_json:
        output.print_json(answers)
        return
    rows = [
        {'instance': name, 'measure': measure, **summary}
        for name, answer in answers.items()
        for measure, summary in (answer or {}).items()
    ]
    output.print_table('Latency, milliseconds', rows)


@arbutuschute.command()
@platform_option
@json_option
def snapshot(platform, as_json):
    """Append a snapshot of the configuration to the log now."""
    digest = actions.run(
        platform, lambda client: client.write_snapshot(), as_json
    )
    if as_json:
        output.print_json({'snapshot': digest})
    else:
        click.echo(f'{digest} appended')


arbutuschute.add_command(route_explanation.explain_route)

log_files = click.argument(
    'files', nargs=-1, type=click.File(errors='replace')
)


@arbutuschute.command()
@click.argument('request')
@log_files
def story(request, files):
    """Show how REQUEST was handled, from the log lines in FILES.

    Without FILES, lines come from standard input. Lines of several
    instances may be mixed.
    """
    lines = list(traces.read_request_lines(_read_texts(files), request))
    if not lines:
        output.exit_refused(f'no line about {request}')
    click.echo(traces.format_trace(lines))


@arbutuschute.command()
@click.argument('instance')
@log_files
def timeline(instance, files):
    """Show the events of INSTANCE, from the log lines in FILES.

    Without FILES, lines come from standard input. Requests are counted by
    outcome between two events.
    """
    lines = list(traces.read_instance_lines(_read_texts(files), instance))
    if not lines:
        output.exit_refused(f'no line of {instance}')
    click.echo(traces.format_timeline(lines))


def _read_texts(files):
    for source in files or (sys.stdin,):
        yield from source
