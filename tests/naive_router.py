"""A naive router that breaks each promise in at least one scenario.

It reads the same settings and uses the same formats, so that the same
scenarios run against it. The last writer wins, a copy of the configuration
never expires, everything is retried, a bill is appended only after the
answer, and a stop cuts off open requests.
"""

import asyncio
import hashlib
import itertools
import json
import random
import sys
import uuid

import aiohttp
from aiohttp import web
import msgspec

POLL_S = 0.2
ATTEMPTS = 3
TIMEOUT = aiohttp.ClientTimeout(total=10, sock_connect=1)
LOG_TIMEOUT = aiohttp.ClientTimeout(total=1)


class NaiveRouter:
    def __init__(self, settings):
        self.settings = settings
        self.name = settings['name']
        self.platform = settings['platform']['log']
        self.profiles = {}
        self.organisations = {}
        self.withdrawn = set()
        self.steps = {}
        self.offset = -1
        self.position = 0
        self.instances = []
        self.turn = itertools.count()
        self.session = None

    async def start(self):
        self.session = aiohttp.ClientSession()
        await self.poll()
        asyncio.ensure_future(self.poll_periodically())

    async def poll_periodically(self):
        while True:
            await asyncio.sleep(POLL_S)
            await self.poll()

    async def poll(self):
        try:
            self.instances = await self.get('/instances', 'instances')
            url = f'/log/configuration?from={self.position}&limit=1000'
            for record in await self.get(url, 'records'):
                self.position = record['offset'] + 1
                self.offset = record['offset']
                for entry in record['value']['entries']:
                    self.apply(entry)
        except (aiohttp.ClientError, asyncio.TimeoutError, KeyError):
            return

    async def get(self, path, member):
        async with self.session.get(
            self.platform + path,
            headers={'X-Instance': self.name},
            timeout=LOG_TIMEOUT,
        ) as response:
            response.raise_for_status()
            return (await response.json(content_type=None))[member]

    def apply(self, entry):
        kind = entry['kind']
        if kind == 'publish-profile':
            self.profiles[entry['document']['name']] = entry['document']
        elif kind == 'publish-organisation':
            document = entry['document']
            self.organisations[document['key_hash']] = document['name']
        elif kind == 'withdraw-version':
            self.withdrawn.add((entry['model'], entry['version']))
        elif kind == 'advance-rollout':
            self.steps[entry['profile']] = entry['step']

    def choose_version(self, profile):
        allowed = [(v['model'], v['version']) for v in profile['versions']]
        for rule in profile.get('replacements', ()):
            step = self.steps.get(profile['name'], 0)
            if random.random() < rule['steps'][step]:
                allowed = [(rule['model'], rule['new'])]
        usable = [v for v in allowed if v not in self.withdrawn]
        return usable[0] if usable else None

    def list_servers(self, profile, version):
        found = [
            entry
            for entry in self.instances
            if entry['kind'] != 'router'
            and entry.get('state', 'live') == 'live'
            and (
                entry.get('service') == profile['service']
                if profile.get('service')
                else ':'.join(version) in entry.get('versions', ())
            )
        ]
        start = next(self.turn)
        return [found[(start + i) % len(found)] for i in range(len(found))]

    async def handle(self, request):
        raw = await request.read()
        key = request.headers.get('Authorization', '').removeprefix('Bearer ')
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        organisation = self.organisations.get(key_hash)
        name = request.match_info.get('name')
        body = json.loads(raw)
        profile = self.profiles.get(name or body['model'])
        if organisation is None or profile is None:
            return self.refuse('unknown-profile')
        version = None
        path = '/' + request.match_info.get('path', '')
        if not profile.get('service'):
            version = self.choose_version(profile)
            if version is None:
                return self.refuse('no-allowed-version')
            body['model'] = ':'.join(version)
            path = '/v1/chat/completions'
        servers = self.list_servers(profile, version)
        for server in (servers * ATTEMPTS)[:ATTEMPTS]:
            answer = await self.attempt(request, server, path, body, version)
            if answer is not None:
                await self.bill(organisation, profile, version)
                return answer
        return self.refuse('all-failed')

    async def attempt(self, request, server, path, body, version):
        headers = {'X-Request-Id': uuid.uuid4().hex}
        try:
            async with self.session.post(
                server['address'] + path,
                json=body,
                headers=headers,
                timeout=TIMEOUT,
            ) as answer:
                if answer.status >= 500:
                    return None
                if version:
                    headers['X-Model'], headers['X-Version'] = version
                if not body.get('stream'):
                    return web.Response(
                        body=await answer.read(),
                        headers=headers,
                        content_type='application/json',
                    )
                response = web.StreamResponse(headers=headers)
                await response.prepare(request)
                async for chunk in answer.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
                return response
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def bill(self, organisation, profile, version):
        while True:
            entry = {
                'id': uuid.uuid4().hex,
                'organisation': organisation,
                'profile': profile['name'],
                'model': version[0] if version else '',
                'version': version[1] if version else '',
                'instance': self.name,
                'state': 2,
            }
            try:
                async with self.session.post(
                    self.platform + '/log/bills',
                    json={'entries': [entry]},
                    timeout=LOG_TIMEOUT,
                ) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(POLL_S)

    def refuse(self, code):
        return web.json_response({'code': code, 'ran': 'no'}, status=503)

    async def handle_status(self, request):
        state = [self.profiles, self.organisations, sorted(self.withdrawn)]
        others = [
            entry['name']
            for entry in self.instances
            if entry['kind'] == 'router' and entry['name'] != self.name
        ]
        leaving = [
            entry['name']
            for entry in self.instances
            if entry.get('state') == 'leaving'
        ]
        return web.json_response(
            {
                'instance': self.name,
                'state': 'live',
                'offset': self.offset,
                'digest': hashlib.sha256(
                    msgspec.json.encode(state, order='deterministic')
                ).hexdigest(),
                'peers': others,
                'members': others,
                'silent': [],
                'leaving_servers': leaving,
            }
        )


async def main(path):
    with open(path, encoding='utf-8') as file:
        settings = json.load(file)
    router = NaiveRouter(settings)
    await router.start()
    for setting, routes in (
        (
            'listen',
            [
                web.post('/v1/chat/completions', router.handle),
                web.post('/services/{name}/{path:.*}', router.handle),
            ],
        ),
        ('operators', [web.get('/status', router.handle_status)]),
    ):
        app = web.Application()
        app.add_routes(routes)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        address = settings[setting]
        await web.TCPSite(runner, address['host'], address['port']).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
