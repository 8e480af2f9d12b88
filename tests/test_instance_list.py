"""Reads of the platform's instance list that overlap; own interface."""

import asyncio
import types

from returns import result

from arbutuschute import instance_list
from arbutuschute.machines import instances
from tests import test_followers


class Environment:
    """The parts that the poller uses; ``applied`` is what it applied last."""

    def __init__(self):
        self.name = 'r'
        self.identity = 'r', 1
        self.http = None
        self.timer = test_followers.Timer()
        self.metrics = types.SimpleNamespace(count=lambda *_: None)
        self.settings = types.SimpleNamespace(
            zone='a', platform=types.SimpleNamespace(instances='')
        )
        self.fleet = self
        self.membership = self
        self.peers = self
        self.instances = {}

    def replace_instances(self, listed):
        self.instances = {entry.name: entry for entry in listed}

    def find_routers(self):
        return ()

    def update_listed(self, routers):
        return {}

    def remove_unlisted(self, others, now):
        pass

    def find_neighbours(self):
        return ()

    def connect(self, addresses, neighbours):
        pass


def make_instance(name):
    return instances.Instance(name, 'engine', 'a', 'r', 'http://h:1')


# Guards against sending requests to an instance that is gone: a response with
# it arrives after one without it.
async def test_slow_read_does_not_replace_a_newer_one(monkeypatch):
    environment = Environment()
    poller = instance_list.InstanceListPoller(environment, None)
    responses = []

    async def fetch(*_):
        response = asyncio.get_running_loop().create_future()
        responses.append(response)
        return await response

    monkeypatch.setattr(instances, 'fetch_instances', fetch)
    reads = []
    for _ in range(2):
        reads.append(asyncio.ensure_future(poller.read()))
        await asyncio.sleep(0)
        environment.timer.time += 1.0
    stays, gone = make_instance('e-1'), make_instance('e-2')
    responses[1].set_result(result.Success((stays,)))
    await reads[1]
    responses[0].set_result(result.Success((stays, gone)))
    await reads[0]
    assert set(environment.instances) == {'e-1'}
