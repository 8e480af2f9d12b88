"""All groups of samples; each is plain data under outer names only."""

import json
import pathlib

from tests.outer import calls
from tests.outer import commands
from tests.outer import records
from tests.outer import shapes
from tests.outer import wire

SAMPLES = pathlib.Path(__file__).parents[1] / 'samples'


def encode_hex(cases):
    """Return the bytes of each case in hex, under its outer name."""
    return {name: encode(made).hex() for name, made, encode, _ in cases}


def encode_text(cases):
    """Return the bytes of each case as text, under its outer name."""
    return {name: encode(made).decode() for name, made, encode, _ in cases}


GROUPS = {
    'peers': lambda: encode_hex(wire.list_peer_cases()),
    'stored': lambda: encode_text(wire.list_stored_cases()),
    'read': lambda: encode_text(wire.list_read_cases()),
    'token': lambda: encode_text(wire.list_token_cases()),
    'shapes': shapes.list_shapes,
    'commands': commands.list_commands,
    'calls': calls.list_calls,
    'failures': records.list_failures,
    'node-settings': records.list_node_settings,
    'enums': records.list_enums,
    'places': records.list_places,
    'examples': records.list_examples,
    'metrics': records.list_metrics,
    'logs': records.list_log_fields,
    'texts': records.list_texts,
}


def render(group):
    """Return the text of a group as it stands in its sample file.

    Each outer name has a line of its own, so that a difference is short.
    """
    lines = [
        f'{json.dumps(name)}: {json.dumps(part, sort_keys=True)}'
        for name, part in sorted(GROUPS[group]().items())
    ]
    return '{\n' + ',\n'.join(lines) + '\n}\n'


def find_sample(group):
    """Return the path of a group's sample."""
    return SAMPLES / f'{group}.json'


def load_sample(group):
    """Return the data in a group's sample."""
    return json.loads(find_sample(group).read_text())
