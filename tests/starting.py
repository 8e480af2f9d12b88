"""Command lines that start a process from this or another source tree."""

import os
import pathlib
import sys
import tomllib

# Runs a module, and logs which source tree it was imported from.
RUN_MODULE = (
    'import runpy, sys, arbutuschute as a; sys.argv.pop(0);'
    'print("runs", a.__path__[0], file=sys.stderr, flush=True);'
    'runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)'
)


def find_module(source, script):
    """Return the module that a console script of a source tree runs."""
    text = (pathlib.Path(source) / 'pyproject.toml').read_text()
    return tomllib.loads(text)['project']['scripts'][script].split(':')[0]


def make_start(command, source=None, **variables):
    """Return (arguments, options) of ``Popen`` that start a command.

    Its first word is a module. With ``source`` it is a console script of
    that tree, since modules may have other names there.
    """
    environment = {**os.environ, **variables}
    if source is None:
        return [sys.executable, '-m', *command], {'env': environment}
    environment['PYTHONPATH'] = str(source)
    module = find_module(source, command[0])
    arguments = [sys.executable, '-c', RUN_MODULE, module, *command[1:]]
    return arguments, {'env': environment, 'cwd': source}
