"""Instances that follow topics with records of other writers.

Guards against a record that ends each instance that reads it: the follower's
task failed, the instance stopped itself, and read it again after its restart.
"""

import pytest

from tests.platform import conftest
from tests import test_odd_entries


@pytest.mark.parametrize(
    ('topic', 'key'),
    [
        ('keyed.servers', 'i-odd'),
        ('keyed.op', 'config'),
        ('keyed.op', 'rollout/plain'),
        ('keyed.rollouts', 'step/plain'),
        ('keyed.observations', 'crash/x/1'),
        ('keyed.readers', 'reader/a'),
    ],
)
async def test_instance_goes_on_and_starts_beside_an_odd_record(
    world, topic, key
):
    await world.start()
    for raw in (*test_odd_entries.DEEP[:2], b'\xff', b'null', b'[]'):
        world.store.put_raw(topic, key, raw)
    await world.add_engine('i-later')
    servers = world.instance.environment.directory.servers
    await conftest.wait_for(lambda: 'i-later' in servers, 5.0)
    assert not world.running.done()
    if key != 'config':
        again = world.make_instance()
        await again._start()
        assert again.environment.state == 'live'
        await again.close()
