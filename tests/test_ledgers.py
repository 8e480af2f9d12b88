"""Claims, bills, leases and session tokens, under generated inputs."""

import collections

import hypothesis
from hypothesis import strategies
import msgspec

from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import leases
from arbutuschute.ledgers import pins

WINDOW_S = 100.0
KEYS = ('k', 'l')


def encode(entry):
    return msgspec.Raw(msgspec.json.encode(entry))


def make_claim(number, key):
    return claims.Claim(f'id{number}', 'o', key, 'f', f'i{number}')


class Claimant:
    """An instance that claims a key, may run its work and may crash.

    It sends only if it is the winner in the part of the log that it has
    read, and releases its claim only if it never sent.
    """

    def __init__(self, number, key):
        self.claim = make_claim(number, key)
        self.fold = claims.Claims(WINDOW_S)
        self.position = 0
        self.sent = False
        self.gone = False

    def read(self, log, count):
        for raw, time in log[self.position : self.position + count]:
            self.fold.apply_entry(raw, time)
        self.position = min(len(log), self.position + count)

    def send(self, ran):
        entry = self.fold.find('o', self.claim.key)
        winner = entry.winner if entry else None
        if (
            self.gone
            or self.sent
            or winner is None
            or winner.id != self.claim.id
            or entry.outcome is not None
        ):
            return
        self.sent = True
        ran.append(self.claim.key)

    def release(self, log):
        if self.sent or self.gone:
            return
        self.gone = True
        outcome = claims.Outcome(self.claim.id, 'o', self.claim.key, 'no')
        log.append((encode(outcome), 0.0))


actions = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['append', 'repeat', 'read', 'send', 'release', 'crash']
        ),
        strategies.integers(0, 3),
        strategies.integers(1, 4),
    ),
    max_size=60,
)


@hypothesis.given(actions)
@hypothesis.settings(max_examples=300)
def test_a_key_runs_at_most_once_in_any_interleaving(steps):
    log = []
    claimants = [Claimant(n, KEYS[n % 2]) for n in range(4)]
    appended = set()
    ran = []
    for action, number, count in steps:
        claimant = claimants[number]
        if action == 'append' and not claimant.gone:
            appended.add(number)
            log.append((encode(claimant.claim), 0.0))
        elif action == 'repeat' and number in appended:
            log.append((encode(claimant.claim), 0.0))
        elif action == 'read':
            claimant.read(log, count)
        elif action == 'send':
            claimant.send(ran)
        elif action == 'release':
            claimant.release(log)
        elif action == 'crash':
            claimant.gone = True
    assert max(collections.Counter(ran).values(), default=0) <= 1


@hypothesis.given(actions)
def test_all_readers_agree_on_the_winner(steps):
    log = []
    claimants = [Claimant(n, KEYS[n % 2]) for n in range(4)]
    for action, number, _ in steps:
        if action in ('append', 'repeat'):
            log.append((encode(claimants[number].claim), 0.0))
        elif action == 'release':
            claimants[number].release(log)
    winners = set()
    for claimant in claimants:
        while claimant.position < len(log):
            claimant.read(log, 3)
        winners.add(
            tuple(
                entry.winner.id
                if (entry := claimant.fold.find('o', key))
                else None
                for key in KEYS
            )
        )
    assert len(winners) == 1


def test_a_duplicate_of_a_released_claim_does_not_win():
    fold = claims.Claims(WINDOW_S)
    first, second = make_claim(1, 'k'), make_claim(2, 'k')
    fold.apply_entry(encode(first), 0.0)
    fold.apply_entry(encode(claims.Outcome('id1', 'o', 'k', 'no')), 1.0)
    fold.apply_entry(encode(first), 2.0)
    assert fold.find('o', 'k') is None
    fold.apply_entry(encode(second), 3.0)
    assert fold.find('o', 'k').winner.id == 'id2'


