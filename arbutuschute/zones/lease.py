"""Whether an instance may trust its configuration: the confirmation lease.

An instance cut off from the log alone might serve a version that was
withdrawn meanwhile, so it needs a recent proof that its configuration is
current. When the store is down for everybody nothing can be withdrawn,
and nobody has to stop.
"""

import msgspec


class LogStatus(msgspec.Struct, frozen=True):
    """What one instance knows of the log at one moment.

    ``confirmed_at`` is the last time the own position was the head;
    ``members`` are the neighbours, each with its last statement. What a
    peer states may rest on what its own peers stated: passing it on never
    makes it younger, because each step counts from an echoed time.
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
    """Tell whether the lease is running."""
    time = find_confirmation(status, now, lease_s, store_region)
    return time is not None and now - time <= lease_s


def _confirm_by(member, status):
    """Return when a peer saw that our offset was the head, on our clock.

    The peer's statement was made after ``stated_at``, our own send time
    that it echoed, so a message held up on its way cannot look fresh.
    """
    if (
        member.stated_at is None
        or member.confirmed_age_s is None
        or member.offset > status.offset
    ):
        return None
    return member.stated_at - member.confirmed_age_s


def is_store_down(status, now, lease_s, store_region):
    """Tell whether the store is down for its own region, not just for us.

    Most routers in the store's region have to say so, and one at least of
    the voices must be another instance's.
    """
    fresh = [
        member
        for member in status.members
        if member.stated_at is not None and now - member.stated_at <= lease_s
    ]
    at_store = [m for m in status.members if m.region == store_region]
    voices = [m for m in fresh if m.region == store_region and m.store_down]
    total = len(at_store)
    saying = len(voices)
    if status.region == store_region:
        total += 1
        saying += status.store_failing
    alone = not status.members
    others_heard = bool(fresh) or alone
    return others_heard and total > 0 and saying * 2 > total
