"""Explanations of where a request would go, without a network.

Guards against an explanation that differs from the choice it explains, and
against one that changes what is chosen or counted afterwards.
"""

import copy
import random

import pytest

from arbutuschute.contracts import routes
from arbutuschute.ledgers import freshness
from arbutuschute.machines import servers
from arbutuschute import metrics
from arbutuschute.platform import settings
from arbutuschute.policy import canary
from arbutuschute.policy import cold_limits
from arbutuschute.policy import evacuation
from arbutuschute.policy import model_choice
from arbutuschute.policy import prefill
from arbutuschute.policy import rate_limits
from arbutuschute.policy import urgency
from arbutuschute.traffic import environment as environments
from arbutuschute.traffic import explanation
from arbutuschute.traffic import handler
from arbutuschute.traffic import request as requests
from arbutuschute.traffic import sending
from tests import test_traffic


class Quarantine:
    def __init__(self):
        self.refused = ()

    def find_refused(self, parts):
        return self.refused


class Log:
    def info(self, *_, **__):
        pass

    warning = info


def make_environment(
    kind=routes.Kind.STREAM, names=('a1', 'a2', 'b1'), **more
):
    made = environments.Environment('edge')
    made.now = now = test_traffic.Clock()
    now.time = 100.0
    made.log = Log()
    made.metrics = metrics.Metrics(None)
    made.random = random.Random(5)
    made.location = test_traffic.LOCATION
    made.directory = servers.Directory(now)
    made.freshness = freshness.Freshness(now, 1e9)
    made.freshness.confirm(100.0)
    made.rollouts = canary.Rollouts(now)
    bounds = settings.Bounds()
    made.rate_limits = rate_limits.RateLimits(now, 'edge', 'r')
    made.cold_limits = cold_limits.ColdLimits(
        now, 'edge', 'r', lambda _: 1, lambda _: 0.02, bounds
    )
    made.evacuations = evacuation.Evacuations(now)
    made.model_selector = model_choice.ModelSelector()
    made.prefill_rates = prefill.PrefillRates()
    made.pool_delays = prefill.PoolDelays()
    made.quarantine = Quarantine()
    route = test_traffic.make_route('n', '/x', kind=kind, **more)
    made.table = test_traffic.make_table(
        route, organisations=[routes.Organisation('o', ('k',))]
    )
    made.urgency_levels = urgency.UrgencyLevels([route], [])
    for name in names:
        zone = 'far' if name.startswith('far') else name[0]
        entry = servers.Entry(name, 's', '10.0.0.1:1', zone, 'v1', 8, 'live')
        made.directory.apply(entry)
    return made


def make_request(now, key='k'):
    request = requests.Request('r', 'POST', '/x/', 'h', now)
    request.key = key
    parts = (('p', 600), ('own', 400))
    request.prompt = requests.Prompt('m', 1000, 50, parts)
    return request


def explain(environment, seed=5, **more):
    return explanation.explain(
        environment,
        make_request(environment.now(), **more),
        lambda request, failure: failure.retry_after_s,
        random.Random(seed),
    )


def list_reasons(found):
    return {server.name: server.passed_over for server in found.candidates}


def list_state(environment):
    limits = environment.rate_limits, environment.cold_limits._limits
    return copy.deepcopy(
        [
            environment.random.getstate(),
            environment.metrics.totals,
            environment.rollouts._memory._versions,
            environment.rollouts._memory._running,
            environment.rollouts._memory._ended,
            list(environment.evacuations._zones),
            [server.in_flight for server in environment.directory.find('s')],
            *([each._buckets, each._statements] for each in limits),
        ]
    )


@pytest.mark.parametrize('kind', routes.Kind)
@pytest.mark.parametrize('seed', range(20))
async def test_choice_is_that_of_a_request(kind, seed):
    environment = make_environment(kind)
    environment.random.seed(seed)
    found = explain(environment, seed)
    request = make_request(100.0)
    handler.admit(environment, request)
    server = await sending.choose_server(environment, request, set())
    assert found.chosen == server.name == found.candidates[0].name
    assert list_reasons(found).pop(server.name) == ''
    assert found.refusal is None
    assert (found.organisation, found.service) == ('o', 's')


