"""Objects that are sent or stored in the log, with all fields set.

Each case is (outer name, object, encode, decode). Python names occur
only here; the samples name cases by tag, stream or topic.
"""

import functools

import msgspec

from arbutuschute.contracts import changes
from arbutuschute.contracts import fold
from arbutuschute.contracts import profiles
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import leases
from arbutuschute.ledgers import pins
from arbutuschute.links import engine
from arbutuschute.links import log
from arbutuschute.machines import instances
from arbutuschute import messages
from arbutuschute.platform import observations
from arbutuschute.platform import reader_records
from arbutuschute.policy import quarantine
from arbutuschute.policy import rate_limits
from arbutuschute.policy import rollout_records
from arbutuschute.zones import log_cache

SENDER = {'sender': 'mtl-a-1', 'incarnation': 7}
WHO = {'id': 'c-1', 'author': 'operator'}
ROLLOUT = {'profile': 'reports', 'revision': 3, 'model': 'm', 'new': '2'}

PROFILE = profiles.Profile(
    name='reports',
    organisations=('insurer',),
    versions=(
        profiles.Version('m', '1', 0.5),
        profiles.Version('m', '2', 0.75),
        profiles.Version('n', '1', 2.0),
    ),
    service_cost=1.5,
    replacements=(profiles.Replacement('m', '1', '2', (0.25, 1.0), 300.0),),
    cascade=profiles.Cascade('m', 'n', 0.9),
    idempotent=False,
    classes={'certificate': profiles.WorkClass(9000, 2)},
    limits=profiles.Limits(1000, 200, 30),
    while_cut_off='settled',
)
SERVICE_PROFILE = profiles.Profile(
    name='visits', organisations=('insurer',), service='site-visits'
)
ORGANISATION = profiles.Organisation('insurer', 'ab' * 32, 2.5)
BILL = bills.Bill(
    'b-1', 'insurer', 'reports', 'm', '2', 'mtl-a-1',
    bills.State.CLOSED, 'answered', 11, 22, 0.25,
)  # fmt: skip
INSTANCE = instances.Instance(
    'e-1', 'engine', 'mtl-a', 'qc-sud', 'http://h:1', 'tcp://h:2',
    'http://h:3', 'leaving', ('m:1', 'm:2'), 'site-visits', True,
)  # fmt: skip


CRASH = quarantine.Crash('e-1 12', 12.5, 11.5, ('p1', 'p2'), True)
ANSWERED = quarantine.Answered(('p1',))
VERDICT = quarantine.Verdict(('p2',), 99.5)
LIMITS = rate_limits.LimitReport(
    'mtl-a-1', 'qc-sud', {'m:1': 2.5}, {'e-1 12': (4.5, 0.25)}
)


def make_configuration():
    """Return an agreed state with an entry of each kind."""
    return fold.Configuration(
        offset=9,
        time=12.5,
        snapshot_time=11.5,
        profiles={
            'reports': fold.PublishedProfile(3, PROFILE),
            'gone': fold.PublishedProfile(4),
        },
        organisations={'insurer': fold.PublishedOrganisation(2, ORGANISATION)},
        withdrawn={fold.name_version('m', '1'): 5},
        rollouts={
            fold.name_rollout('reports', 'm', '2'): fold.Rollout(
                3, 1, 10.5, True, 'slow'
            )
        },
        outcomes={'c-1': fold.Outcome(3, 10.5, False, 'revision-conflict')},
    )


def list_messages():
    """Return a message of each kind with all fields set."""
    return [
        messages.Heartbeat(
            **SENDER, zone='mtl-a', region='qc-sud', state='live',
            sent_at=1.5, echo=0.5, offset=9, confirmed_age_s=0.25,
            store_down=True, in_flight=4,
            reports=(messages.LoadReport('e-1', 1, 2, 3, 0.5),),
        ),
        messages.ReportEvidence(
            **SENDER, evidence=(messages.Evidence('reports/m:2', 40, 3),)
        ),
        messages.AnnounceHalt(**SENDER, rollout='reports/m:2', revision=3),
        messages.InstancesChanged(
            **SENDER, changed=(instances.encode(INSTANCE),), gone=('e-2',)
        ),
        messages.FetchConfiguration(**SENDER, offset=9),
        messages.ConfigurationRecords(
            **SENDER, records=((3, 1.5, b'{}'),), state=b'{"offset":9}'
        ),
        messages.ReplicateBills(
            **SENDER, seq=5, entries=(bills.pack(BILL),), settled=('b-0',)
        ),
        messages.BillsReplicated(**SENDER, seq=5),
        messages.PinRequest(**SENDER, seq=6, session='s-1', proposal='2'),
        messages.PinResponse(**SENDER, seq=6, session='s-1', version='1'),
        messages.PinCopy(**SENDER, session='s-1', version='1'),
        messages.ShareObservation(**SENDER, observation=CRASH),
    ]  # fmt: skip


