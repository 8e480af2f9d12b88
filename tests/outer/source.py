"""Outer names that occur in the code as text, collected by program.

What is returned holds strings and keywords that the outside sees, never
the name of a module, class, function or variable.
"""

import ast
import collections
import functools
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2] / 'arbutuschute'
LEVELS = ('debug', 'info', 'warning', 'error', 'critical', 'exception')
METRIC_CALLS = ('count', 'observe', 'gauge')
# Calls whose keywords are sent or written as they are.
QUERY_CALLS = ('query_router', 'query_routers')
LOGGER_CALLS = ('make_logger', 'make_line_logger')
ROUTE_CALLS = ('get', 'post', 'put', 'delete', 'route')
READ_CALLS = ('get', 'pop', 'setdefault')

PATTERNS = {
    'headers': re.compile(r'[A-Z][A-Za-z]*(-[A-Z][A-Za-z]*)+'),
    'media types': re.compile(r'(application|text)/[a-z+-]+'),
    'paths': re.compile(r'/[a-z][a-z0-9/._{}:*-]*'),
    'topics': re.compile(r'keyed\.[a-z]+'),
    'variables': re.compile(r'ARBUTUSCHUTE_[A-Z_]+'),
    'keys in the store': re.compile(r'[a-z]+/'),
}
# Outer words with values filled in: keys, ids, URLs.
TEMPLATE = re.compile(r'[A-Za-z0-9@:/._{}-]*[@:/.-][A-Za-z0-9@:/._{}-]*')
HEADER = re.compile(r'[A-Z][A-Za-z]*(-[A-Z][A-Za-z]*)*')
KEY = re.compile(r'[A-Za-z][A-Za-z0-9_.-]*')
HOLE = re.compile(r'\{[^{}]*\}')


@functools.cache
def list_nodes():
    """Return all nodes of the package but docstrings.

    Experiments are left out: what they print is a struct, see shapes.
    """
    found = []
    for path in sorted(set(ROOT.rglob('*.py')) - set(ROOT.glob('load/*'))):
        tree = ast.parse(path.read_text())
        found.extend(_walk(tree))
    return tuple(found)


def _walk(node):
    yield node
    for child in ast.iter_child_nodes(node):
        if child is getattr(node, 'format_spec', None):
            continue
        if isinstance(child, ast.Expr) and _read_text(child.value):
            continue
        if isinstance(node, ast.JoinedStr) and _read_text(child):
            continue
        yield from _walk(child)


def _read_text(node):
    is_text = isinstance(node, ast.Constant) and isinstance(node.value, str)
    return node.value if is_text else None


def _read_template(node):
    """Return a text or f-string; inserted values become ``{}``."""
    if not isinstance(node, ast.JoinedStr):
        return _read_text(node)
    return ''.join(_read_text(part) or '{}' for part in node.values)


def list_calls():
    """Yield (called name, call) of each call in the package."""
    for node in list_nodes():
        if isinstance(node, ast.Call):
            called = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            yield called, node


def list_texts():
    """Return how often each text of a pattern occurs in the code.

    The count changes if one side spells a header differently.
    """
    texts = [text for text in map(_read_text, list_nodes()) if text]
    return {
        name: collections.Counter(
            HOLE.sub('{}', text) for text in texts if pattern.fullmatch(text)
        )
        for name, pattern in PATTERNS.items()
    }


def list_templates():
    """Return the f-strings that make keys, ids and URLs."""
    made = (
        _read_template(node)
        for node in list_nodes()
        if isinstance(node, ast.JoinedStr)
    )
    return collections.Counter(
        text for text in made if TEMPLATE.fullmatch(text) and len(text) > 2
    )


def list_objects():
    """Return the keys of each dict literal in the code."""
    made = (
        sorted(
            key
            for key in map(_read_text, node.keys)
            if key and KEY.fullmatch(key)
        )
        for node in list_nodes()
        if isinstance(node, ast.Dict)
    )
    return sorted(keys for keys in made if keys)


def list_keys():
    """Return how often each text is a key by which something is read."""
    found = [
        _read_text(node.slice)
        for node in list_nodes()
        if isinstance(node, ast.Subscript)
    ]
    found += [
        _read_text(call.args[0])
        for called, call in list_calls()
        if called in READ_CALLS and call.args
    ]
    return collections.Counter(
        key for key in found if key and KEY.fullmatch(key)
    )


def list_queries():
    """Return the query keys that an operator's command sends, by path."""
    found = {}
    for called, call in list_calls():
        if called in QUERY_CALLS and _read_text(call.args[0]):
            names = found.setdefault(f'/{_read_text(call.args[0])}', set())
            names.update(k.arg for k in call.keywords if k.arg)
    return {path: sorted(names) for path, names in found.items()}


def list_metrics():
    """Return the names that are counted and measured."""
    found = set()
    for called, call in list_calls():
        if called in METRIC_CALLS and call.args:
            found.add(_read_template(call.args[0]))
        prefix = [k.value for k in call.keywords if k.arg == 'prefix']
        found.update(f'prefix {_read_text(value)}' for value in prefix)
    for node in list_nodes():
        if _is_total(node):
            found.add(_read_text(node.slice))
    return sorted(name for name in found if name)


def _is_total(node):
    return (
        isinstance(node, ast.Subscript)
        and getattr(node.value, 'attr', '') == 'totals'
    )


def list_log_calls():
    """Return (event, field names) of each call that writes a log line."""
    aliases = _find_log_aliases()
    found = []
    for called, call in list_calls():
        event = _read_template(call.args[0]) if call.args else None
        is_log = called in LEVELS or called in aliases
        if event and is_log:
            found.append((event, sorted(k.arg for k in call.keywords)))
    return sorted(found)


def _find_log_aliases():
    """Return the variables that hold a logger's method."""
    return {
        node.targets[0].id
        for node in list_nodes()
        if isinstance(node, ast.Assign)
        and isinstance(node.targets[0], ast.Name)
        and isinstance(node.value, (ast.Attribute, ast.IfExp))
        and any(
            isinstance(part, ast.Attribute)
            and part.attr in LEVELS
            and getattr(part.value, 'attr', '') in ('log', '_log')
            for part in ast.walk(node.value)
        )
    }


def list_bound_fields():
    """Return the fields that each line of a logger has."""
    found = set()
    for called, call in list_calls():
        if called in LOGGER_CALLS:
            found.update(k.arg for k in call.keywords)
    return sorted(found)
