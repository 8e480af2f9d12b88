"""The link between routers, over loopback."""

import asyncio

import pytest

from arbutuschute.links import peer
from arbutuschute import messages
from arbutuschute import settings
from arbutuschute.standin import cluster

NEVER_MS = 60_000
PROBE_S = 0.5


class Sink:
    """Takes counters and keeps none."""

    def count(self, name, value=1):
        pass


def make_peers(port, keys):
    public_key, secret_key = keys
    return settings.Peers(
        host=cluster.HOST,
        port=port,
        public_key=public_key,
        secret_key=secret_key,
    )


async def receive_one(link):
    """Return a future of the first message, and the task that receives."""
    first = asyncio.get_running_loop().create_future()
    link.received.subscribe(
        lambda message: first.done() or first.set_result(message)
    )
    return first, asyncio.ensure_future(link.run())


async def send_until(link, name, first):
    """Send until the message arrives or the time for trying is over."""
    message = messages.FetchConfiguration(sender='a', incarnation=1, offset=0)
    deadline = asyncio.get_running_loop().time() + PROBE_S
    while not first.done() and asyncio.get_running_loop().time() < deadline:
        link.send(name, message)
        await asyncio.sleep(0.02)
    return first.done()


@pytest.fixture
def no_retries(monkeypatch):
    """Let the library's own next attempt lie beyond the test's end."""
    monkeypatch.setattr(peer, 'RECONNECT_MS', NEVER_MS)
    monkeypatch.setattr(peer, 'RECONNECT_MAX_MS', NEVER_MS)


async def test_peer_back_at_its_address_is_reached_once_it_is_heard(
    no_retries,
):
    port_a, port_b = cluster.find_free_ports(2)
    keys = cluster.make_keys()
    ours = peer.PeerLink(make_peers(port_a, keys), Sink())
    ours.connect({'b': f'{cluster.HOST}:{port_b}'}, {'b'})
    await asyncio.sleep(0.1)  # the first attempt is refused
    theirs = peer.PeerLink(make_peers(port_b, keys), Sink())
    first, receiving = await receive_one(theirs)
    try:
        assert not await send_until(ours, 'b', first)
        ours.reconnect('b')
        assert await send_until(ours, 'b', first)
    finally:
        receiving.cancel()
        ours.close()
        theirs.close()


async def test_reconnecting_to_a_stranger_does_nothing():
    (port,) = cluster.find_free_ports(1)
    link = peer.PeerLink(make_peers(port, cluster.make_keys()), Sink())
    try:
        link.reconnect('nobody')
        message = messages.FetchConfiguration(
            sender='a', incarnation=1, offset=0
        )
        assert not link.send('nobody', message)
    finally:
        link.close()


async def test_a_connection_that_stands_is_told_from_one_that_is_sought(
    no_retries,
):
    port_a, port_b = cluster.find_free_ports(2)
    keys = cluster.make_keys()
    ours = peer.PeerLink(make_peers(port_a, keys), Sink())
    ours.connect({'b': f'{cluster.HOST}:{port_b}'}, {'b'})
    await asyncio.sleep(0.1)
    assert not ours.is_connected('b')
    theirs = peer.PeerLink(make_peers(port_b, keys), Sink())
    first, receiving = await receive_one(theirs)
    try:
        ours.reconnect('b')
        assert await send_until(ours, 'b', first)
        assert ours.is_connected('b')
        assert ours.is_connected('nobody')
    finally:
        receiving.cancel()
        ours.close()
        theirs.close()