@pytest.mark.parametrize('kind', routes.Kind)
def test_nothing_changes(kind):
    environment = make_environment(kind)
    first, second, _ = environment.directory.find('s')
    environment.rate_limits.record(first.incarnation, 0.5)
    second.record_cold_head(9.0, 100.0)
    environment.evacuations.order('b', 100.0)
    environment.evacuations.end('b')
    environment.now.time = 110.0  # The shift has ended, and is forgotten.
    second.record_cold_head(9.0, 110.0)
    before = list_state(environment)
    for _ in range(3):
        assert explain(environment) == explain(environment)
    assert list_state(environment) == before


def change_leaving(environment, server):
    server.leaving = True


def change_hold(environment, server):
    server.hold(101.0)


def change_pause(environment, server):
    server.pause(101.0)


def change_cold(environment, server):
    server.record_cold_head(9.0, 100.0)


def change_limit(environment, server):
    environment.rate_limits.record(server.incarnation, 0.1)


def change_rollout(environment, server):
    entry = servers.Entry('a1', 's', '10.0.0.1:1', 'a', 'v2', 8, 'live')
    environment.directory.apply(entry)
    environment.rollouts.rejected.add(('s', 'v2'))


def change_zone(environment, server):
    environment.evacuations.order('a', 90.0)


CHANGES = [
    (change_leaving, 'leaving', 'no-backend-server'),
    (change_hold, 'on hold for 1.0 s', 'servers-on-hold'),
    (change_pause, 'paused', None),
    (change_cold, 'cold: turn in', 'rate-limited'),
    (change_limit, 'rate limit: turn in', 'rate-limited'),
    (change_rollout, 'roll-out: other version', 'no-backend-server'),
    (change_zone, 'evacuated zone', 'zones-evacuated'),
]


@pytest.mark.parametrize(('change', 'reason', 'code'), CHANGES)
def test_reason_is_told_beside_another_server_and_alone(change, reason, code):
    for names in (('a1', 'b1'), ('a1',)):
        environment = make_environment(names=names)
        change(environment, environment.directory.find('s')[0])
        found = explain(environment)
        if len(names) == 2:
            assert found.chosen == 'b1'
        elif code is None:
            assert found.chosen == 'a1'
            continue
        else:
            assert found.refusal.code == code
            assert found.chosen is None
        assert list_reasons(found)['a1'].startswith(reason)


def test_regions_costs_and_shared_part_are_told():
    environment = make_environment(
        names=('a1', 'a2', 'far1'), allowed_regions=('r',)
    )
    found = explain(environment)
    assert found.allowed_regions == ['r']
    reasons = sorted(list_reasons(found).values())
    assert reasons == ['', 'higher cost', 'other region']
    chosen, other, far = found.candidates
    assert (chosen.holds_shared_part, other.holds_shared_part) == (True, False)
    assert chosen.start_ms < other.start_ms < far.start_ms
    assert chosen.load_age_ms is None


@pytest.mark.parametrize(
    ('change', 'code'),
    [
        (lambda made: setattr(made.quarantine, 'refused', ('p',)),
         'prompt-quarantined'),
        (lambda made: setattr(made.freshness, 'lease_s', -1.0), 'cut-off'),
    ],
)  # fmt: skip
def test_refusal_before_the_choice_is_told(change, code):
    environment = make_environment()
    change(environment)
    found = explain(environment)
    assert (found.refusal.code, found.chosen) == (code, None)


def test_unknown_key_is_refused_and_not_repeated():
    found = explain(make_environment(), key='secret')
    assert found.refusal.status == 401
    assert 'secret' not in str(found)


def test_servers_left_to_chance_or_to_others_are_told():
    environment = make_environment(names=('a1', 'b1', 'far1'))
    environment.rate_limits = rate_limits.RateLimits(
        environment.now, 'edge', 'r', lambda _: 1
    )
    far = environment.directory.find('s')[2]
    environment.rate_limits.record(far.incarnation, 5.0)
    environment.evacuations.order('a', 100.0)
    environment.now.time = 100.75  # Half of the shift is over.
    found = [explain(environment, seed) for seed in range(20)]
    told = {list_reasons(each)['a1'] for each in found}
    assert 'zone shifts: used by 25% of choices' in told
    assert {each.chosen for each in found} == {'a1', 'b1'}
    for each in found:
        last = each.candidates[-1]
        assert last.passed_over == 'rate limit: left to other instances'
        assert (last.name, last.start_ms, last.cost) == ('far1', None, None)
