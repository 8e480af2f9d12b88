"""A demonstration: example requests of both deployments and their bills."""

import asyncio
import pathlib

import click

from arbutuschute.cli import output
from arbutuschute import connections
from arbutuschute.contracts import changes
from arbutuschute.contracts import profiles
from arbutuschute import daemon
from arbutuschute import documents
from arbutuschute import operator_client
from arbutuschute.standin import cluster as cluster_module

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
BILLS_TIMEOUT_S = 3.0
ENGINES = (
    ('rapport-1', 'mtl-a', ('rapport:2026-09', 'rapport-petit:2026-09')),
    ('rapport-2', 'sherbrooke-a', ('rapport:2026-11',)),
    ('etiqueta-1', 'mtl-a', ('etiqueta:7',)),
)
REQUESTS = (
    {
        'what': 'draft a report',
        'key': 'example-key-dispatch',
        'path': '/v1/chat/completions',
        'headers': {'X-Class': 'certificate', 'X-Session': 'report-4711'},
        'json': {
            'model': 'inspection-reports',
            'stream': True,
            'max_tokens': 12,
            'messages': [
                {'role': 'user', 'content': 'Draft: flue 3, soot, no leak.'}
            ],
        },
    },
    {
        'what': 'summarize notes',
        'key': 'example-key-insurer',
        'path': '/v1/chat/completions',
        'headers': {'X-Class': 'summary'},
        'json': {
            'model': 'inspection-reports',
            'max_tokens': 8,
            'messages': [
                {'role': 'user', 'content': 'Summarize: damper stuck open.'}
            ],
        },
    },
    {
        'what': 'book a visit',
        'key': 'example-key-dispatch',
        'path': '/services/site-visits/bookings',
        'headers': {'Idempotency-Key': 'visit-flue-3'},
        'json': {'address': '12, rue des Tuyaux', 'day': '2026-12-14'},
    },
    {
        'what': 'book it again',
        'key': 'example-key-dispatch',
        'path': '/services/site-visits/bookings',
        'headers': {'Idempotency-Key': 'visit-flue-3'},
        'json': {'address': '12, rue des Tuyaux', 'day': '2026-12-14'},
    },
    {
        'what': 'print a pallet label',
        'key': 'example-key-cooperative',
        'path': '/v1/chat/completions',
        'headers': {'Idempotency-Key': 'pallet-881', 'X-Class': 'tag'},
        'json': {
            'model': 'pallet-labels',
            'max_tokens': 6,
            'messages': [{'role': 'user', 'content': 'Lot 881, arveja.'}],
        },
    },
    {
        'what': 'use a profile not allowed',
        'key': 'example-key-cooperative',
        'path': '/v1/chat/completions',
        'headers': {},
        'json': {'model': 'inspection-reports', 'messages': []},
    },
)


async def run(serve):
    """Run the demonstration; with ``serve``, keep serving afterwards."""
    cluster = cluster_module.Cluster()
    settings = await _start_stand_ins(cluster)
    router = daemon.Router(settings, asyncio.get_running_loop())
    async with connections.make_session() as session:
        client = operator_client.OperatorClient(
            session, cluster.platform_address
        )
        await _publish_examples(client)
        await router.start()
        base = f'http://{settings.listen.host}:{settings.listen.port}'
        rows = [await _send(session, base, request) for request in REQUESTS]
        output.print_table('Requests', rows)
        await _show_bills(client, 4)
        await _show_histograms(client)
        if serve:
            await _serve_on(base, cluster.platform_address)
    await router.stop()
    await cluster.close()


async def _start_stand_ins(cluster):
    await cluster.start_platform()
    for name, zone, versions in ENGINES:
        await cluster.start_engine(name, zone, 'qc-sud', versions)
    await cluster.start_service('booking', 'mtl-a', 'qc-sud')
    raw = cluster_module.make_settings(
        'mtl-a-1',
        'mtl-a',
        'qc-sud',
        cluster.platform_address,
        cluster_module.make_keys(),
        leave_s=0.05,
    )
    settings = cluster_module.read_settings(raw)
    cluster.list_router(settings)
    return settings


async def _publish_examples(client):
    for path in sorted(EXAMPLES.glob('*/*.json')):
        raw = documents.read_json(path).unwrap()
        if 'key_hash' in raw:
            change = changes.PublishOrganisation(
                id=operator_client.make_id(),
                document=profiles.check_organisation(raw).unwrap(),
                based_on=-1,
            )
        else:
            change = changes.PublishProfile(
                id=operator_client.make_id(),
                document=profiles.check_profile(raw).unwrap(),
                based_on=-1,
            )
        (await client.apply_change(change)).unwrap()


async def _send(session, base, request):
    """Send one example request; return the table row of its answer."""
    async with session.post(
        base + request['path'],
        json=request['json'],
        headers={
            'Authorization': f'Bearer {request["key"]}',
            **request['headers'],
        },
    ) as response:
        text = await response.text()
        headers = response.headers
    return {
        'request': request['what'],
        'status': response.status,
        'version': ':'.join(
            headers[name] for name in ('X-Model', 'X-Version')
            if name in headers
        ),
        'server': headers.get('X-Backend-Server'),
        'replayed': headers.get('X-Replayed'),
        'answer': text.replace('\n', ' ')[-46:].strip(),
    }  # fmt: skip


async def _show_bills(client, expected):
    """Print the bills once ``expected`` of them are in the log."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + BILLS_TIMEOUT_S
    bills = {}
    while len(bills) < expected and loop.time() < deadline:
        bills = (await client.read_bills()).value_or({})
        await asyncio.sleep(operator_client.POLL_PERIOD_S)
    output.print_table('Bills', operator_client.sum_bills(bills))


async def _show_histograms(client):
    answers = (await client.query_routers('histograms')).unwrap()
    rows = [
        {'measure': measure, **summary}
        for answer in answers.values()
        for measure, summary in answer.items()
    ]
    output.print_table('Latency, milliseconds', rows)


async def _serve_on(base, platform_address):
    click.echo(f'Callers:  {base}')
    click.echo(f'Platform: export ARBUTUSCHUTE_PLATFORM={platform_address}')
    click.echo('Interrupt to stop.')
    await asyncio.Event().wait()
