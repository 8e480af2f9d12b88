"""What a start of an instance imports; without a network.

Guards against a slow start: after a loss of power of all, no request is
served until the imports have ended, on machines with half a core.
"""

import subprocess
import sys
import tomllib

import pytest

from tests.outer import surface

ROOT = surface.SAMPLES.parents[1]
# Of other programs, of failures and of requests that come later.
UNUSED = ('arbutuschute.daemon', 'arbutuschute.exposition',
          'arbutuschute.load', 'arbutuschute.standin',
          'arbutuschute.cli.output', 'prometheus_client', 'rich', 'zmq',
          'nacl', 'pygments', 'numpy')  # fmt: skip
# As many as the libraries of the start need; each is found, read and run.
MOST_MODULES = 570


@pytest.fixture(scope='module', name='imported')
def list_imported():
    script = 'import sys, arbutuschute.cli.instance; print(*sys.modules)'
    ended = subprocess.run(
        (sys.executable, '-S', '-c', script), check=True, text=True,
        capture_output=True, env={'PYTHONPATH': ':'.join(sys.path)},
        cwd=ROOT,
    )  # fmt: skip
    return ended.stdout.split()


@pytest.mark.parametrize('module', UNUSED)
def test_start_imports_nothing_that_it_does_not_use(imported, module):
    assert module not in imported


def test_start_imports_few_modules(imported):
    assert len(imported) <= MOST_MODULES


def test_start_loads_no_certificates():
    raw = (ROOT / 'deploy' / 'system.toml').read_text()
    role = tomllib.loads(raw)['roles']['instance']
    assert role['env']['SSL_CERT_FILE'] == '/dev/null'


def test_start_looks_for_garbage_only_after_its_imports():
    script = (
        'import gc\n'
        'from arbutuschute.cli import instance, start\n'
        'instance.main = lambda: '
        'print(gc.isenabled(), gc.get_freeze_count())\n'
        'start.main()\n'
    )
    ended = subprocess.run(
        (sys.executable, '-c', script), check=True, text=True,
        capture_output=True, cwd=ROOT,
    )  # fmt: skip
    enabled, frozen = ended.stdout.split()
    assert enabled == 'True'
    assert int(frozen) > 1000
