"""Output of the commands: tables for people, JSON for programs."""

import sys

import click
import msgspec
import rich.box
import rich.console
import rich.table

from arbutuschute import errors
from arbutuschute import status

EXIT_BY_FAILURE = {
    errors.BrokenDocument: status.ExitStatus.BROKEN_INPUT,
    errors.BrokenQuery: status.ExitStatus.BROKEN_INPUT,
    errors.BrokenSettings: status.ExitStatus.BROKEN_INPUT,
    errors.UnreadableFile: status.ExitStatus.BROKEN_INPUT,
    errors.RevisionConflict: status.ExitStatus.REFUSED,
    errors.UnknownProfile: status.ExitStatus.REFUSED,
    errors.PublishUnknown: status.ExitStatus.OUTCOME_UNKNOWN,
    errors.NotInForce: status.ExitStatus.NOT_IN_FORCE,
    errors.StoreDown: status.ExitStatus.UNREACHABLE,
    errors.InstanceUnreachable: status.ExitStatus.UNREACHABLE,
    errors.ConfigurationLost: status.ExitStatus.UNREACHABLE,
}


def print_json(document):
    """Print a document as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(document), indent=2)
    click.echo(encoded.decode())


def print_table(title, rows):
    """Print dicts with the same keys as a table, one row each."""
    if not rows:
        click.echo(f'{title}: none')
        return
    table = rich.table.Table(
        title=title, title_justify='left', box=rich.box.SIMPLE_HEAD
    )
    for name, value in rows[0].items():
        numeric = isinstance(value, int | float)
        table.add_column(
            name.replace('_', ' '), justify='right' if numeric else 'left'
        )
    for row in rows:
        table.add_row(*(_format_value(value) for value in row.values()))
    rich.console.Console(width=_get_width()).print(table)


def _get_width():
    return None if sys.stdout.isatty() else 120


def _format_value(value):
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list | tuple):
        return ', '.join(map(str, value)) or '-'
    return str(value)


def exit_with(failure, as_json):
    """Print a failure and exit with its code."""
    if as_json:
        print_json(errors.describe_problem(failure))
    else:
        click.echo(f'error: {failure.title}', err=True)
        for line in _list_details(failure):
            click.echo(f'  {line}', err=True)
    code = EXIT_BY_FAILURE.get(type(failure), status.ExitStatus.ERROR)
    raise SystemExit(int(code))


def _list_details(failure):
    faults = getattr(failure, 'faults', None)
    return faults if faults else (failure.detail,)


def exit_refused(message):
    """Print why a command has no result and exit as refused."""
    click.echo(message, err=True)
    sys.exit(status.ExitStatus.REFUSED)
