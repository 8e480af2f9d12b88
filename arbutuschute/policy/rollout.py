"""Which version a request runs on, by the step of each roll-out."""

from arbutuschute.contracts import fold
from arbutuschute.zones import rendezvous


def choose_version(profile, model, configuration, key, halts=()):
    """Return the ``Version`` for new work on a model, or None.

    ``key`` (a session, or else a request) has a fixed position in each
    roll-out, so all instances choose alike at the same step.
    ``halts`` are (roll-out, revision) pairs that were halted and that the
    log may not hold yet.
    """
    entries = {
        entry.version: entry
        for entry in profile.versions
        if entry.model == model
    }
    rules = {r.old: r for r in profile.replacements if r.model == model}
    replaced = {rule.new for rule in rules.values()}
    usable = {
        version
        for version in entries
        if not configuration.is_withdrawn(model, version)
    }
    for start in [version for version in entries if version not in replaced]:
        found = _follow(
            profile, start, rules, usable, configuration, key, halts
        )
        if found is not None:
            return entries[found]
    return None


def _follow(profile, version, rules, usable, configuration, key, halts):
    """Follow a chain of replacements; return the key's version or None."""
    found = None
    while True:
        if version in usable:
            found = version
        rule = rules.get(version)
        if rule is None:
            return found
        share = get_share(profile, rule, configuration, halts)
        position = rendezvous.hash_to_unit_interval(
            f'{profile.name}/{rule.model}:{rule.new}/{key}'
        )
        if found is not None and position >= share:
            return found
        version = rule.new


def get_share(profile, rule, configuration, halts=()):
    """Return the share of new sessions that a replacement gets now."""
    name = fold.name_rollout(profile.name, rule.model, rule.new)
    progress = configuration.rollouts.get(name)
    if (
        progress is None
        or progress.halted
        or (name, progress.revision) in halts
        or configuration.is_withdrawn(rule.model, rule.new)
    ):
        return 0.0
    return rule.steps[progress.step]


def is_settled(profile, version, configuration):
    """Return whether a version is not, or no longer, being rolled out."""
    for rule in profile.replacements:
        if (rule.model, rule.new) == version.pair:
            return get_share(profile, rule, configuration) >= 1.0
    return True


def find_successor(profile, model, version, configuration, key):
    """Return the ``Version`` for a session on a withdrawn one, or None."""
    rules = {r.old: r for r in profile.replacements if r.model == model}
    seen = set()
    while version in rules and version not in seen:
        seen.add(version)
        version = rules[version].new
        if not configuration.is_withdrawn(model, version):
            return next(
                entry
                for entry in profile.versions
                if entry.pair == (model, version)
            )
    return choose_version(profile, model, configuration, key)
