"""Requests served without a network: scripted servers, a clock of the test."""

import contextlib

from arbutuschute.machines import observations
from arbutuschute.machines import servers
from arbutuschute.platform import settings
from arbutuschute.policy import costs
from arbutuschute.policy import retry_budget
from arbutuschute import timer
from arbutuschute.traffic import answers
from arbutuschute.traffic import handler
from arbutuschute.zones import rendezvous
from tests import test_explanation

EVENT = b'id: 1\ndata: word\n\n'


class Reply:
    """Collects what a caller gets."""

    def __init__(self):
        self.answer_sent = None

    async def start(self, head):
        pass

    async def write(self, data):
        pass

    async def end(self):
        pass

    async def answer(self, answer):
        self.answer_sent = answer


class Attempt:
    """A stream of one event, during which ``run()`` is called."""

    def __init__(self, run):
        self.head = answers.Head(200, ())
        self._run = run
        self._chunks = [EVENT]

    async def read(self):
        if self._chunks:
            return self._chunks.pop()
        self._run()
        return b''


class Side:
    """One instance with servers of several versions."""

    def __init__(self, versions=('v1',)):
        self.environment = test_explanation.make_environment(names=())
        self.clock = self.environment.now
        observations.build(
            self.environment, timer.VirtualTimer(), 'r', lambda _: None,
            lambda _: 1,
        )  # fmt: skip
        self.environment.retry_budget = retry_budget.RetryBudget(
            self.clock, settings.Bounds()
        )
        self.environment.costs = costs.Costs()
        self.environment.open_attempt = self._open
        self._run = lambda: None
        self.chosen = []
        for version in versions:
            self.list_server(version)

    def list_server(self, version):
        """List a server that runs ``version``."""
        entry = servers.Entry(
            f'i-{version}', 's', '10.0.0.1:1', 'a', version, 8, 'live'
        )
        self.environment.directory.apply(entry)

    def order(self, order):
        """Apply an operator's order, and list a server of its version."""
        self.environment.rollouts.apply_order(order)
        self.list_server(order.version)

    @contextlib.asynccontextmanager
    async def _open(self, server, request, left_s, last_event_id=None):
        self.chosen.append(server.entry.version)
        yield Attempt(self._run)

    async def serve(self, session, run=lambda: None):
        """Serve a request; return the version that it ran on.

        ``run()`` is called before its stream ends.
        """
        self._run = run
        request = test_explanation.make_request(self.clock.time)
        request.session = session
        await handler.serve(self.environment, request, Reply())
        return self.chosen[-1]


def find_sessions(version, share, count, service='s'):
    """Return sessions that a roll-out's ``share`` contains."""
    found = []
    number = 0
    while len(found) < count:
        number += 1
        name = f'session-{number}'
        position = rendezvous.hash_to_unit_interval(
            f'{service}/{version}/{name}'
        )
        if position < share:
            found.append(name)
    return found
