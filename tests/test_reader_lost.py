"""A zone whose reader of the store falls silent keeps its configuration.

Guards against refusing requests as cut off in a whole zone: all peers wait
for the same reader, and then for the store.
"""

import itertools

import pytest

from arbutuschute.ledgers import freshness
from arbutuschute.platform import followers
from tests import test_followers
from tests import test_log_cache

READS = 20
SILENT = (0.0, 0.0, False)
# Leases with the time of a read: of the deployments, also with a slow store,
# and of the tests of two builds.
CASES = [(4.4, 0.04), (4.4, 0.4), (1.2, 0.04)]
# Ages of the reader's records as parts of the lease.
AGES = [number / 40 for number in range(40)]


class WatchedLease(freshness.Freshness):
    """Remembers the longest time without a confirmation."""

    def __init__(self, now, lease_s):
        super().__init__(now, lease_s)
        self.worst_age_s = 0.0

    def confirm(self, at):
        if self.confirmed_at > float('-inf'):
            self.worst_age_s = max(self.worst_age_s, self.age_s)
        super().confirm(at)


def follow(lease_s, read_s, steps):
    """Follow the operator's records at a reader; return the worst age."""
    timer = test_followers.Timer()
    lease = WatchedLease(timer.now, lease_s)
    records = [(0.0, test_followers.make_table(1, ['k']))]
    scripted = test_followers.ScriptedStore(
        timer, [(read_s, 0.5, False)] * READS, records
    )
    follower = followers.OperatorFollower(
        scripted, timer, test_followers.Log(), lease, lambda _: None,
        lambda _: None, test_log_cache.make_zone_reader(timer, scripted),
    )  # fmt: skip
    peer = test_log_cache.HoldingPeer(timer, steps, records)
    test_log_cache.run_with_peer(follower, peer)
    return lease.worst_age_s


@pytest.mark.parametrize(('lease_s', 'read_s'), CASES)
@pytest.mark.parametrize('age', AGES)
def test_silent_reader_does_not_cut_off_its_peers(lease_s, read_s, age):
    good = [(1.0, age * lease_s, True)] * 3
    steps = itertools.chain(good, itertools.repeat(SILENT))
    assert follow(lease_s, read_s, steps) <= lease_s


@pytest.mark.parametrize(('lease_s', 'read_s'), CASES)
@pytest.mark.parametrize('age', AGES)
def test_reader_without_the_store_does_not_cut_off_its_peers(
    lease_s, read_s, age
):
    old = itertools.count(age * lease_s, 0.4 * lease_s)
    steps = ((1.0, age_s, True) for age_s in old)
    assert follow(lease_s, read_s, steps) <= lease_s
