"""Tests of the link between routers, over loopback."""

import asyncio

import pytest

from arbutuschute.links import peer
from arbutuschute import messages
from arbutuschute import settings
from arbutuschute.standin import cluster

NEVER_MS = 60_000
PROBE_S = 0.5


class Sink:
    """Discards counters."""

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
    """Return whether a message arrives; send it until ``PROBE_S`` is over."""
    message = messages.FetchConfiguration(sender='a', incarnation=1, offset=0)
    deadline = asyncio.get_running_loop().time() + PROBE_S
    while not first.done() and asyncio.get_running_loop().time() < deadline:
        link.send(name, message)
        await asyncio.sleep(0.02)
    return first.done()


async def connect_in_vain(link, port):
    """Connect to ``b`` at a port where the first attempt certainly ends."""
    ended = asyncio.Event()

    async def end(_, writer):
        writer.close()
        await writer.wait_closed()
        ended.set()

    server = await asyncio.start_server(end, cluster.HOST, port)
    link.connect({'b': f'{cluster.HOST}:{port}'}, {'b'})
    await asyncio.wait_for(ended.wait(), 10)
    server.close()
    await server.wait_closed()


@pytest.fixture
def no_retries(monkeypatch):
    """Put ZeroMQ's own next attempt beyond the end of the test."""
    monkeypatch.setattr(peer, 'RECONNECT_MS', NEVER_MS)
    monkeypatch.setattr(peer, 'RECONNECT_MAX_MS', NEVER_MS)


async def test_reconnecting_reaches_a_peer_that_is_back_at_its_address(
    no_retries,
):
    port_a, port_b = cluster.find_free_ports(2)
    keys = cluster.make_keys()
    ours = peer.PeerLink(make_peers(port_a, keys), Sink())
    await connect_in_vain(ours, port_b)
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


async def test_reconnecting_to_an_unknown_peer_does_nothing():
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


async def test_is_connected_distinguishes_established_from_pending(
    no_retries,
):
    port_a, port_b = cluster.find_free_ports(2)
    keys = cluster.make_keys()
    ours = peer.PeerLink(make_peers(port_a, keys), Sink())
    await connect_in_vain(ours, port_b)
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
