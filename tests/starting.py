"""How a process of this project starts, from any source tree."""

import os
import sys

# Runs a module, and tells in the log which source tree it is of.
RUN_MODULE = (
    'import runpy, sys, arbutuschute as a; sys.argv.pop(0);'
    'print("runs", a.__path__[0], file=sys.stderr, flush=True);'
    'runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)'
)


def make_start(command, source=None, **variables):
    """Return arguments and options that start a module, of ``source``."""
    environment = {**os.environ, **variables}
    if source is None:
        return [sys.executable, '-m', *command], {'env': environment}
    environment['PYTHONPATH'] = str(source)
    arguments = [sys.executable, '-c', RUN_MODULE, *command]
    return arguments, {'env': environment, 'cwd': source}
