"""A process that was paused, on the own interface.

Guards against acting on a lease that ran out meanwhile.
"""

import asyncio
import types

import msgspec
import pytest

from arbutuschute import agreement
from arbutuschute import attempts
from arbutuschute.contracts import fold
from arbutuschute import daemon
from arbutuschute import errors
from arbutuschute.ledgers import leases
from arbutuschute import orders
from arbutuschute.standin import cluster
from tests import conftest
from tests import deployment


@pytest.fixture
async def environment():
    keys = cluster.make_keys()
    raw = cluster.make_settings(
        'r1', 'mtl-a', deployment.REGION, 'http://127.0.0.1:1', keys,
        **deployment.FAST_CONTROL,
    )  # fmt: skip
    built = daemon.build(
        cluster.read_settings(raw), asyncio.get_running_loop()
    )
    built.configuration = fold.Configuration()
    yield built
    built.peers.close()
    await built.http.close()
    await built.http_once.close()


# Callers are served by a version that was withdrawn during the pause.
async def test_lease_of_the_configuration_ends_in_a_suspend(
    environment, suspend
):
    environment.confirmed_until = (
        environment.timer.now() + conftest.PAUSE_S / 2
    )
    assert agreement.is_confirmed(environment)
    suspend()
    assert not agreement.is_confirmed(environment)


# An engine gets orders from two instances.
async def test_lease_of_orders_ends_in_a_suspend(environment, suspend):
    known = leases.Leases(conftest.PAUSE_S)
    control = orders.OrderControl(environment, known)
    claim = leases.Claim(orders.LEASE_NAME, control._holder)
    known.apply_entry(msgspec.json.encode(claim), 7, 0.0)
    control._valid_until = environment.timer.now() + conftest.PAUSE_S / 2
    assert control.find_fence() == 7
    suspend()
    assert control.find_fence() is None


# A caller's request runs although its deadline has passed.
async def test_deadline_passes_in_a_suspend(environment, suspend):
    work = types.SimpleNamespace(
        deadline_at=environment.timer.now() + conftest.PAUSE_S / 2,
        deadline_ms=conftest.PAUSE_S / 2 * 1000,
        ran=errors.Ran.NO,
    )
    suspend()
    with pytest.raises(errors.DeadlinePassed) as caught:
        await attempts.run(environment, work, None, None, None, None)
    assert caught.value.ran is errors.Ran.NO
