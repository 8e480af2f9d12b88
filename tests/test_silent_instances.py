"""Instances that are silent for a while, on the own interface.

Guards against giving up what they run: its bill is settled by another one,
and its answer comes all the same.
"""

import random

import pytest

from arbutuschute.ledgers import bills

OPEN = bills.Bill('b', 'o', 'p', 'm', '1', 'silent')
ANSWERED = bills.close(OPEN, 'answered', 11, 22, 0.5)
OWNER = 'silent', 1


def settle(stored):
    """Return what a holder commits for an owner that it takes for dead."""
    held = bills.BillReplicas()
    held.store(OWNER, [bills.pack(bill) for bill in stored], (), 0.0)
    assert held.find_silent(99.0, 4.0) == [OWNER]
    return held.pop_owner(OWNER)


# A caller gets an answer that isn't billed, or is billed twice.
@pytest.mark.parametrize('seed', range(20))
def test_answer_of_an_instance_taken_for_dead_is_billed_once(seed):
    entries = [*settle([OPEN]), *settle([OPEN]), ANSWERED]
    random.Random(seed).shuffle(entries)
    counted = bills.read_bills(bills.encode(bill) for bill in entries)
    assert counted == {'b': ANSWERED}


# The holder hears of the owner again: it holds what the owner sends anew.
def test_holder_takes_the_bills_of_an_instance_that_is_back():
    held = bills.BillReplicas()
    held.store(OWNER, [bills.pack(OPEN)], (), 0.0)
    held.pop_owner(OWNER)
    held.store(OWNER, [bills.pack(ANSWERED)], (), 99.0)
    assert held.pop_owner(OWNER) == [ANSWERED]
