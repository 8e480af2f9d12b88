"""Decisions about routed requests, without a network.

The comment above a group of tests names the load or fault it covers.
"""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from arbutuschute.contracts import routes
from arbutuschute import errors
from arbutuschute.ledgers import freshness
from arbutuschute.machines import servers
from arbutuschute.platform import settings
from arbutuschute.policy import model_choice
from arbutuschute.policy import placement
from arbutuschute.policy import prefill
from arbutuschute.policy import retry_budget
from arbutuschute.traffic import events
from arbutuschute.traffic import request as requests

LOCATION = ('a', 'r', {'a': 'r', 'b': 'r', 'far': 'q'})


class Clock:
    def __init__(self):
        self.time = 0.0

    def __call__(self):
        return self.time


def make_route(name, prefix, **more):
    return routes.Route(
        name=name,
        host='h',
        path_prefix=prefix,
        targets=(routes.Target('s'),),
        kind=more.pop('kind', routes.Kind.IDEMPOTENT),
        timeout_s=5.0,
        target_s=1.0,
        **more,
    )


def make_server(name, zone='a'):
    entry = servers.Entry(
        name, 's', f'10.0.0.1:{len(name)}', zone, 'v1', 8, 'live'
    )
    return servers.Server(entry)


def make_request(request_id='r', tokens=1000, shared='p', model='m'):
    request = requests.Request(request_id, 'POST', '/x/', 'h', 0.0)
    request.service = 's'
    request.model = model
    request.prompt = requests.Prompt(
        model, tokens, 50, ((shared, tokens // 2), ('own', tokens // 2))
    )
    return request


# Routes.


def make_table(*made, organisations=()):
    return routes.Table(1, made, (), organisations, routes.Limits())


def test_longest_prefix_wins():
    table = make_table(make_route('short', '/a/'), make_route('long', '/a/b/'))
    assert table.find_route('H', '/a/b/c').name == 'long'
    assert table.find_route('h', '/a/bb').name == 'short'
    with pytest.raises(errors.UnknownRoute):
        table.find_route('h', '/ab/')


@pytest.mark.parametrize(
    ('kind', 'resumable', 'repeatable'),
    [
        (routes.Kind.IDEMPOTENT, False, True),
        (routes.Kind.AT_MOST_ONCE, True, False),
        (routes.Kind.STREAM, False, False),
        (routes.Kind.STREAM, True, True),
    ],
)
def test_kind_decides_whether_a_request_is_retryable(
    kind, resumable, repeatable
):
    route = make_route('r', '/a/', kind=kind, resumable=resumable)
    assert route.is_retryable is repeatable


def test_key_identifies_exactly_its_organisation():
    table = make_table(
        make_route('r', '/a/'),
        organisations=[routes.Organisation('o', ('k1', 'k2'))],
    )
    route = table.find_route('h', '/a/')
    assert table.find_organisation(route, 'k2').name == 'o'
    for key in (None, '', 'k', 'K1'):
        with pytest.raises(errors.UnknownKey):
            table.find_organisation(route, key)


# Lease.


def test_lease_expires_without_confirmation_and_never_shrinks():
    clock = Clock()
    lease = freshness.Freshness(clock, 4.0)
    assert not lease.is_valid
    lease.confirm(0.0)
    clock.time = 3.9
    assert lease.is_valid
    lease.confirm(2.0)
    lease.confirm(1.0)
    clock.time = 5.9
    assert lease.is_valid
    clock.time = 6.1
    assert not lease.is_valid


# Retries: failures of all servers at once, with many instances.


@given(
    instances=strategies.integers(1, 100),
    arrivals=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 99), strategies.floats(0, 0.3)
        ),
        max_size=300,
    ),
)
def test_retries_of_all_instances_stay_within_one_budget(instances, arrivals):
    clock = Clock()
    bounds = settings.Bounds()
    budgets = [
        retry_budget.RetryBudget(clock, bounds) for _ in range(instances)
    ]
    requested, retried = [], []
    for number, gap_s in arrivals:
        clock.time += gap_s
        budget = budgets[number % instances]
        budget.record_request('s')
        requested.append(clock.time)
        while budget.try_spend('s'):
            retried.append(clock.time)
        since = clock.time - bounds.retry_window_s
        window = [at for at in retried if at >= since]
        asked = [at for at in requested if at >= since]
        allowed = bounds.retry_share * len(asked) + bounds.retry_slack
        assert len(window) <= allowed


