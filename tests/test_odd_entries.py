"""Records of other writers that no decoder expects.

Guards against an entry that ends each instance that reads it, again after
its restart, and against servers that can't be connected to.
"""

import json

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from arbutuschute.contracts import changes
from arbutuschute import decoding
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import leases
from arbutuschute.machines import instances
from arbutuschute import messages
from arbutuschute.platform import configuration
from arbutuschute.platform import directory
from arbutuschute.policy import rate_limits
from arbutuschute.policy import rollout_records
from arbutuschute.zones import log_cache

DEPTH = 100_000
DEEP = [
    b'{"x":' + opening * DEPTH + closing * DEPTH * is_whole + b'}' * is_whole
    for opening, closing in ((b'[', b']'), (b'{"x":', b'}'))
    for is_whole in (0, 1)
]
DEEP_PACKED = b'\x81\xa1x' + b'\x91' * DEPTH
ENTRY = {
    'service': 's', 'address': '10.0.0.1:80', 'zone': 'a', 'version': 'v1',
    'slots': 4, 'state': 'ready', 'sequence': 1, 'born': 1,
}  # fmt: skip
HUGE = 10**30
UNUSABLE = [
    *({'address': f'10.0.0.1:{port}'} for port in (
        '0', '65536', '1' * 31, '1' * 5000, '٨٠', '８０', '-1', '', '80 '
    )),
    *({'address': f'{host}:80'} for host in (
        '', 'a b', '10.0.0.1\n', '10.0.0.1/x', '[10.0.0.1', 'x' * 100_000,
        '10.0.0', '256.0.0.1', 'name.example',
    )),
    {'address': 'no port'},
    {'service': ''},
    {'slots': 0}, {'slots': HUGE}, {'slots': -HUGE}, {'slots': 1.5},
    {'born': HUGE}, {'born': -1}, {'sequence': HUGE},
    {'models': [{'name': 'm', 'version': HUGE}]},
    {'coldRemainingMs': 'soon'}, {'state': 'odd'}, {'state': None},
]  # fmt: skip
DECODERS = [
    decoding.decode_json,
    configuration.decode_table,
    lambda raw: configuration.decode_order(raw, 0),
    rollout_records.decode,
]


@pytest.mark.parametrize('odd', UNUSABLE, ids=lambda odd: str(odd)[:40])
def test_entry_that_names_no_usable_server_is_none(odd):
    raw = json.dumps({**ENTRY, **odd}).encode()
    assert directory.decode_entry('i-1', raw) is None


def test_entry_with_unknown_fields_is_used():
    raw = json.dumps({**ENTRY, 'new': [[HUGE]]}).encode()
    assert directory.decode_entry('i-1', raw).address == '10.0.0.1:80'


@pytest.mark.parametrize('raw', DEEP, ids=range(len(DEEP)))
def test_deeply_nested_records_are_refused(raw):
    assert directory.decode_entry('i-1', raw) is None
    for decode in DECODERS:
        with pytest.raises(msgspec.DecodeError):
            decode(raw)


# The own interface's streams and messages.
@pytest.mark.parametrize('raw', DEEP, ids=range(len(DEEP)))
def test_deeply_nested_entries_of_the_own_log_are_passed_over(raw):
    known = claims.Claims(60.0)
    known.apply_entry(raw, 1.0)
    assert not known.entries
    held = leases.Leases(5.0)
    held.apply_entry(raw, 0, 1.0)
    assert not held.held
    assert changes.decode_change(raw) is None
    assert not changes.split_batch(raw)
    assert not changes.read_id(raw)


def test_deeply_nested_messages_are_refused():
    assert messages.decode(DEEP_PACKED) is None
    assert instances.decode(DEEP_PACKED) is None
    assert bills.unpack(DEEP_PACKED) is None
    with pytest.raises(msgspec.DecodeError):
        log_cache._decoder.decode(DEEP_PACKED)


@given(raw=strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.sampled_from([*ENTRY, 'models', 'name']), inner
    ),
))  # fmt: skip
def test_any_json_is_an_entry_or_none(raw):
    entry = {**ENTRY, **raw} if isinstance(raw, dict) else raw
    found = directory.decode_entry('i-1', json.dumps(entry).encode())
    assert found is None or found.slots >= 1


# Guards against an index that no request can be served with.
@pytest.mark.parametrize(
    'odd', [{'number': 3}, {'number': HUGE}, {'number': -1}, {'elapsed_s': -1},
            {'first_share': 2}, {'phase': 'odd'}],
)  # fmt: skip
def test_steps_out_of_range_are_refused(odd):
    step = rollout_records.Step(7, 's', 2, rollout_records.Phase.RUNNING, 1.0)
    sound = json.loads(rollout_records.encode(step))
    assert rollout_records.decode(json.dumps(sound).encode()) == step
    with pytest.raises(msgspec.DecodeError):
        rollout_records.decode(json.dumps({**sound, **odd}).encode())


@pytest.mark.parametrize(
    'odd', [{'demand': {'s': -1}}, {'limits': {'i-1': [-5, 1]}},
            {'limits': {'i-1': [5, -1]}}],
)  # fmt: skip
def test_limit_reports_out_of_range_are_refused(odd):
    report = {'type': 'limits', 'instance': 'a', 'region': 'r', **odd}
    decoder = decoding.make_json_decoder(rate_limits.LimitReport)
    with pytest.raises(msgspec.DecodeError):
        decoder.decode(json.dumps(report).encode())
