"""Commands as typed: names, arguments, flags, environment variables."""

import pathlib
import tomllib

import click

from arbutuschute.cli import definition
from arbutuschute.cli import instance
from arbutuschute.cli import load
from arbutuschute.cli import router
from arbutuschute.cli import standin

ROOT = pathlib.Path(__file__).parents[2]
ENTRIES = {
    'arbutuschute': definition.arbutuschute,
    'arbutuschute-instance': instance.main,
    'arbutuschute-router': router.main,
    'arbutuschute-standin': standin.main,
    'arbutuschute-load': load.main,
}


def list_scripts():
    """Return the names of the console scripts."""
    document = tomllib.loads((ROOT / 'pyproject.toml').read_text())
    return sorted(document['project']['scripts'])


def list_commands():
    """Return each command line with its parameters."""
    found = {}
    for name in list_scripts():
        _walk(ENTRIES[name], name, found)
    return found


def _walk(command, path, found, parent=None):
    # Created as in a run: click caches the help option of the first context.
    context = click.Context(
        command, parent, info_name=path, **command.context_settings
    )
    found[path] = [
        _describe(param, context) for param in command.get_params(context)
    ]
    if isinstance(command, click.Group):
        for name, child in command.commands.items():
            _walk(child, f'{path} {name}', found, context)


def _describe(param, context):
    """Return a parameter without the name of its Python variable."""
    default = param.default
    if callable(default):
        default = 'computed'
    elif not isinstance(default, (str, int, float, bool, type(None))):
        default = 'none'
    shown = {
        'type': param.type.to_info_dict(),
        'nargs': param.nargs,
        'required': param.required,
        'default': default,
    }
    if isinstance(param, click.Option):
        return {
            **shown,
            'flags': [*param.opts, *param.secondary_opts],
            'is_flag': param.is_flag,
            'envvar': param.envvar,
        }
    return {**shown, 'argument': param.make_metavar(context)}


def list_names():
    """Yield the names that are typed."""
    for path, params in list_commands().items():
        yield from path.split()
        for param in params:
            yield from param.get('flags', ())
            if 'argument' in param:
                yield param['argument']
            if param.get('envvar'):
                yield param['envvar']