# Pattern: all servers fail in a fleet of hundreds of instances, each of which
# takes a part of the slack that is meant for a hundred.
@pytest.mark.parametrize('instances', [101, 195, 410])
def test_slack_is_divided_by_the_number_of_instances(instances):
    clock = Clock()
    bounds = settings.Bounds(retry_slack=430.0)
    retried = 0
    for _ in range(instances):
        budget = retry_budget.RetryBudget(clock, bounds, lambda: instances)
        budget.record_request('s')
        while budget.try_spend('s'):
            retried += 1
    assert retried <= bounds.retry_share * instances + bounds.retry_slack


# Events.


@given(
    count=strategies.integers(0, 20),
    cuts=strategies.lists(strategies.integers(0, 400), max_size=12),
)
def test_events_are_complete_for_any_chunks(count, cuts):
    data = b''.join(b'id: %d\ndata: x\n\n' % n for n in range(1, count + 1))
    splitter = events.Splitter()
    places = sorted({0, *(min(cut, len(data)) for cut in cuts), len(data)})
    out = b''
    for start, end in zip(places, places[1:], strict=False):
        whole = splitter.feed(data[start:end])
        assert not whole or whole.endswith(b'\n\n')
        out += whole
        given_out = out.count(b'\n\n')
        assert splitter.last_id == (str(given_out) if given_out else None)
    assert out == data
    assert not splitter.has_partial_event


def test_partial_event_is_detected():
    splitter = events.Splitter()
    splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    assert splitter.has_partial_event
    assert splitter.last_id == '1'


@pytest.mark.parametrize(
    'data, last_id, expected',
    [
        (b'id: 4\ndata: a\n\n', '3', True),
        (b'weight-versions: 2\nid: 10\ndata: a\n\n', '9', True),
        (b'id: 3\ndata: a\n\nid: 4\ndata: b\n\n', '3', False),
        (b'id: 1\ndata: a\n\n', '3', False),
        (b'id: b\ndata: a\n\n', 'a', True),
        (b'id: a\ndata: a\n\n', 'a', False),
        (b'id: \xff\ndata: a\n\n', 'a', True),
        (b': still here\n\n', '3', True),
        (b'upstream error\n\n', '3', False),
        (b'data: a\n\n', '3', False),
    ],
)
def test_continuation_has_later_ids(data, last_id, expected):
    assert events.is_continuation(data, last_id) is expected


# Placement: long prompts occupy single engines.


def choose(servers_, request, prefill_rates=None, now=0.0, waits=None):
    return placement.choose_engine(
        {server: (waits or {}).get(server, 0.0) for server in servers_},
        request,
        prefill_rates or prefill.PrefillRates(),
        LOCATION,
        random.Random(1),
        now,
    )


def test_request_waits_for_a_limited_engine_only_if_it_begins_sooner():
    limited, other = make_server('x'), make_server('y')
    request = make_request('q', shared='p1')
    assert choose([limited, other], request, waits={limited: 1.0}) is other
    other.queue_delays.begin(make_request('long', shared='p2'), 3.0, 0.0)
    assert choose([limited, other], request, waits={limited: 0.1}) is limited


def test_request_avoids_an_engine_with_a_long_prompt_queued():
    first, second = make_server('x'), make_server('y')
    long = make_request('long', shared='p1')
    first.queue_delays.begin(long, 0.4, 0.0)
    for number in range(20):
        request = make_request(f'r{number}', tokens=100, shared=f'q{number}')
        assert choose([first, second], request) is second


def test_requests_with_a_shared_part_go_to_one_engine():
    made = [make_server(f'e{n}') for n in range(6)]
    chosen = {choose(made, make_request(f'r{n}')).name for n in range(50)}
    assert len(chosen) == 1


def test_popular_prompt_overflows_when_its_engine_is_slow():
    made = [make_server(f'e{n}') for n in range(6)]
    engine = choose(made, make_request())
    for number in range(5):
        engine.queue_delays.begin(make_request(f'w{number}'), 0.2, 0.0)
    assert choose(made, make_request()) is not engine


def test_queue_delay_decays_so_that_the_server_is_used_again():
    delays = prefill.QueueDelays()
    request = make_request()
    delays.begin(request, 0.0, 0.0)
    delays.finish(request, 3.0, has_begun=False)
    assert delays.estimate_wait_s(3.0) > 2.0
    assert delays.estimate_wait_s(13.0) < 0.01


def test_estimated_wait_grows_while_an_engine_is_silent():
    delays = prefill.QueueDelays()
    delays.begin(make_request(), 0.1, 0.0)
    assert (
        delays.estimate_wait_s(2.0)
        > delays.estimate_wait_s(1.0)
        > delays.estimate_wait_s(0.2)
    )


