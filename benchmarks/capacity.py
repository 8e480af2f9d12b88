"""Figures for docs/CAPACITY.md, measured with real processes.

Run it as ``python -m benchmarks.capacity [quick]``; it prints JSON.
"""

import asyncio
import json
import os
import random
import sys
import time

from benchmarks import passthrough
import msgspec

from arbutuschute.contracts import fold
from arbutuschute.contracts import profiles
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import pins
from arbutuschute.machines import fleet
from arbutuschute.machines import instances
from arbutuschute import messages
from arbutuschute.policy import choice
from arbutuschute.policy import pace
from arbutuschute.policy import rollout
from tests import deployment
from tests import documents

WATCH_S = 10.0
FLEETS = ((2, 2), (4, 4), (12, 5), (20, 3))
ENGINES = (0, 24)
CHANGES = 40
PAGE_KB = os.sysconf('SC_PAGE_SIZE') / 1024
STEADY = {
    'heartbeat_s': 1.0, 'suspect_s': 4.0, 'lease_s': 10.0,
    'instances_s': 1.0, 'log_timeout_s': 2.0, 'bills_flush_s': 0.25,
}  # fmt: skip


def read_resident_kb(pid):
    """Return the resident memory of a process, in KiB."""
    with open(f'/proc/{pid}/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * PAGE_KB


async def watch_idle(deployed, names):
    """Return the CPU share, peer traffic and memory of idle routers."""

    async def read():
        found = {}
        for name in names:
            pid = deployed.processes[name].popen.pid
            status = await deployed.get_status(name)
            counters = status['counters']
            found[name] = (
                passthrough.read_cpu_s(pid),
                counters.get('peers.bytes_in', 0),
                counters.get('peers.bytes_out', 0),
                read_resident_kb(pid),
                len(status['peers']),
            )
        return found

    before = await read()
    began = time.monotonic()
    await asyncio.sleep(WATCH_S)
    after = await read()
    took_s = time.monotonic() - began
    rows = []
    for name in names:
        first, last = before[name], after[name]
        rows.append(
            {
                'neighbours': last[4],
                'cpu_percent': 100 * (last[0] - first[0]) / took_s,
                'bytes_in_s': (last[1] - first[1]) / took_s,
                'bytes_out_s': (last[2] - first[2]) / took_s,
                'resident_mb': last[3] / 1024,
            }
        )
    rows.sort(key=lambda row: row['neighbours'])
    return rows


async def measure_fleet(zones, per_zone, engines=0):
    """Return the idle cost of a fleet's routers: least, most and mean.

    The least and the most are by the number of connected routers.
    """
    async with deployment.Deployment() as deployed:
        await deployed.publish_basics(documents.make_profile())
        for number in range(engines):
            name = f'e{number}'
            await deployed.start_engine(name, ['rapport:1'])
        names = []
        for zone in range(zones):
            for number in range(per_zone):
                name = f'r{zone}-{number}'
                names.append(name)
                await deployed.start_router(
                    name, f'z{zone}', wait=False, **STEADY
                )
        for name in names:
            await deployment.wait_for(
                lambda name=name: deployed.is_live(name), name
            )
        await asyncio.sleep(6.0)
        rows = await watch_idle(deployed, names)
        return {
            'routers': zones * per_zone,
            'zones': zones,
            'engines': engines,
            'least': _round(rows[0]),
            'most': _round(rows[-1]),
            'mean': _round(
                {
                    key: sum(row[key] for row in rows) / len(rows)
                    for key in rows[0]
                }
            ),
        }


async def measure_in_force():
    """Return the seconds from publication until in force everywhere."""
    async with deployment.Deployment() as deployed:
        await deployed.publish_basics(documents.make_profile())
        names = [(f'r{n}', f'z{n % 3}') for n in range(7)]
        await deployed.start_routers(*names, **STEADY)
        times = []
        offset = 1
        for number in range(CHANGES):
            document = documents.make_profile(
                limits={'in_flight': 10 + number}
            )
            change = {
                'kind': 'publish-profile',
                'id': f'bench-{number}',
                'document': document,
                'based_on': offset,
            }
            began = time.monotonic()
            async with deployed.session.post(
                deployed.platform + '/log/configuration',
                data=json.dumps({'entries': [change]}),
            ) as response:
                offset = (await response.json())['offset']
            for name, _ in names:
                while True:
                    status = await deployed.get_status(name)
                    if status['offset'] >= offset:
                        break
            times.append(time.monotonic() - began)
        times.sort()
        return {
            'changes': CHANGES,
            'routers': len(names),
            'median_s': round(times[len(times) // 2], 4),
            'worst_s': round(times[-1], 4),
        }


def _round(row):
    return {key: round(value, 2) for key, value in row.items()}


def time_per_call_us(call, count):
    """Return microseconds per call of ``act(number)``."""
    began = time.perf_counter()
    for number in range(count):
        call(number)
    return round((time.perf_counter() - began) / count * 1e6, 2)


def measure_objects():
    """Return the encoded size in bytes of one object of each kind."""
    profile = profiles.check_profile(
        documents.make_profile(
            versions=tuple(f'm{i}:{v}' for i in range(6) for v in (1, 2))
        )
    ).unwrap()
    publication = fold.changes.PublishProfile(
        id='x' * 32, document=profile, based_on=-1
    )
    bill = bills.Bill(
        'organisation/r1-1796363231555-1234567', 'organisation', 'profile',
        'model', 'version', 'r1/1796363231555', bills.State.CLOSED,
        'answered', 100, 200, 0.4,
    )  # fmt: skip
    heartbeat = messages.Heartbeat(
        sender='region-zone-12', incarnation=1796363231555, zone='zone-12',
        region='region-1', state='live', sent_at=12345.678, echo=12344.1,
        offset=123456, confirmed_age_s=0.5, in_flight=27,
    )  # fmt: skip
    report = messages.LoadReport('engine-1234', 20, 3, 32, 0.25)
    claim = claims.Claim('r1-1796363231555-12', 'organisation', 'k' * 36,
                         'f' * 64, 'r1')  # fmt: skip
    return {
        'configuration_record_bytes': len(msgspec.json.encode(publication)),
        'bill_in_log_bytes': len(bills.encode(bill)),
        'bill_at_keeper_bytes': len(bills.pack(bill)),
        'heartbeat_bytes': len(messages.encode(heartbeat)),
        'load_report_bytes': len(msgspec.msgpack.encode(report)),
        'claim_in_log_bytes': len(msgspec.json.encode(claim)),
        'session_token_bytes': len(
            pins.sign_token(
                pins.Token('organisation', 'profile', {'model': 'version'}),
                'secret' * 4,
            )
        ),
    }


def measure_memory():
    """Return bytes per object held, from the growth of resident memory."""
    found = {}
    count = 100_000

    def grow(name, make):
        before = read_resident_kb(os.getpid())
        held = [make(number) for number in range(count)]
        grown_kb = read_resident_kb(os.getpid()) - before
        found[name] = round(grown_kb * 1024 / count)
        return held

    claim_table = claims.Claims(1e9)

    def add_claim(number):
        entry = claims.Claim(
            f'r1-1796363231555-{number}', 'organisation', f'key-{number:032}',
            f'{number:064}', 'r1',
        )  # fmt: skip
        claim_table.apply_entry(msgspec.json.encode(entry), 0.0)

    replicas = bills.BillReplicas()

    def add_bill(number):
        bill = bills.Bill(
            f'organisation/r1-1796363231555-{number}', 'organisation',
            'profile', 'model', 'version', 'r1/1796363231555',
        )  # fmt: skip
        replicas.store(('r1', 1), (bills.pack(bill),), (), 0.0)

    pin_table = pins.Pins(
        ('r1', 1), lambda *_: True, lambda _: ['r1'], lambda *_: True
    )

    def add_pin(number):
        pin_table.decide(f'organisation\nprofile\nmodel\ns{number:032}', '1')

    keep_alive = [
        grow('claim_bytes', add_claim),
        grow('kept_bill_bytes', add_bill),
        grow('pin_bytes', add_pin),
    ]
    return found if keep_alive else {}


def measure_decisions():
    """Return microseconds per decision in a fleet of the design size."""

    servers = []
    for number in range(1200):
        server = fleet.BackendServer(
            instances.Instance(
                f'e{number}', 'engine', 'z', 'g', versions=('m:1',)
            )
        )
        server.load = fleet.Load(number % 30, 0, 32, 0.0, number % 30)
        servers.append(server)
    populated_fleet = fleet.Fleet()
    populated_fleet.servers = {server.name: server for server in servers}
    populated_fleet._index_offers()
    no_pace = pace.Pace()
    rng = random.Random(1)
    profile = profiles.check_profile(
        documents.make_profile(versions=('m:1', 'm:2'))
    ).unwrap()
    state = fold.Configuration()
    claim_table = claims.Claims(1e9)
    raw_claims = [
        msgspec.json.encode(
            claims.Claim(f'id{n}', 'organisation', f'k{n}', 'f' * 64, 'r1')
        )
        for n in range(20_000)
    ]

    def choose(_):
        found = populated_fleet.find_version('m', '1')
        choice.choose_server(found, no_pace, rng, lambda s: s.is_open(0.0))

    listed = [
        {
            'name': f'engine-{n}', 'kind': 'engine', 'zone': f'zone-{n % 25}',
            'region': f'region-{n % 7}', 'address': 'http://10.0.0.1:8000',
            'versions': ['model-a:2026-09', 'model-a:2026-11'],
        }
        for n in range(1610)
    ]  # fmt: skip
    raw_list = msgspec.json.encode({'instances': listed})
    updated_fleet = fleet.Fleet()

    def replace_list(_):
        found = msgspec.json.decode(raw_list, type=instances.InstanceList)
        updated_fleet.replace_instances(found.instances)

    return {
        'instance_list_bytes': len(raw_list),
        'take_instance_list_us': time_per_call_us(replace_list, 50),
        'choose_server_of_1200_us': time_per_call_us(choose, 2000),
        'choose_version_us': time_per_call_us(
            lambda n: rollout.choose_version(profile, 'm', state, str(n)),
            20_000,
        ),
        'fold_claim_us': time_per_call_us(
            lambda n: claim_table.apply_entry(raw_claims[n], 0.0), 20_000
        ),
    }


async def main():
    """Measure all and print one JSON document."""
    quick = 'quick' in sys.argv
    fleets = FLEETS[:2] if quick else FLEETS
    results = {
        'objects': measure_objects(),
        'memory': measure_memory(),
        'decisions': measure_decisions(),
        'in_force': await measure_in_force(),
        'idle': [await measure_fleet(*shape) for shape in fleets],
        'engines': [await measure_fleet(1, 2, n) for n in ENGINES],
    }
    print(json.dumps(results, indent=1))


if __name__ == '__main__':
    asyncio.run(main())
