"""Who may send requests, by key, without a network."""

import types

import pytest

from arbutuschute.contracts import fold
from arbutuschute.contracts import routes
from arbutuschute import errors
from arbutuschute.links import caller
from tests import test_traffic as traffic


# A configuration that lists organisations needs keys, also once the last key
# has been taken away: everybody was served, with any key and with none.
@pytest.mark.parametrize('keys', [(), ('',)])
@pytest.mark.parametrize('names', [(), ('o',), ('o', 'p')])
def test_organisations_without_keys_let_nobody_in(names, keys):
    listed = [routes.Organisation(name, keys) for name in names]
    table = traffic.make_table(
        traffic.make_route('r', '/a/'),
        traffic.make_route('open', '/open/', public=True),
        organisations=listed,
    )
    route = table.find_route('h', '/a/')
    for key in (None, '', 'k1'):
        with pytest.raises(errors.UnknownKey):
            table.find_organisation(route, key)
    public = table.find_route('h', '/open/')
    assert table.find_organisation(public, None) is None


def test_configuration_without_organisations_needs_no_key():
    table = traffic.make_table(
        traffic.make_route('r', '/a/'), organisations=None
    )
    route = table.find_route('h', '/a/')
    for key in (None, '', 'k1'):
        assert table.find_organisation(route, key) is None


# The own interface has no requests without an organisation.
@pytest.mark.parametrize('key', [None, '', 'Bearer', 'Bearer ', 'Bearer k1'])
def test_own_interface_without_organisations_lets_nobody_in(key):
    environment = types.SimpleNamespace(configuration=fold.Configuration())
    headers = {} if key is None else {'Authorization': key}
    with pytest.raises(errors.UnknownKey):
        caller.identify(environment, types.SimpleNamespace(headers=headers))
