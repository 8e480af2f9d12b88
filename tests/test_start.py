"""Start of a router: when it says that it is live.

Guards against a state of live before the caller port is open: the load
balancer and peers then send requests that are refused a connection.
"""

import asyncio

from aiohttp import web

from arbutuschute import daemon
from arbutuschute.standin import cluster
from tests import deployment
from tests import documents

# Many status reads fit into it.
OPENING_S = 0.5


async def test_router_is_not_live_before_its_caller_port_is_open(
    deployed, monkeypatch
):
    await deployed.publish_basics(documents.make_profile())
    raw = cluster.make_settings(
        'r1', 'mtl-a', deployment.REGION, deployed.platform, deployed.keys,
        **deployment.FAST_CONTROL,
    )  # fmt: skip
    settings = cluster.read_settings(raw)
    await deployed.list_instance(**cluster.describe_router(settings))
    states_while_closed = set()
    open_port = web.TCPSite.start

    async def open_slowly(site):
        if site.name.endswith(f':{settings.listen.port}'):
            for _ in range(10):
                await asyncio.sleep(OPENING_S / 10)
                states_while_closed.add(router.environment.state)
        await open_port(site)

    monkeypatch.setattr(web.TCPSite, 'start', open_slowly)
    router = daemon.Router(settings, asyncio.get_running_loop())
    try:
        await router.start()
        assert states_while_closed == {'starting'}
        assert router.environment.state == 'live'
    finally:
        await router.stop()