def test_far_region_is_used_only_when_the_near_one_is_slow():
    near, far = make_server('near'), make_server('far', zone='far')
    assert choose([near, far], make_request()) is near
    for number in range(6):
        near.queue_delays.begin(make_request(f'w{number}'), 0.1, 0.0)
    assert choose([near, far], make_request()) is far


def test_failing_server_is_avoided_by_plain_requests():
    good, grey = make_server('good', zone='b'), make_server('grey')
    for _ in range(5):
        grey.record_failure(0.0, pauses=False)
    assert placement.choose([good, grey], LOCATION, random.Random(1)) is good
    for _ in range(60):
        grey.record_success()
    assert placement.choose([good, grey], LOCATION, random.Random(1)) is grey


# Choice of models: at a peak, large models start late.


def test_threshold_falls_as_large_models_start_later():
    found = [model_choice.compute_threshold(share / 10) for share in range(15)]
    assert found == sorted(found, reverse=True)
    assert found[0] == model_choice.MIN_CONFIDENCE_IDLE
    assert found[-1] == model_choice.MIN_CONFIDENCE_LATE


# Directory: incarnations, outages.


def test_removals_after_an_outage_are_deferred():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_server('x').entry)
    directory.defer_removals(2.0)
    directory.remove('x')
    clock.time = 1.9
    directory.apply_deferred()
    assert 'x' in directory.servers
    clock.time = 2.1
    directory.apply_deferred()
    assert 'x' not in directory.servers


def test_entry_that_returns_cancels_its_removal():
    clock = Clock()
    directory = servers.Directory(clock)
    entry = make_server('x').entry
    directory.apply(entry)
    directory.defer_removals(2.0)
    directory.remove('x')
    directory.apply(entry)
    clock.time = 5.0
    directory.apply_deferred()
    assert 'x' in directory.servers


def test_leaving_is_not_undone_by_an_older_entry():
    directory = servers.Directory(Clock())
    entry = make_server('x').entry
    directory.apply(entry)
    directory.apply(servers.msgspec.structs.replace(entry, state='leaving'))
    directory.apply(entry)
    assert directory.servers['x'].leaving


# Settings.


def test_settings_report_every_fault():
    answer = settings.decode('node=x\nplatform.address=nowhere\n', 'f')
    faults = answer.failure().faults
    assert 'zone: required field is missing' in faults
    assert 'platform.address: expected HOST:PORT' in faults


def test_unknown_settings_are_ignored_and_bad_values_are_reported():
    text = (
        'node=n\nzone=a\nregion=r\nnew.field=1\nzones.a=r\n'
        'listen.frontendAddress=1.2.3.4:5\nlisten.readiness=1.2.3.4:6\n'
        'platform.address=1.2.3.4:7\nportRange=10,20\n'
    )
    found = settings.decode(text, 'f').unwrap()
    assert found.store == settings.Address('1.2.3.4', 7)
    faults = settings.decode(text + 'bounds.graceS=-1\n', 'f').failure().faults
    assert len(faults) == 1
    assert faults[0].startswith('bounds.graceS')


# Blank lines without end, after a stream has begun or before.
def test_blank_lines_are_no_event_and_are_not_lost():
    splitter = events.Splitter()
    assert splitter.feed(b'\n\n') == b''
    assert splitter.feed(b'id: 1\n\n') == b'\n\nid: 1\n\n'
    assert splitter.feed(b'\n\n\n') == b''
    assert not splitter.has_partial_event
    assert splitter.partial_bytes == 3
    assert splitter.take_rest() == b'\n\n\n'


# A stream's pace tells a slow version from its predecessor.
def test_gap_is_the_mean_time_between_the_first_events():
    meter = events.GapMeter()
    assert meter.add(b'id:1\n\nid:2\n\n', 5.0) is None
    assert meter.add(b'id:3\n\n', 5.2) is None
    assert meter.add(b'id:4\n\nid:5\n\nid:6\n\n', 5.8) is None
    assert meter.finish() == pytest.approx(0.2)


def test_gap_needs_an_event_after_the_first_bytes():
    meter = events.GapMeter()
    assert meter.finish() is None
    assert meter.add(b'id:1\n\n', 5.0) is None
    assert meter.finish() is None


def test_gap_is_known_once_and_before_a_long_stream_ends():
    meter = events.GapMeter()
    found = [
        meter.add(b'id:1\n\n', 0.5 * number)
        for number in range(events.MEASURED_EVENTS + 5)
    ]
    assert found[events.MEASURED_EVENTS] == pytest.approx(0.5)
    assert [gap_s for gap_s in found if gap_s is not None] == [0.5]
    assert meter.finish() is None


def make_entry(name, born, sequence, state='live'):
    return servers.Entry(
        name, 's', '10.0.0.1:1', 'a', 'v1', 4, state, born=born,
        sequence=sequence,
    )  # fmt: skip


