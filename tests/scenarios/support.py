"""The World of one scenario: a deployment and the answers of callers."""

import asyncio

import pytest

from tests import deployment


class World:
    """Runs coroutines of a scenario on one loop and stores the answers."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.deployed = deployment.Deployment()
        self.run(self.deployed.__aenter__())
        self.answers = []
        self.pending = []
        self.sent_requests = 0
        self.runs_before = {}
        self.sessions = {}
        self.commands = []

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def close(self):
        for task in self.pending:
            task.cancel()
        self.run(self._gather_pending())
        self.run(self.deployed.__aexit__())
        self.loop.close()

    async def _gather_pending(self):
        await asyncio.gather(*self.pending, return_exceptions=True)

    def start_caller(self, coroutine):
        """Start a caller that runs beside the next steps."""
        task = self.loop.create_task(coroutine)
        self.pending.append(task)
        self.run(asyncio.sleep(0))
        return task

    def collect_answers(self):
        """Wait for all started callers and store their answers."""
        answers = self.run(asyncio.gather(*self.pending))
        self.pending = []
        self.answers = list(answers)
        return self.answers

    def run_callers(self, *coroutines):
        """Run callers concurrently and store their answers."""
        self.answers = list(self.run(self._gather(coroutines)))
        return self.answers

    async def _gather(self, coroutines):
        return await asyncio.gather(*coroutines)

    @property
    def engines(self):
        return [
            name
            for name, entry in self.deployed.listed.items()
            if entry['kind'] == 'engine'
        ]

    @property
    def live_routers(self):
        return [
            name
            for name, entry in self.deployed.listed.items()
            if entry['kind'] == 'router'
            and self.deployed.processes[name].popen.poll() is None
        ]

    def count_runs(self, version):
        """Count the runs of a version on all engines that are running."""
        running = [
            name
            for name in self.engines
            if self.deployed.processes[name].popen.poll() is None
        ]
        runs = self.run(self.deployed.find_runs(*running))
        return sum(1 for run in runs if run['model'] == version)

    def record_runs(self):
        """Store the number of runs of each version so far."""
        versions = {
            version
            for name in self.engines
            for version in self.deployed.listed[name]['versions']
        }
        self.runs_before = {v: self.count_runs(v) for v in versions}


@pytest.fixture
def world():
    created = World()
    yield created
    created.close()


def split_list(names):
    """Split a comma-separated list of a scenario."""
    return [name.strip() for name in names.split(',')]


async def stream(deployed, router, tokens, started, headers=None):
    """Request a stream; set ``started`` at its first bytes."""
    body = b''
    document = {
        'model': 'reports',
        'messages': [{'role': 'user', 'content': 'a flue'}],
        'max_tokens': tokens,
        'stream': True,
    }
    answer_headers = {}
    status = 0
    try:
        async with deployed.session.post(
            deployed.addresses[router] + '/v1/chat/completions',
            json=document,
            headers={
                'Authorization': f'Bearer {deployment.KEY}',
                **(headers or {}),
            },
        ) as response:
            status = response.status
            answer_headers = response.headers
            async for chunk in response.content.iter_any():
                body += chunk
                started.set()
    except Exception:
        return deployment.Answer(status, answer_headers, body)
    return deployment.Answer(status, answer_headers, body)
