"""Membership and the confirmation lease on a virtual clock."""

import pytest

from arbutuschute.machines import instances
from arbutuschute import messages
from arbutuschute import timer
from arbutuschute.zones import lease
from arbutuschute.zones import membership

LEASE_S = 10.0
STORE = 'qc-sud'


def make_heartbeat(sender, sent_at, incarnation=1, **more):
    return messages.Heartbeat(
        sender=sender, incarnation=incarnation, zone='z', region=STORE,
        state='live', sent_at=sent_at, **more,
    )  # fmt: skip


def make_member(name, region=STORE, **more):
    return membership.Member(name, 'z', region, 1, **more)


def make_status(region=STORE, offset=5, confirmed_at=None, failing=True,
                members=()):  # fmt: skip
    return lease.LogStatus(region, offset, confirmed_at, failing, members)


def confirmed(status, now=100.0):
    return lease.is_confirmed(status, now, LEASE_S, STORE)


def test_own_read_confirms_for_one_lease():
    assert confirmed(make_status(confirmed_at=91.0))
    assert not confirmed(make_status(confirmed_at=89.0, failing=False))


def test_peer_statement_counts_from_the_echoed_time():
    fresh = make_member('p', stated_at=95.0, confirmed_age_s=1.0, offset=5)
    delayed = make_member('p', stated_at=80.0, confirmed_age_s=0.0, offset=5)
    ahead = make_member('p', stated_at=99.0, confirmed_age_s=0.0, offset=6)
    assert confirmed(make_status(members=(fresh,)))
    assert not confirmed(make_status(members=(delayed,)))
    assert not confirmed(make_status(members=(ahead,)))


@pytest.mark.parametrize(
    ('region', 'failing', 'reports', 'expected'),
    [
        (STORE, True, (True, False), True),
        (STORE, False, (True, False), False),
        (STORE, True, (False, False), False),
        (STORE, True, (True, True), True),
        ('qc-est', True, (True, True), True),
        ('qc-est', True, (True, False), False),
    ],
)
def test_store_is_down_when_most_of_its_region_report_it(
    region, failing, reports, expected
):
    members = tuple(
        make_member(f'p{i}', stated_at=99.0, store_down=down)
        for i, down in enumerate(reports)
    )
    status = make_status(region, failing=failing, members=members)
    assert confirmed(status) is expected


def test_own_report_alone_does_not_confirm_an_isolated_instance():
    silent = make_member('p', region='qc-est', stated_at=10.0)
    assert not confirmed(make_status(members=(silent,)))
    assert confirmed(make_status(members=()))


def make_membership():
    return membership.Membership('me', 'z', STORE, suspect_s=4.0)


def test_silent_member_becomes_suspect_then_dead():
    clock = timer.VirtualTimer()
    members = make_membership()
    members.handle_heartbeat(make_heartbeat('p', 0.0), clock.now())
    seen = []
    clock.every(1.0).subscribe(
        lambda now: seen.append(
            members.get_liveness(members.members['p'], now)
        )
    )
    clock.advance(15.0)
    live, suspect, dead = membership.Liveness
    assert seen == [live] * 4 + [suspect] * 8 + [dead] * 3
    assert members.pop_dead(clock.now()) == [('p', 1)]
    assert members.pop_dead(clock.now()) == []


def test_restart_marks_the_old_incarnation_dead_at_once():
    members = make_membership()
    members.handle_heartbeat(make_heartbeat('p', 5.0, incarnation=1), 0.0)
    members.handle_heartbeat(make_heartbeat('p', 1.0, incarnation=2), 1.0)
    members.handle_heartbeat(make_heartbeat('p', 6.0, incarnation=1), 2.0)
    assert members.members['p'].incarnation == 2
    assert members.members['p'].last_heard_at == 1.0
    assert members.pop_dead(2.0) == [('p', 1)]


def test_late_heartbeat_does_not_overwrite_a_newer_one():
    members = make_membership()
    members.handle_heartbeat(make_heartbeat('p', 5.0, offset=7), 0.0)
    members.handle_heartbeat(make_heartbeat('p', 4.0, offset=6), 1.0)
    assert members.members['p'].offset == 7


