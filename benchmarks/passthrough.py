"""The router against a naive pass-through proxy on the same library.

Run it as ``python -m benchmarks.passthrough``; it prints JSON.
"""

import asyncio
import json
import os
import statistics
import subprocess
import sys
import time

from benchmarks import client

from arbutuschute.standin import cluster
from tests import deployment
from tests import documents

DURATION_S = 5.0
WORKERS = 24
CLIENTS = 2
LONE_REQUESTS = 200
ENGINES = ('e1', 'e2', 'e3')
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
TARGETS = {
    'requests_ratio': 0.5,
    'lone_extra_ms': 2.0,
    'tokens_per_core_s': 56_000,
}


def read_cpu_s(pid):
    """Return the CPU seconds that a process has used."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def load(url, body, workers=WORKERS):
    """Load a server from several client processes; return summed counts."""
    started = [
        await asyncio.create_subprocess_exec(
            sys.executable, '-m', 'benchmarks.client', url, deployment.KEY,
            str(workers), str(DURATION_S), json.dumps(body),
            stdout=subprocess.PIPE,
        )
        for _ in range(CLIENTS)
    ]  # fmt: skip
    outputs = [(await process.communicate())[0] for process in started]
    sums = {}
    for output in outputs:
        for name, count in json.loads(output).items():
            sums[name] = sums.get(name, 0) + count
    return sums


async def measure(url, pid, body, workers=WORKERS):
    """Return the server's rates per second and per CPU second."""
    cpu_s, began = read_cpu_s(pid), time.monotonic()
    sums = await load(url, body, workers)
    cpu_s = read_cpu_s(pid) - cpu_s
    took_s = time.monotonic() - began
    return {
        'requests_per_s': round(sums['requests'] / DURATION_S, 1),
        'requests_per_core_s': round(sums['requests'] / cpu_s, 1),
        'tokens_per_s': round(sums['tokens'] / DURATION_S, 1),
        'tokens_per_core_s': round(sums['tokens'] / cpu_s, 1),
        'busy': round(cpu_s / took_s, 2),
        'failed': sums['failed'],
    }


def make_body(**fields):
    """Return a chat request of a typical size."""
    return {
        'model': 'reports',
        'messages': [{'role': 'user', 'content': 'a flue ' * 50}],
        'max_tokens': 1,
        **fields,
    }


async def start(deployed):
    """Start engines without delays, three routers and the baseline."""
    for name in ENGINES:
        await deployed.start_engine(
            name, ['rapport:1'], '--token-s', '0', '--first-token-s', '0',
            '--slots', '1000',
        )  # fmt: skip
    limits = {'in_flight': 1000}
    await deployed.publish_basics(documents.make_profile(limits=limits))
    await deployed.start_routers(
        ('r1', 'mtl-a'), ('r2', 'sherbrooke-a'), ('r3', 'rimouski-a'),
        heartbeat_s=1.0, suspect_s=4.0, lease_s=10.0, instances_s=1.0,
    )  # fmt: skip
    (port,) = cluster.find_free_ports(1)
    naive = deployment.Process(
        'naive', 'benchmarks.naive', str(port), deployed.addresses['e1']
    )
    deployed.processes['naive'] = naive
    address = f'http://127.0.0.1:{port}'
    await deployment.wait_for(lambda: deployed._answers(address), 'naive')
    return {
        'ours': (deployed.addresses['r1'], deployed.processes['r1']),
        'naive': (address, naive),
    }


async def main():
    """Measure all and print one JSON document."""
    async with deployment.Deployment() as deployed:
        servers = await start(deployed)
        urls = {
            name: address + '/v1/chat/completions'
            for name, (address, _) in servers.items()
        }
        naive_body = make_body(model='rapport:1')
        bodies = {'ours': make_body(), 'naive': naive_body}
        results = {'whole': {}, 'burst': {}, 'single': {}}
        for name, (_, process) in servers.items():
            results['whole'][name] = await measure(
                urls[name], process.popen.pid, bodies[name]
            )
            stream = {**bodies[name], 'stream': True, 'max_tokens': 2000}
            results['burst'][name] = await measure(
                urls[name], process.popen.pid, stream
            )
            stream['max_tokens'] = 100
            results['single'][name] = await measure(
                urls[name], process.popen.pid, {**stream, 'burst': 1}
            )
        results['lone_ms'] = await measure_lone(deployed, urls, bodies)
        print(json.dumps(summarize(results), indent=2))


async def measure_lone(deployed, urls, bodies):
    """Return median milliseconds of lone requests to both servers."""
    times = {name: [] for name in urls}
    for _ in range(LONE_REQUESTS):
        for name, url in urls.items():
            raw = json.dumps(bodies[name]).encode()
            began = time.perf_counter()
            _, ok = await client.send(
                deployed.session, url, deployment.KEY, raw
            )
            assert ok
            times[name].append((time.perf_counter() - began) * 1000)
    return {
        name: round(statistics.median(found), 3)
        for name, found in times.items()
    }


def summarize(results):
    """Return the results with the targets' figures and which are met."""
    whole, lone = results['whole'], results['lone_ms']
    figures = {
        'requests_ratio': round(
            whole['ours']['requests_per_core_s']
            / whole['naive']['requests_per_core_s'],
            3,
        ),
        'lone_extra_ms': round(lone['ours'] - lone['naive'], 3),
        'tokens_per_core_s': results['burst']['ours']['tokens_per_core_s'],
    }
    met = {
        'requests_ratio': figures['requests_ratio']
        >= TARGETS['requests_ratio'],
        'lone_extra_ms': figures['lone_extra_ms'] <= TARGETS['lone_extra_ms'],
        'tokens_per_core_s': figures['tokens_per_core_s']
        >= TARGETS['tokens_per_core_s'],
    }
    return {**results, 'figures': figures, 'targets': TARGETS, 'met': met}


if __name__ == '__main__':
    asyncio.run(main())