# Guards against using a server that has left, as a store that was restored
# from a copy lists it again.
def test_restored_entry_of_a_gone_server_is_held_back():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_entry('i-1', born=5, sequence=3))
    directory.apply(make_entry('i-1', born=5, sequence=9, state='leaving'))
    directory.remove('i-1')
    for outdated in (make_entry('i-1', 5, 3), make_entry('i-1', 4, 20)):
        assert directory.is_outdated(outdated)
    assert not directory.is_outdated(make_entry('i-1', born=5, sequence=10))
    assert not directory.is_outdated(make_entry('i-1', born=6, sequence=1))
    assert not directory.is_outdated(make_entry('i-2', born=1, sequence=1))
    directory.hold_back(make_entry('i-1', 5, 3), 6.0)
    clock.time += 5.9
    directory.apply_deferred()
    assert 'i-1' not in directory.servers
    clock.time += 0.2
    directory.apply_deferred()
    assert 'i-1' in directory.servers


def test_held_back_entry_that_is_removed_is_never_used():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_entry('i-1', born=5, sequence=3))
    directory.remove('i-1')
    directory.hold_back(make_entry('i-1', 5, 3), 6.0)
    directory.keep_only(set())
    clock.time += 7.0
    directory.apply_deferred()
    assert not directory.servers


def test_older_entry_of_a_known_server_changes_nothing():
    directory = servers.Directory(Clock())
    directory.apply(make_entry('i-1', born=5, sequence=3))
    assert directory.is_outdated(make_entry('i-1', born=4, sequence=9))
    assert not directory.is_outdated(make_entry('i-1', born=5, sequence=3))


# A server may start again under its name with a clock that runs behind. Its
# entries look older than those of the process before.
def test_server_whose_clock_runs_behind_is_used_after_a_while():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_entry('i-1', born=5, sequence=3))
    directory.remove('i-1')
    for number in range(10):
        directory.hold_back(make_entry('i-1', 4, number), 10.0)
        directory.apply_deferred()
        assert 'i-1' not in directory.servers
        clock.time += 1.0
    directory.apply_deferred()
    assert directory.servers['i-1'].entry.born == 4


# The same where the process before is still listed, at another address.
def test_server_behind_its_own_time_replaces_the_process_before():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_entry('i-1', born=5, sequence=3))
    directory.hold_back(make_entry('i-1', 4, 1), 10.0)
    clock.time += 10.0
    directory.apply_deferred()
    assert directory.servers['i-1'].entry.born == 4


def test_server_that_goes_on_is_not_replaced_by_an_old_entry():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_entry('i-1', born=5, sequence=3))
    directory.hold_back(make_entry('i-1', 4, 1), 10.0)
    directory.apply(make_entry('i-1', born=5, sequence=4))
    clock.time += 10.0
    directory.apply_deferred()
    assert directory.servers['i-1'].entry.sequence == 4


# A late entry of a server that is to be removed after an outage.
def test_old_entry_does_not_cancel_a_deferred_removal():
    clock = Clock()
    directory = servers.Directory(clock)
    directory.apply(make_entry('i-1', born=5, sequence=3))
    directory.defer_removals(2.0)
    directory.remove('i-1')
    directory.hold_back(make_entry('i-1', 5, 2), 10.0)
    clock.time += 2.1
    directory.apply_deferred()
    assert not directory.servers


def test_entry_of_an_unknown_server_is_confirmed_by_a_newer_one():
    clock = Clock()
    directory = servers.Directory(clock)
    late = make_entry('i-1', born=5, sequence=7)
    clock.time += servers.START_S
    assert not directory.is_unconfirmed(late)  # There is no other server.
    directory.apply(make_entry('i-2', born=5, sequence=1))
    assert not directory.is_unconfirmed(make_entry('i-1', 5, 1))
    assert directory.is_unconfirmed(late)
    directory.hold_back(late, 10.0)
    assert directory.is_unconfirmed(late)
    assert not directory.is_unconfirmed(make_entry('i-1', 5, 8))
    directory.defer_removals(2.0)
    assert not directory.is_unconfirmed(late)


# Pattern: all instances start after an outage of the store in which all
# entries have lapsed, while clients press. Servers come back one by one, and
# the first one must not get everything.
def test_servers_that_return_after_a_start_are_used_at_once():
    clock = Clock()
    directory = servers.Directory(clock)
    for number in range(9):
        clock.time += 0.2
        entry = make_entry(f'i-{number}', born=5, sequence=30)
        assert not directory.is_unconfirmed(entry)
        directory.apply(entry)
