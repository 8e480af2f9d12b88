"""How a process of this project starts, from any source tree."""

import os
import pathlib
import sys
import tomllib

# Runs a module, and tells in the log which source tree it is of.
RUN_MODULE = (
    'import runpy, sys, arbutuschute as a; sys.argv.pop(0);'
    'print("runs", a.__path__[0], file=sys.stderr, flush=True);'
    'runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)'
)


def find_module(source, script):
    """Return the module that a script of a source tree starts."""
    text = (pathlib.Path(source) / 'pyproject.toml').read_text()
    return tomllib.loads(text)['project']['scripts'][script].split(':')[0]


def make_start(command, source=None, **variables):
    """Return arguments and options that start a command.

    It begins with a module; in a ``source`` tree with the name of one of
    its scripts, whose module has the name that it has there.
    """
    environment = {**os.environ, **variables}
    if source is None:
        return [sys.executable, '-m', *command], {'env': environment}
    environment['PYTHONPATH'] = str(source)
    module = find_module(source, command[0])
    arguments = [sys.executable, '-c', RUN_MODULE, module, *command[1:]]
    return arguments, {'env': environment, 'cwd': source}
