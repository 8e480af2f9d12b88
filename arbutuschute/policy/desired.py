"""Which versions engines should load, derived from the configuration."""

import msgspec

from arbutuschute.zones import rendezvous


class Order(msgspec.Struct, frozen=True):
    """An order to one engine; ``version`` is ``model:version``."""

    server: str
    action: str
    version: str


def compute_orders(configuration, loaded):
    """Return the orders that bring engines to the desired state.

    ``loaded`` maps engine names to the versions seen on them. Withdrawn
    versions are unloaded everywhere. An allowed version that no engine has
    is loaded on one that has its model, by a rank that all instances share.
    """
    orders = []
    for server, versions in sorted(loaded.items()):
        orders += [
            Order(server, 'unload', version)
            for version in sorted(versions)
            if version in configuration.withdrawn
        ]
    present = {v for versions in loaded.values() for v in versions}
    for version in sorted(_collect_allowed(configuration) - present):
        candidates = _rank_servers(version, loaded)
        if candidates:
            orders.append(Order(candidates[0], 'load', version))
    return orders


def _collect_allowed(configuration):
    allowed = set()
    for published in configuration.profiles.values():
        if published.document is not None:
            allowed.update(
                f'{entry.model}:{entry.version}'
                for entry in published.document.versions
            )
    return allowed - configuration.withdrawn.keys()


def _rank_servers(version, loaded):
    model = version.partition(':')[0]
    names = [
        name
        for name, versions in loaded.items()
        if any(other.partition(':')[0] == model for other in versions)
    ]
    return rendezvous.rank(version, names)