def list_changes():
    """Return a change of each kind with all fields set."""
    state = msgspec.json.encode(make_configuration())
    return [
        changes.PublishProfile(**WHO, document=PROFILE, based_on=2),
        changes.PublishOrganisation(**WHO, document=ORGANISATION, based_on=1),
        changes.WithdrawProfile(**WHO, name='reports', based_on=3),
        changes.WithdrawVersion(**WHO, model='m', version='1', reason='bad'),
        changes.RestoreVersion(**WHO, model='m', version='1', based_on=5),
        changes.EvacuateZone(**WHO, zone='mtl-a'),
        changes.RestoreZone(**WHO, zone='mtl-a', based_on=6),
        changes.AdvanceRollout(**WHO, **ROLLOUT, step=1),
        changes.HaltRollout(**WHO, **ROLLOUT, evidence='slow'),
        changes.Snapshot(**WHO, offset=9, state=msgspec.Raw(state)),
    ]


def make_typed(kind):
    """Return a decoder of JSON for one kind of object."""
    return functools.partial(msgspec.json.decode, type=kind)


def _get_tag(record):
    return record.__struct_config__.tag


def list_peer_cases():
    """Return the cases of what peers send one another, as MessagePack."""
    cases = [
        (f'message {_get_tag(m)}', m, messages.encode, messages.decode)
        for m in list_messages()
    ]
    found = log_cache.CacheResponse(3, 5, 0.25, 0.5, (b'a', b'bc'))
    newest = log_cache.NewestResponse(
        5, 0.25, (log_cache.KeyedRecord('k', 4, b'v'),)
    )
    return [
        *cases,
        ('bill', BILL, bills.pack, bills.unpack),
        ('instance', INSTANCE, instances.encode, instances.decode),
        (
            'answer /tail', found, msgspec.msgpack.encode,
            log_cache._decoder.decode,
        ),
        (
            'answer /newest', newest, msgspec.msgpack.encode,
            log_cache._newest_decoder.decode,
        ),
    ]  # fmt: skip


def list_stored_cases():
    """Return the cases of what is stored in the log or store, as JSON."""
    encode = msgspec.json.encode
    cases = [
        (
            f'configuration {_get_tag(c)}',
            c,
            encode,
            changes.decode_change,
        )
        for c in list_changes()
    ]
    claim = claims.Claim('w-1', 'insurer', 'k-1', 'f0', 'mtl-a-1')
    outcome = claims.Outcome(
        'w-1', 'insurer', 'k-1', 'yes', 200, 'application/json', b'{}'
    )
    counts = {'error': (1, 20), 'slow': (2, 30)}
    evidence = rollout_records.Evidence(4, 'chat', 'mtl-a-1', counts, {}, 2.5)
    sessions = rollout_records.Sessions(
        'chat', 'mtl-a-1', 9.5, {'1': b'\x00\x01\x02\x03'}, 4
    )
    cases += [
        (
            'configuration service profile', SERVICE_PROFILE, encode,
            make_typed(profiles.Profile),
        ),
        (
            'configuration state', make_configuration(), encode,
            fold.load_state,
        ),
        ('claims claim', claim, encode, claims._decoder.decode),
        ('claims outcome', outcome, encode, claims._decoder.decode),
        ('bills', BILL, bills.encode, make_typed(bills.Bill)),
        (
            'leases', leases.Claim('orders', 'mtl-a-1/7'), encode,
            leases._decoder.decode,
        ),
        *(
            (
                f'keyed.observations {_get_tag(o)}', o, encode,
                observations._decoder.decode,
            )
            for o in (CRASH, ANSWERED, VERDICT, LIMITS)
        ),
        ('keyed.rollouts evidence', evidence, rollout_records.encode,
         rollout_records.decode),
        ('keyed.rollouts sessions', sessions, rollout_records.encode,
         rollout_records.decode),
        (
            'keyed.readers',
            reader_records.Entry('10.0.0.1:7', 'mtl-a-1'),
            encode,
            make_typed(reader_records.Entry),
        ),
    ]  # fmt: skip
    for phase in rollout_records.Phase:
        step = rollout_records.Step(4, 'chat', 1, phase, 2.5, 0.03, 9.5)
        name = f'keyed.rollouts step {phase.value}'
        cases.append(
            (name, step, rollout_records.encode, rollout_records.decode)
        )
    return cases


def list_token_cases():
    """Return the case of a session's token, as text."""
    token = pins.Token('insurer', 'reports', {'m': '2'})
    return [
        (
            'session token',
            token,
            lambda found: pins.sign_token(found, 'secret').encode(),
            lambda raw: pins.read_token(raw.decode(), 'secret'),
        )
    ]


def list_read_cases():
    """Return cases of answers that are read only, with all fields set."""
    record = log.Record(3, 1.5, msgspec.Raw(b'{}'))
    final = engine._Final('r-1', engine.Usage(11, 22))
    listed = instances.InstanceList((INSTANCE,))
    encode = msgspec.json.encode
    return [
        (name, found, encode, make_typed(type(found)))
        for name, found in (
            ('answer of the log', log.Page(1, 4, (record,))),
            ('answer of an engine', final),
            ('answer of the instance list', listed),
            ('refusal of an engine', engine._Refusal('full', 'no')),
        )
    ]
