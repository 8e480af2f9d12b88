"""A deployment of separate processes on this machine, for tests."""

import asyncio
import atexit
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import tempfile

import aiohttp

from arbutuschute.standin import cluster
from tests import documents
from tests import starting

WAIT_S = 20.0
POLL_S = 0.03
KEY = documents.KEY
REGION = 'qc-sud'
ROUTER_MODULE = os.environ.get(
    'ARBUTUSCHUTE_ROUTER_MODULE', 'arbutuschute.cli.router'
)
ROUTER_SCRIPT = 'arbutuschute-router'
FAST_CONTROL = {
    'heartbeat_s': 0.2,
    'suspect_s': 0.8,
    'lease_s': 2.0,
    'instances_s': 0.2,
    'log_timeout_s': 0.5,
    'bills_flush_s': 0.05,
    'leave_s': 0.2,
}


class Process:
    """One process; ``source`` is the source tree to run, if another."""

    def __init__(self, name, *command, source=None):
        self.name = name
        self.stderr = tempfile.TemporaryFile()  # noqa: SIM115
        arguments, options = starting.make_start(
            command, source, PYTHONUNBUFFERED='1'
        )
        if source is not None:
            options['stdout'] = self.stderr
        self.popen = subprocess.Popen(arguments, stderr=self.stderr, **options)
        # No process outlives the tests, however they end.
        atexit.register(self.popen.kill)

    def send(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def freeze(self):
        self.send(signal.SIGSTOP)

    def thaw(self):
        self.send(signal.SIGCONT)

    async def wait(self):
        await asyncio.to_thread(self.popen.wait, WAIT_S)
        return self.popen.returncode

    def read_log(self):
        # pread leaves the file position, at which the process writes.
        number = self.stderr.fileno()
        return os.pread(number, os.fstat(number).st_size, 0).decode()


async def wait_for(check, what):
    """Wait until ``check()``, plain or async, returns a true value."""
    deadline = asyncio.get_running_loop().time() + WAIT_S
    while asyncio.get_running_loop().time() < deadline:
        found = check()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        await asyncio.sleep(POLL_S)
    raise AssertionError(f'timed out waiting for: {what}')


class Deployment:
    """Platform, engines, services and routers as separate processes."""

    def __init__(self):
        self.session = None
        self.processes = {}
        self.addresses = {}
        self.settings = {}
        self.listed = {}
        self.via = {}
        # Source trees of routers by name, and of the operator's command.
        self.sources = {}
        self.command_source = None
        self.keys = cluster.make_keys()
        self.folder = tempfile.TemporaryDirectory()

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        await self.start_platform()
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.thaw()
                process.kill()
        await self.session.close()
        self.folder.cleanup()

    @property
    def platform(self):
        return self.addresses['platform']

    async def _start_standin(self, name, *command):
        (port,) = cluster.find_free_ports(1)
        self.processes[name] = Process(
            name, 'arbutuschute.cli.standin', *command, '--port', str(port)
        )
        self.addresses[name] = f'http://{cluster.HOST}:{port}'
        await wait_for(lambda: self._is_up(name), name)

    async def _is_up(self, name):
        """Return whether a stand-in responds; fail if it has exited."""
        process = self.processes[name]
        assert process.popen.poll() is None, process.read_log()
        return await self._answers(self.addresses[name])

    async def _answers(self, address):
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(address + '/anything'):
                return True

    async def start_platform(self):
        await self._start_standin('platform', 'platform')

    async def start_engine(self, name, versions, *options, zone='mtl-a'):
        await self._start_standin(
            name, 'engine', name, *versions, '--token-s', '0.005', *options
        )
        await self.list_instance(
            name=name,
            kind='engine',
            zone=zone,
            region=REGION,
            address=self.addresses[name],
            versions=list(versions),
            checks_fencing='--ignores-fencing' not in options,
        )

    async def start_service(self, name, zone='mtl-a'):
        await self._start_standin(name, 'service', name)
        await self.list_instance(
            name=name,
            kind='service',
            zone=zone,
            region=REGION,
            address=self.addresses[name],
            service=name,
        )

    async def list_instance(self, **instance):
        self.listed[instance['name']] = instance
        await self.put_list()

    async def put_list(self):
        document = {'instances': list(self.listed.values()), 'via': self.via}
        async with self.session.put(
            self.platform + '/instances', json=document
        ):
            return

    async def start_router(
        self, name, zone='mtl-a', region=REGION, wait=True, **control
    ):
        raw = self.settings.get(name) or cluster.make_settings(
            name,
            zone,
            region,
            self.platform,
            self.keys,
            **{**FAST_CONTROL, **control},
        )
        raw['logging'] = {'format': 'json', 'level': 'INFO'}
        self.settings[name] = raw
        path = pathlib.Path(self.folder.name) / f'{name}.json'
        path.write_text(json.dumps(raw))
        router_settings = cluster.read_settings(raw)
        if name not in self.listed:
            await self.list_instance(
                **cluster.describe_router(router_settings)
            )
        source = self.sources.get(name)
        command = ROUTER_SCRIPT if source else ROUTER_MODULE
        self.processes[name] = Process(name, command, str(path), source=source)
        port = raw['listen']['port']
        self.addresses[name] = f'http://{cluster.HOST}:{port}'
        if wait:
            await wait_for(lambda: self.is_live(name), f'{name} live')

    async def start_link_around(self, name):
        """Route all peer traffic of a listed router through one link."""
        others = [
            entry
            for entry in self.listed.values()
            if entry['kind'] == 'router' and entry['name'] != name
        ]
        own = self.listed[name]['peer_address']
        targets = [own, *(entry['peer_address'] for entry in others)]
        ports = cluster.find_free_ports(len(targets))
        pairs = [
            f'{port}:{target}'
            for port, target in zip(ports, targets, strict=True)
        ]
        await self._start_standin(f'link-{name}', 'link', *pairs)
        inbound = {'peer_address': f'{cluster.HOST}:{ports[0]}'}
        for entry in others:
            self.via.setdefault(entry['name'], {})[name] = inbound
        self.via[name] = {
            entry['name']: {'peer_address': f'{cluster.HOST}:{port}'}
            for entry, port in zip(others, ports[1:], strict=True)
        }
        await self.put_list()

    async def start_routers(self, *names_and_zones, **control):
        """Start routers, and wait until all are connected to one another."""
        for name, zone in names_and_zones:
            await self.start_router(name, zone, wait=False, **control)
        names = [name for name, _ in names_and_zones]
        for name in names:
            await wait_for(lambda n=name: self.is_live(n), f'{name} live')
        await self.wait_for_mesh(names)

    async def wait_for_mesh(self, names):
        """Wait until each router lists all others and none is silent."""
        for name in names:
            others = set(names) - {name}

            async def is_connected(name=name, others=others):
                status = await self.get_status(name)
                return (
                    status
                    and others <= set(status['members'])
                    and not others & set(status['silent'])
                )

            await wait_for(is_connected, f'{name} connected to {others}')

    async def is_live(self, name):
        status = await self.get_status(name)
        return status is not None and status['state'] == 'live'

    async def get_operators(self, name, path):
        port = self.settings[name]['operators']['port']
        with contextlib.suppress(aiohttp.ClientError, asyncio.TimeoutError):
            async with self.session.get(
                f'http://{cluster.HOST}:{port}/{path}',
                timeout=aiohttp.ClientTimeout(total=2),
            ) as response:
                return await response.json()

    async def get_status(self, name):
        return await self.get_operators(name, 'status')

    async def get_standin(self, name, path):
        async with self.session.get(
            f'{self.addresses[name]}/control/{path}'
        ) as response:
            return await response.json(content_type=None)

    async def set_faults(self, name, **faults):
        async with self.session.post(
            f'{self.addresses[name]}/control/faults', json=faults
        ) as response:
            assert response.status == 200

    async def post_control(self, name, path, document=None):
        async with self.session.post(
            f'{self.addresses[name]}/control/{path}', json=document or {}
        ) as response:
            assert response.status == 200

    async def run_command(self, *arguments):
        """Run the operator's command; return (exit code, output, errors)."""
        command, options = starting.make_start(
            ('arbutuschute', *arguments),
            self.command_source,
            ARBUTUSCHUTE_PLATFORM=self.platform,
        )
        process = await asyncio.create_subprocess_exec(
            *command,
            **options,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def publish(self, *documents, wait=False, based_on=None):
        """Publish documents through the operator's command."""
        paths = []
        for document in documents:
            path = pathlib.Path(self.folder.name) / f'{document["name"]}.pub'
            path.write_text(json.dumps(document))
            paths.append(str(path))
        options = ['--wait' if wait else '--no-wait', '--json']
        if based_on is not None:
            options += ['--based-on', str(based_on)]
        return await self.run_command('publish', *paths, *options)

    async def publish_basics(self, *profiles):
        """Publish one organisation and profiles that it may use."""
        code, out, err = await self.publish(
            documents.make_organisation(), *profiles
        )
        assert code == 0, out + err
        return json.loads(out)

    async def chat(self, router, profile, key=KEY, headers=None, **body):
        """Send a chat request; return the ``Answer``."""
        document = {
            'model': profile,
            'messages': [{'role': 'user', 'content': 'a flue'}],
            'max_tokens': 10,
            **body,
        }
        return await self.post(
            router, '/v1/chat/completions', document, key, headers
        )

    async def post(self, router, path, document, key=KEY, headers=None):
        try:
            async with self.session.post(
                self.addresses[router] + path,
                json=document,
                headers={'Authorization': f'Bearer {key}', **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=WAIT_S),
            ) as response:
                body = await response.read()
                return Answer(response.status, response.headers, body)
        except aiohttp.ClientError as error:
            return Answer(0, {}, str(error).encode())

    async def find_runs(self, *engines):
        """Return all runs on these engines, which must be up."""
        runs = []
        for name in engines:
            runs += (await self.get_standin(name, 'runs'))['runs']
        return runs

    async def read_bills(self):
        code, out, err = await self.run_command('bills', '--each', '--json')
        assert code == 0, err
        return json.loads(out)


class Answer:
    """A response that a caller received."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def document(self):
        return json.loads(self.body)

    @property
    def ran(self):
        """Return the member ``ran`` of a refusal: yes, no or unknown."""
        return self.document['ran']

    @property
    def text(self):
        """Return the text of a whole or streamed answer."""
        if not self.body.startswith((b'data:', b'event:')):
            return self.document['choices'][0]['message']['content']
        parts = []
        for event in self.body.split(b'\n\n'):
            if event.startswith(b'data: {') and b'delta' in event:
                document = json.loads(event[6:])
                parts.append(document['choices'][0]['delta']['content'])
        return ''.join(parts)

    @property
    def is_whole(self):
        """Return whether a streamed answer ends with the end marker."""
        return self.body.endswith(b'data: [DONE]\n\n')
