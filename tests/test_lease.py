"""An instance whose reads of the log fail keeps its lease through its peers.

Guards against gaps in the lease while nothing is published: the log holds
each read as long as it may, and the peers' reads end at the same moments,
because the last publication ended them together.
"""

import types

import msgspec
import pytest

from arbutuschute import agreement
from arbutuschute.links import log
from arbutuschute import settings
from arbutuschute.zones import lease
from arbutuschute.zones import membership

STEP_S = 0.01
LINK_S = 0.02
RUN_S = 12.0
SETTLED_S = 4.0
REGION = 'qc-sud'


class Peer:
    """A peer whose reads of the log succeed and that sends heartbeats."""

    def __init__(self, wait_s, heartbeat_s, phase_s):
        self._wait_s = wait_s
        self._heartbeat_s = heartbeat_s
        self._next_heartbeat_at = phase_s
        self.view = membership.Member('p', 'z', REGION, 1, offset=2)

    def find_confirmed_at(self, now):
        """Return when the last completed read was started."""
        return (now // self._wait_s - 1) * self._wait_s

    def tick(self, now, our_sent_at):
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at += self._heartbeat_s
        self.view.stated_at = our_sent_at
        self.view.confirmed_age_s = now - self.find_confirmed_at(now)


def find_gaps(control, wait_s, phases):
    """Return the times at which the cut-off instance has no lease."""
    beat_s = control.heartbeat_s
    peers = [Peer(wait_s, beat_s, phase * beat_s) for phase in phases]
    gaps = []
    for step in range(int(RUN_S / STEP_S)):
        now = step * STEP_S
        # A peer has our last heartbeat that had time to cross the link.
        sent_at = ((now - LINK_S) // beat_s) * beat_s
        for peer in peers:
            peer.tick(now, sent_at)
        status = lease.LogStatus(
            REGION, 2, None, False, tuple(peer.view for peer in peers)
        )
        if now > SETTLED_S and not lease.is_confirmed(
            status, now, control.lease_s, 'elsewhere'
        ):
            gaps.append(now)
    return gaps


@pytest.mark.parametrize('phases', [(0.0, 0.5), (0.3, 0.3), (0.9, 0.1)])
@pytest.mark.parametrize(
    ('heartbeat_s', 'suspect_s', 'lease_s'),
    [(0.2, 0.8, 2.0), (0.1, 0.5, 1.0), (1.0, 4.0, 10.0), (0.5, 2.0, 4.0)],
)
def test_peers_reads_keep_the_lease_of_an_instance_without_reads(
    heartbeat_s, suspect_s, lease_s, phases
):
    control = msgspec.convert(
        {
            'heartbeat_s': heartbeat_s,
            'suspect_s': suspect_s,
            'lease_s': lease_s,
        },
        settings.Control,
    )
    wait_s = log.compute_read_wait(lease_s)
    assert find_gaps(control, wait_s, phases) == []


def test_reads_held_for_half_a_lease_leave_gaps():
    control = settings.Control(heartbeat_s=0.2, suspect_s=0.8, lease_s=2.0)
    assert find_gaps(control, log.READ_WAIT_S, (0.3, 0.3))


def make_environment(member, confirmed_until):
    return types.SimpleNamespace(
        config_follower=types.SimpleNamespace(
            confirmed_at=None, failing_since=80.0
        ),
        configuration=types.SimpleNamespace(offset=2),
        confirmed_until=confirmed_until,
        membership=types.SimpleNamespace(find_neighbours=lambda: [member]),
        settings=types.SimpleNamespace(
            control=settings.Control(),
            platform=types.SimpleNamespace(region='elsewhere'),
            region=REGION,
        ),
    )


def test_peer_that_advances_does_not_revoke_its_earlier_confirmation():
    member = membership.Member('p', 'z', REGION, 1, offset=2)
    member.stated_at, member.confirmed_age_s = 99.0, 1.0
    environment = make_environment(member, float('-inf'))
    assert agreement.renew_confirmation(environment, 100.0)
    member.offset, member.stated_at = 3, 100.5
    assert agreement.renew_confirmation(environment, 101.0)
    assert not agreement.renew_confirmation(environment, 108.1)


def test_no_lease_without_any_confirmation():
    member = membership.Member('p', 'z', REGION, 1, offset=2)
    environment = make_environment(member, float('-inf'))
    assert not agreement.renew_confirmation(environment, 100.0)