def test_claims_expire_after_the_window_by_log_time():
    fold = claims.Claims(WINDOW_S)
    fold.apply_entry(encode(make_claim(1, 'k')), 0.0)
    fold.apply_entry(encode(make_claim(2, 'l')), WINDOW_S)
    assert fold.find('o', 'k') is not None
    fold.apply_entry(encode(make_claim(3, 'l')), WINDOW_S + 1)
    assert fold.find('o', 'k') is None


def make_bill(number, state, tokens=0):
    return bills.Bill(
        f'b{number}', 'o', 'p', 'm', '1', 'i', state, '', 0, tokens
    )


bill_entries = strategies.lists(
    strategies.builds(
        make_bill,
        strategies.integers(0, 3),
        strategies.sampled_from(list(bills.State)),
        strategies.integers(0, 5),
    ),
    max_size=20,
)


@hypothesis.given(bill_entries)
def test_read_bills_agrees_with_the_naive_model(entries):
    counted = bills.read_bills([bills.encode(bill) for bill in entries])
    for bill_id in {bill.id for bill in entries}:
        same = [bill for bill in entries if bill.id == bill_id]
        best = max(bill.state for bill in same)
        first = next(bill for bill in same if bill.state == best)
        assert counted[bill_id] == first
    assert set(counted) == {bill.id for bill in entries}


@hypothesis.given(bill_entries, strategies.integers(1, 3))
def test_repeated_appends_change_no_bill(entries, times):
    raw = [bills.encode(bill) for bill in entries]
    assert bills.read_bills(raw * times) == bills.read_bills(raw)


@hypothesis.given(bill_entries, strategies.permutations(range(20)))
def test_replicas_only_move_forward(entries, order):
    """Reordered and repeated messages never reopen a closed bill."""
    replicas = bills.BillReplicas()
    shuffled = [entries[i] for i in order if i < len(entries)]
    for bill in [*shuffled, *entries]:
        replicas.store(('i', 1), [bills.pack(bill)], (), 0.0)
    popped = {bill.id: bill for bill in replicas.pop_owner(('i', 1))}
    for bill_id in {bill.id for bill in entries}:
        best = max(b.state for b in entries if b.id == bill_id)
        assert popped[bill_id].state == max(best, bills.State.INTERRUPTED)
    assert replicas.pop_owner(('i', 1)) == []


@hypothesis.given(strategies.text(max_size=60))
def test_a_token_signed_with_another_secret_is_rejected(noise):
    token = pins.Token('o', 'p', {'m': '1'})
    text = pins.sign_token(token, 'secret-one')
    assert pins.read_token(text, 'secret-one') == token
    assert pins.read_token(text, 'secret-two') is None
    assert pins.read_token(noise, 'secret-one') is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'), strategies.floats(0.0, 8.0)
        ),
        max_size=30,
    )
)
def test_a_lease_has_one_holder_and_its_fence_only_rises(steps):
    """Another holder wins only after the last one's lease has expired."""
    fold = leases.Leases(duration_s=10.0)
    time = 0.0
    last_claim = {}
    before = None
    for offset, (holder, pause) in enumerate(steps):
        time += pause
        claim = msgspec.json.encode(leases.Claim('orders', holder))
        fold.apply_entry(claim, offset, time)
        held = fold.held['orders']
        if before and held.holder != before[0]:
            assert held.fence > before[1]
            assert time >= last_claim[before[0]] + 10.0
        if held.holder == holder:
            last_claim[holder] = time
        before = (held.holder, held.fence)


def test_an_owner_that_dies_before_its_first_heartbeat_is_settled():
    replicas = bills.BillReplicas()
    bill = make_bill(1, bills.State.OPENED)
    replicas.store(('i', 1), [bills.pack(bill)], (), 10.0)
    assert replicas.find_silent(12.0, 3.0) == []
    replicas.record_heartbeat(('i', 1), 12.0)
    assert replicas.find_silent(14.0, 3.0) == []
    assert replicas.find_silent(15.1, 3.0) == [('i', 1)]
    (popped,) = replicas.pop_owner(('i', 1))
    assert popped.state is bills.State.INTERRUPTED
    assert replicas.find_silent(99.0, 3.0) == []
