"""The whole request path through separate processes, and invalid input."""

import json
import pathlib
import subprocess

import pytest

from tests import deployment
from tests import documents

TEN_TOKENS = 10
EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'


async def start_small(deployed, *profiles):
    await deployed.start_engine('e1', ['rapport:1'])
    await deployed.start_service('booking')
    await deployed.publish_basics(
        *(profiles or (documents.make_profile(), documents.make_booking()))
    )
    await deployed.start_router('r1')


async def test_request_crosses_separate_processes(deployed):
    await start_small(deployed)
    whole = await deployed.chat('r1', 'reports')
    streamed = await deployed.chat('r1', 'reports', stream=True)
    booked = await deployed.post(
        'r1', '/services/visits/new', {'day': 1}, headers={
            'Idempotency-Key': 'a'
        },
    )  # fmt: skip
    assert (whole.status, streamed.status, booked.status) == (200, 200, 200)
    assert len(whole.text.split()) == TEN_TOKENS
    assert streamed.is_whole and len(streamed.text.split()) == TEN_TOKENS
    assert whole.headers['X-Version'] == '1'
    found = subprocess.run(
        ['pgrep', '-f', 'arbutuschute.cli'], capture_output=True, check=True
    )
    started = {str(p.popen.pid) for p in deployed.processes.values()}
    assert started <= set(found.stdout.decode().split())
    assert len(started) == 4

    async def billed():
        return len(await deployed.read_bills()) == 3

    await deployment.wait_for(billed, 'three bills')
    histograms = await deployed.get_operators('r1', 'histograms')
    assert histograms['total_ms.organisation.ventilex']['count'] == 3
    assert histograms['total_ms.class.default']['count'] == 3


BAD_REQUESTS = [
    ({'model': 'nothing', 'messages': []}, {}, 'unknown-profile'),
    ({'model': 'visits', 'messages': []}, {}, 'unknown-profile'),
    ({'model': 'reports/foreign', 'messages': []}, {}, 'model-not-allowed'),
    ({'model': 'reports'}, {}, 'broken-body'),
    ({'model': 'reports', 'messages': [], 'max_tokens': 10**9}, {},
     'broken-body'),
    ({'model': 'reports', 'messages': []}, {'Authorization': 'Bearer no'},
     'unknown-key'),
    ({'model': 'reports', 'messages': []}, {'Authorization': ''},
     'unknown-key'),
    ({'model': 'reports', 'messages': []}, {'X-Class': 'none'},
     'broken-header'),
    ({'model': 'reports', 'messages': []}, {'X-Deadline-Ms': '-5'},
     'broken-header'),
    ({'model': 'reports', 'messages': []}, {'X-Session-Token': 'v1.a.b'},
     'broken-header'),
    ({'model': 'reports', 'messages': ['x' * 200_000]}, {}, 'body-too-large'),
]  # fmt: skip


async def test_bad_input_is_refused_by_type_and_the_router_goes_on(deployed):
    limits = {'body_bytes': 100_000}
    await start_small(
        deployed,
        documents.make_profile(limits=limits),
        documents.make_booking(),
    )
    for document, headers, code in BAD_REQUESTS:
        answer = await deployed.post(
            'r1', '/v1/chat/completions', document, headers=headers
        )
        assert answer.document['code'] == code, document
        assert answer.ran == 'no'
        assert answer.headers['Content-Type'].startswith(
            'application/problem+json'
        )
    async with deployed.session.post(
        deployed.addresses['r1'] + '/v1/chat/completions',
        data=b'{"model": "reports"',
        headers={'Authorization': f'Bearer {deployment.KEY}'},
    ) as response:
        assert (await response.json(content_type=None))['code'] == (
            'broken-body'
        )
    answer = await deployed.post('r1', '/services/visits/new', {})
    assert answer.document['code'] == 'missing-idempotency-key'
    assert (await deployed.chat('r1', 'reports')).status == 200
    assert len(await deployed.find_runs('e1')) == 1


async def test_foreign_organisation_is_refused(deployed):
    await start_small(deployed)
    await deployed.publish(documents.make_organisation('other', 'other-key'))

    async def refused():
        answer = await deployed.chat('r1', 'reports', key='other-key')
        return answer.document['code'] == 'profile-not-allowed'

    await deployment.wait_for(refused, 'typed refusal')
    assert await deployed.find_runs('e1') == []


async def test_examples_are_valid(deployed):
    files = sorted(map(str, EXAMPLES.glob('*/*.json')))
    assert len(files) == 6
    code, out, err = await deployed.run_command('check', *files)
    assert code == 0, err
    assert out.count('is valid') == len(files)
    settings = str(EXAMPLES / 'settings.json')
    process = deployment.Process(
        'r', 'arbutuschute.cli.router', settings, '--check'
    )
    assert await process.wait() == 0


async def test_broken_settings_name_every_fault_by_its_path(
    deployed, tmp_path
):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({
        'name': 'Has Blanks', 'listen': {'host': '127.0.0.1', 'port': 99999},
        'unheard': 1,
    }))  # fmt: skip
    process = deployment.Process('r', 'arbutuschute.cli.router', str(path))
    assert await process.wait() == 3
    log = process.read_log()
    for fault_path in ('$.name', '$.listen.port', '$.unheard', '$.zone'):
        assert fault_path in log


@pytest.mark.parametrize(
    ('change', 'fault'),
    [
        (
            {
                'replacements': [
                    {'model': 'rapport', 'old': '1', 'new': '2'},
                    {'model': 'rapport', 'old': '2', 'new': '1'},
                ]
            },
            'no cycle in replacements, got 1 -> 2 -> 1',
        ),
        (
            {'replacements': [{'model': 'rapport', 'old': '1', 'new': '9'}]},
            'rapport:9',
        ),
        ({'service': 'booking'}, 'either versions or a service'),
        (
            {
                'cascade': {
                    'cheap': 'none',
                    'dear': 'rapport',
                    'quality_target': 0.9,
                }
            },
            'got none',
        ),
        ({'organisations': []}, '$.organisations'),
        ({'classes': {'a': {'priority': 12}}}, 'priority'),
    ],
)
async def test_broken_profile_is_refused_before_and_by_publish(
    deployed, tmp_path, change, fault
):
    document = documents.make_profile(
        versions=('rapport:1', 'rapport:2'), **change
    )
    path = tmp_path / 'profile.json'
    path.write_text(json.dumps(document))
    code, _, err = await deployed.run_command('check', str(path))
    assert code == 3
    assert fault in err
    code, out, _ = await deployed.publish(document)
    assert code == 3
    assert fault in out
