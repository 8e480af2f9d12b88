"""Replication of bills, with fakes of the replica holders and the log."""

import asyncio

import pytest

from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import replication
from arbutuschute import timer


class FakeCommit:
    """Fake group commit; a test sets the futures of appended entries."""

    def __init__(self):
        self.futures = []

    def append(self, entry, urgent=False):
        future = asyncio.get_running_loop().create_future()
        self.futures.append(future)
        return future


class FakeMetrics:
    def count(self, name, amount=1):
        pass


class Bench:
    """An owner with replica holders that acknowledge or stay silent."""

    def __init__(self, holders, limit=100, **options):
        self.ranked = list(holders)
        self.silent = set()
        self.sent = []
        self.incarnations = dict.fromkeys(holders, 1)
        self.clock = timer.VirtualTimer()
        self.commit = FakeCommit()
        self.owner = replication.BillReplicator(
            ('owner', 1), self.send, lambda: self.ranked, self.commit,
            self.clock, FakeMetrics(), 2, limit, **options,
        )  # fmt: skip

    def send(self, name, message):
        self.sent.append((name, message))
        if name not in self.silent:
            asyncio.get_running_loop().call_soon(
                self.owner.handle_ack, name, self.incarnations[name],
                message.seq,
            )  # fmt: skip
        return True

    def get_replicas(self, name):
        """Return the states of the unsettled bills sent to a holder."""
        held = {}
        for receiver, message in self.sent:
            if receiver == name:
                for raw in message.entries:
                    bill = bills.unpack(raw)
                    held[bill.id] = bill.state
                for bill_id in message.settled:
                    held.pop(bill_id, None)
        return held


def make_bill(number=1):
    return bills.Bill(f'b{number}', 'o', 'p', 'm', '1', 'owner/1')


async def test_first_bill_is_replicated_before_any_tick():
    """Otherwise it is in the log as open and no router settles it."""
    bench = Bench(['a', 'b', 'c'])
    await bench.owner.open(make_bill())
    assert bench.get_replicas('a') == {'b1': bills.State.OPENED}
    assert bench.get_replicas('b') == {'b1': bills.State.OPENED}
    assert bench.commit.futures == []


async def open_past_silence(bench):
    """Open a bill with a silent holder and advance past its timeout."""
    opening = asyncio.ensure_future(bench.owner.open(make_bill()))
    await asyncio.sleep(0.01)
    assert not opening.done()
    bench.clock.advance(replication.ACK_TIMEOUT_S + 0.01)
    bench.owner.check_timeouts()
    await asyncio.wait_for(opening, 5)


async def test_a_silent_holder_is_replaced_and_retried_after_a_pause():
    bench = Bench(['a', 'b', 'c'])
    bench.silent = {'a'}
    await open_past_silence(bench)
    assert bench.get_replicas('c') == {'b1': bills.State.OPENED}
    bench.silent = set()
    bench.clock.advance(replication.HOLDER_PAUSE_S)
    bench.owner.check_timeouts()
    await asyncio.sleep(0.01)
    bench.owner.check_timeouts()
    await bench.owner.open(make_bill(2))
    assert 'b2' in bench.get_replicas('a')


async def test_without_holders_and_log_new_work_is_refused():
    bench = Bench([])
    opening = asyncio.ensure_future(bench.owner.open(make_bill()))
    await asyncio.sleep(0.01)
    bench.clock.advance(replication.WRITE_TIMEOUT_S + 0.01)
    bench.owner.check_timeouts()
    with pytest.raises(errors.StoreDown) as caught:
        await opening
    assert caught.value.ran is errors.Ran.NO
    assert bench.owner.unsettled == 0


async def test_a_bill_goes_to_the_log_if_no_holder_acknowledges():
    bench = Bench(['a', 'b'])
    bench.silent = {'a', 'b'}
    opening = asyncio.ensure_future(bench.owner.open(make_bill()))
    await asyncio.sleep(0.01)
    assert bench.commit.futures == []
    bench.clock.advance(replication.ACK_TIMEOUT_S + 0.01)
    bench.owner.check_timeouts()
    (committed,) = bench.commit.futures
    committed.set_result(3)
    await asyncio.wait_for(opening, 5)


async def test_unsettled_bills_are_bounded():
    bench = Bench(['a', 'b'], limit=2)
    await bench.owner.open(make_bill(1))
    await bench.owner.open(make_bill(2))
    with pytest.raises(errors.StoreDown):
        await bench.owner.open(make_bill(3))


async def test_a_restarted_holder_gets_all_unsettled_bills_again():
    bench = Bench(['a', 'b'])
    await bench.owner.open(make_bill())
    bench.sent.clear()
    bench.incarnations['a'] = 2
    bench.owner.handle_incarnation('a', 2)
    bench.owner.refresh_replicas()
    assert bench.get_replicas('a') == {'b1': bills.State.OPENED}


async def test_holders_remove_a_bill_once_it_is_in_the_log():
    bench = Bench(['a', 'b'])
    bill = make_bill()
    await bench.owner.open(bill)
    await bench.owner.close(bills.close(bill, 'answered', 1, 2, 0.1))
    assert bench.get_replicas('a') == {'b1': bills.State.CLOSED}
    bench.commit.futures[-1].set_result(7)
    await asyncio.sleep(0.01)
    bench.owner.refresh_replicas()
    assert bench.get_replicas('a') == {}
    assert bench.owner.unsettled == 0


async def test_a_restart_is_reported_once():
    """The caller then reads the instance list for the new address."""
    bench = Bench(['a', 'b'])
    await bench.owner.open(make_bill())
    assert not bench.owner.handle_incarnation('a', 1)
    assert bench.owner.handle_incarnation('a', 2)
    assert not bench.owner.handle_incarnation('a', 2)
    assert not bench.owner.handle_incarnation('unknown', 5)


async def test_one_holder_is_in_another_zone_even_if_zone_peers_rank_first():
    """A new instance learns of its zone peers first; a zone may be lost."""
    bench = Bench(
        ['near', 'near2', 'far', 'far2'],
        is_in_other_zone=lambda name: name.startswith('far'),
    )
    await bench.owner.open(make_bill())
    assert bench.get_replicas('far') == {'b1': bills.State.OPENED}
    assert bench.get_replicas('near') == {'b1': bills.State.OPENED}
    assert bench.get_replicas('far2') == {}


async def test_a_silent_holder_in_another_zone_delays_only_until_timeout():
    bench = Bench(
        ['near', 'near2', 'far'], is_in_other_zone=lambda name: name == 'far'
    )
    bench.silent = {'far'}
    await open_past_silence(bench)
