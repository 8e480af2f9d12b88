"""The benchmarks and the checks of two builds use only names that exist.

They don't run with the tests, so a rename elsewhere could break them
unnoticed.
"""

import ast
import importlib
import pathlib

import pytest

import benchmarks

FOLDER = pathlib.Path(benchmarks.__file__).parent
MODULES = [
    *(f'benchmarks.{path.stem}' for path in sorted(FOLDER.glob('[a-z]*.py'))),
    'tests.sides',
    'tests.versions',
    'tests.versions_platform',
]


@pytest.mark.parametrize('name', MODULES)
def test_a_benchmark_names_only_what_its_modules_have(name):
    module = importlib.import_module(name)
    tree = ast.parse(pathlib.Path(module.__file__).read_text())
    for node in ast.walk(tree):
        if not isinstance(node, ast.Attribute):
            continue
        if not isinstance(node.value, ast.Name):
            continue
        owner = getattr(module, node.value.id, None)
        if getattr(owner, '__file__', None) is not None:
            assert hasattr(owner, node.attr), f'{node.value.id}.{node.attr}'