def test_unlisted_peer_stays_while_it_sends_heartbeats():
    members = make_membership()
    entry = instances.Instance('p', 'router', 'z', STORE)
    members.update_listed([entry])
    members.handle_heartbeat(make_heartbeat('p', 0.0), 0.0)
    members.remove_unlisted(members.update_listed([]), 1.0)
    assert 'p' in members.members
    members.remove_unlisted(members.update_listed([]), 9.0)
    assert 'p' not in members.members
    assert members.pop_dead(9.0) == [('p', 1)]


def test_replicas_prefer_other_zones_of_the_own_region():
    members = make_membership()
    for name, zone, region in (
        ('far', 'y', 'qc-est'), ('peer', 'z', STORE), ('near', 'x', STORE),
    ):  # fmt: skip
        members.members[name] = membership.Member(
            name, zone, region, 1, last_heard_at=0.0
        )
    assert members.rank_replicas(1.0) == ['near', 'peer', 'far']


def test_silent_peer_is_the_last_choice_for_replicas():
    members = make_membership()
    for name, zone, last_heard_at in (('slow', 'x', 0.0), ('peer', 'z', 9.0)):
        members.members[name] = membership.Member(
            name, zone, STORE, 1, last_heard_at=last_heard_at
        )
    assert members.rank_replicas(10.0) == ['peer', 'slow']
    assert members.rank_replicas(16.0) == ['slow', 'peer']


def test_replicas_prefer_other_zones_without_neighbours_there():
    fleet = make_fleet(zones=14, per_zone=4)
    for name, made in fleet.items():
        holders = made.rank_replicas(0.0)[:2]
        zones = {made.members[holder].zone for holder in holders}
        assert made.zone not in zones, name


def make_fleet(zones, per_zone):
    """Return the memberships of a whole fleet that share one list."""
    entries = [
        instances.Instance(
            f'r{zone}-{n}', 'router', f'z{zone}', f'g{zone % 7}'
        )
        for zone in range(zones)
        for n in range(per_zone)
    ]
    fleet = {}
    for entry in entries:
        made = membership.Membership(
            entry.name, entry.zone, entry.region, suspect_s=4.0
        )
        made.update_listed(entries)
        fleet[entry.name] = made
    return fleet


def test_relays_connect_all_routers_in_three_steps():
    fleet = make_fleet(zones=5, per_zone=4)
    neighbours = {
        name: {member.name for member in made.find_neighbours()}
        for name, made in fleet.items()
    }
    for name, found in neighbours.items():
        assert all(name in neighbours[other] for other in found)
    reached = {'r0-0'}
    for _ in range(3):
        reached |= {n for known in list(reached) for n in neighbours[known]}
    assert reached == set(fleet)


def test_neighbour_counts_at_the_design_size():
    fleet = make_fleet(zones=25, per_zone=17)
    sizes = sorted(len(made.find_neighbours()) for made in fleet.values())
    assert sizes[0] == 16
    assert sizes[-1] == 16 + 24 * membership.RELAYS_PER_ZONE


def test_relayed_confirmation_does_not_become_younger():
    """A peer's peer read the head 6 s before the statement, 2 s ago."""
    relay = make_member('relay', stated_at=98.0, confirmed_age_s=6.0, offset=5)
    status = make_status(region='qc-est', members=(relay,))
    found = lease.find_confirmation(status, 100.0, LEASE_S, STORE)
    assert found == 92.0


def test_return_from_silence_is_not_a_restart():
    known = membership.Membership('me', 'z', STORE, suspect_s=4.0)
    first = make_heartbeat('p', 0.0, incarnation=7)
    assert known.is_unheard('p')
    assert not known.is_restarted(first)
    known.handle_heartbeat(first, 0.0)
    assert not known.is_unheard('p')
    known.pop_dead(1000.0)
    assert known.is_unheard('p')
    assert not known.is_restarted(make_heartbeat('p', 1.0, incarnation=7))
    assert known.is_restarted(make_heartbeat('p', 0.0, incarnation=8))
    known.handle_heartbeat(make_heartbeat('p', 0.0, incarnation=8), 1001.0)
    assert not known.is_restarted(make_heartbeat('p', 0.2, incarnation=8))
