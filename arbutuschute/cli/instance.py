"""The ``arbutuschute-instance`` command."""

import asyncio
import os

import click
from returns import result

from arbutuschute import instance
from arbutuschute.platform import settings


def _get_settings_path():
    return os.environ.get(settings.PATH_VARIABLE, settings.DEFAULT_PATH)


@click.command(context_settings={'help_option_names': ['-h', '--help']})
@click.argument(
    'file', metavar='[SETTINGS]', type=click.Path(), default=_get_settings_path
)
@click.option(
    '--check', is_flag=True, help='Check the settings and do not start.'
)
def main(file, check):
    """Run one instance on the platform, with the settings in SETTINGS.

    Without SETTINGS, the file is the one that the platform names.
    """
    loaded = settings.load(file)
    if isinstance(loaded, result.Failure):
        _exit_with(loaded.failure())
    if check:
        click.echo(f'{file}: settings are valid')
        return
    asyncio.run(instance.run(loaded.unwrap(), file))


def _exit_with(failure):
    """Print what is wrong with the settings and exit."""
    # Importing the tables takes a tenth of a start; only failures need them.
    from arbutuschute.cli import output

    output.exit_with(failure, False)


if __name__ == '__main__':
    main()
