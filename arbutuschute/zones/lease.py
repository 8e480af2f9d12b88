"""The confirmation lease: whether an instance may use its configuration.

An instance that alone is cut off from the log might serve a version that
was withdrawn meanwhile, so it needs a recent confirmation that its
configuration is current. While the store is down for all instances, nothing
can be withdrawn and none has to stop.
"""

import msgspec


class LogStatus(msgspec.Struct, frozen=True):
    """What one instance knows of the log at one moment.

    ``confirmed_at`` is when the own position was last known to be the
    head; ``members`` are the neighbours, each with its last statement. A
    peer's statement may rest on those of its own peers: relaying never makes
    a confirmation younger, because each step counts from an echoed time.
    """

    region: str
    offset: int
    confirmed_at: float | None
    store_failing: bool
    members: tuple


def find_confirmation(status, now, lease_s, store_region):
    """Return the time as of which the configuration was current, or None."""
    times = [
        status.confirmed_at,
        *(_confirm_by(member, status) for member in status.members),
    ]
    if is_store_down(status, now, lease_s, store_region):
        times.append(now)
    return max((time for time in times if time is not None), default=None)


def is_confirmed(status, now, lease_s, store_region):
    """Return whether the lease is valid at ``now``."""
    time = find_confirmation(status, now, lease_s, store_region)
    return time is not None and now - time <= lease_s


def _confirm_by(member, status):
    """Return when a peer saw our offset at the head, or None.

    The time is on our clock. The peer's statement was made after
    ``stated_at``, our own send time that it echoed, so a delayed message
    can't pass for a fresh one.
    """
    if (
        member.stated_at is None
        or member.confirmed_age_s is None
        or member.offset > status.offset
    ):
        return None
    return member.stated_at - member.confirmed_age_s


def is_store_down(status, now, lease_s, store_region):
    """Return whether the store is down for its own region, not just for us.

    A majority of the routers in the store's region must report it, and
    there must be a fresh statement of another instance, unless there is no
    other instance.
    """
    fresh = [
        member
        for member in status.members
        if member.stated_at is not None and now - member.stated_at <= lease_s
    ]
    at_store = [m for m in status.members if m.region == store_region]
    reporting_down = [
        m for m in fresh if m.region == store_region and m.store_down
    ]
    router_count = len(at_store)
    down_count = len(reporting_down)
    if status.region == store_region:
        router_count += 1
        down_count += status.store_failing
    alone = not status.members
    others_heard = bool(fresh) or alone
    return others_heard and router_count > 0 and down_count * 2 > router_count
