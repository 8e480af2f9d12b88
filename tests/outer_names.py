"""Print all outer names, one a line: ``python -m tests.outer_names``."""

import json

from tests.outer import commands
from tests.outer import records
from tests.outer import shapes
from tests.outer import source


def list_names():
    """Return the sorted outer names, each once."""
    found = set(commands.list_scripts())
    found.update(commands.list_names())
    found.update(shapes.list_names(list(shapes.list_shapes().values())))
    found.update(records.list_failures())
    found.update(records.NODE)
    found.update(source.list_metrics())
    found.update(_list_values())
    found.update(_list_log_names())
    for kind, names in records.list_texts().items():
        if kind != 'keys that are written':
            found.update(names)
    for names in source.list_objects():
        found.update(names)
    return sorted(found)


def _list_values():
    found = records.list_enums()
    yield from found['states of a bill']
    yield from found['signals']
    for values in found['values']:
        yield from map(str, json.loads(values))
    places = records.list_places()
    for kind in ('streams', 'platform headers', 'hop-by-hop headers'):
        yield from places[kind]


def _list_log_names():
    for name in records.list_log_fields():
        if name.startswith('event '):
            yield name.removeprefix('event ')
    for _, fields in source.list_log_calls():
        yield from fields
    yield from source.list_bound_fields()


if __name__ == '__main__':
    print('\n'.join(list_names()))
