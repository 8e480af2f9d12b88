"""The ``arbutuschute-router`` command."""

import asyncio

import click
from returns import result

from arbutuschute.cli import output
from arbutuschute import daemon
from arbutuschute import settings


@click.command(context_settings={'help_option_names': ['-h', '--help']})
@click.argument('file', metavar='SETTINGS', type=click.Path())
@click.option(
    '--check', is_flag=True, help='Check the settings and do not start.'
)
def main(file, check):
    """Run one router instance with the JSON settings in SETTINGS."""
    loaded = settings.load(file)
    if isinstance(loaded, result.Failure):
        output.exit_with(loaded.failure(), False)
    if check:
        click.echo(f'{file}: settings are valid')
        return
    asyncio.run(daemon.run(loaded.unwrap()))


if __name__ == '__main__':
    main()
