"""The outer surface, byte for byte: what a rename must not change.

A sample is changed only together with what the outside sees, never to
follow a rename; ``python -m tests.outer.write GROUP`` rewrites one.
"""

import pytest

from tests.outer import surface
from tests.outer import wire
from tests import outer_names


@pytest.mark.parametrize('group', sorted(surface.GROUPS))
def test_outer_surface_is_that_of_the_sample(group):
    sample = surface.find_sample(group).read_text()
    assert surface.render(group) == sample


@pytest.mark.parametrize(
    ('group', 'list_cases', 'read'),
    [
        ('peers', wire.list_peer_cases, bytes.fromhex),
        ('stored', wire.list_stored_cases, str.encode),
        ('read', wire.list_read_cases, str.encode),
        ('token', wire.list_token_cases, str.encode),
    ],
)
def test_sample_decodes_to_what_was_encoded(group, list_cases, read):
    sample = surface.load_sample(group)
    for name, made, _, decode in list_cases():
        assert decode(read(sample[name])) == made, name


def test_no_outer_name_has_gone():
    known = (surface.SAMPLES / 'outer-names.txt').read_text().splitlines()
    assert sorted(set(known) - set(outer_names.list_names())) == []
