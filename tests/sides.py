"""Builds of the project side by side: routers, commands and a report."""

import json
import pathlib
import signal
import time

from tests import deployment
from tests import documents

ZONE = 'mtl-a'
BOOKING_PATH = '/services/visits/new'


class Report:
    """Runs checks, prints one line each and counts the results."""

    def __init__(self):
        self.failed = 0
        self.passed = 0

    async def check(self, name, run):
        """Run a check and print what it returns or raises."""
        began = time.monotonic()
        try:
            seen = await run()
        except Exception as error:
            self.failed += 1
            verdict, seen = 'failed', f'{type(error).__name__}: {error}'
        else:
            self.passed += 1
            verdict = 'passed'
        took_s = time.monotonic() - began
        print(f'{verdict}  {name} ({took_s:.1f} s): {seen}', flush=True)


def require(is_met, seen):
    """Fail the check unless a condition is met."""
    if not is_met:
        raise AssertionError(seen)


def check_tree(source, log):
    """Check that a process logged that it runs a source tree."""
    tree = f'runs {source / "arbutuschute"}\n'
    require(tree in log, f'no {tree!r} in {log[:300]}')


def find_request(bill):
    """Return a bill's request id: its own id without the organisation."""
    return bill['id'].partition('/')[2]


def make_profile(name, **fields):
    """Return a profile whose sessions start on the old version."""
    return documents.make_profile(
        name, ('rapport:1', 'rapport:2'), replacements=[
            {
                'model': 'rapport',
                'old': '1',
                'new': '2',
                'steps': [0.0001, 1.0],
                'step_s': 3600.0,
            }
        ], **fields,
    )  # fmt: skip


class Site:
    """A deployment with routers of both builds."""

    def __init__(self, deployed, sources):
        self.deployed = deployed
        self.sources = sources
        # Ids of requests, and keys whose requests share one: a bill each.
        self.sent = set()
        self.keys = set()

    async def start_basics(self):
        """Start a backend server and a service."""
        await self.deployed.start_engine('e1', ['rapport:1', 'rapport:2'])
        await self.deployed.start_service('booking')

    async def run_command(self, build, *arguments):
        """Run the operator's command of a build; return its output."""
        self.deployed.command_source = self.sources[build]
        code, out, err = await self.deployed.run_command(*arguments)
        check_tree(self.sources[build], err)
        require(code == 0, f'{arguments} ended with {code}: {out} {err}')
        return json.loads(out) if '--json' in arguments else out

    async def publish(self, build, *profiles):
        """Publish documents by a build's command; wait until in force."""
        paths = []
        for document in profiles:
            path = pathlib.Path(self.deployed.folder.name)
            path /= f'{document["name"]}.pub'
            path.write_text(json.dumps(document))
            paths.append(str(path))
        return await self.run_command(build, 'publish', *paths, '--json')

    async def publish_basics(self, build):
        """Publish the documents that all checks need."""
        return await self.publish(
            build,
            documents.make_organisation(),
            documents.make_booking(),
            make_profile('reports'),
        )

    async def start(self, build, name=None, **control):
        """Start a router of a build; wait until it is ready."""
        name = name or build
        self.deployed.sources[name] = self.sources[build]
        await self.deployed.start_router(name, ZONE, **control)
        check_tree(
            self.sources[build], self.deployed.processes[name].read_log()
        )

    async def stop(self, name):
        """Stop a router gracefully and remove it from the list."""
        process = self.deployed.processes[name]
        process.send(signal.SIGTERM)
        code = await process.wait()
        require(code == 0, f'{name} ended with {code}')
        self.deployed.listed.pop(name)
        await self.deployed.put_list()

    async def chat(self, name, profile='reports', **headers):
        """Send a request that must succeed; return its answer."""
        answer = await self.deployed.chat(name, profile, headers=headers)
        self._check(name, answer)
        self.sent.add(answer.headers['X-Request-Id'])
        return answer

    async def book(self, name, key):
        """Send a call that must run only once."""
        answer = await self.deployed.post(
            name, BOOKING_PATH, {'flue': 3}, headers={'Idempotency-Key': key}
        )
        self._check(name, answer)
        self.keys.add(key)
        return answer

    def _check(self, name, answer):
        require(answer.status == 200, f'{name}: {answer.body[:300]}')

    async def count_made(self):
        """Return the number of calls that the service has run."""
        return len(
            (await self.deployed.get_standin('booking', 'made'))['made']
        )

    async def read_bills(self, build):
        """Return the bills by a build's command."""
        return await self.run_command(build, 'bills', '--each', '--json')

    async def wait_for_bills(self, build):
        """Wait until each request has one settled bill; return the bills."""
        count = len(self.sent) + len(self.keys)
        seen = {}

        async def are_complete():
            found = await self.read_bills(build)
            ids = [find_request(bill) for bill in found]
            is_open = [
                find_request(b) for b in found if b['state'] == 'opened'
            ]
            seen.update(
                bills=len(ids), missing=self.sent - set(ids), open=is_open
            )
            require(len(ids) <= count, f'{len(ids)} bills of {count}')
            is_whole = len(set(ids)) == count and self.sent <= set(ids)
            return found if is_whole and not is_open else None

        try:
            return await deployment.wait_for(are_complete, f'{count} bills')
        except AssertionError as error:
            raise AssertionError(f'{error}; {seen}') from error
