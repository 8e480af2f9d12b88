"""Link to the other routers: CURVE-encrypted push and pull sockets.

One task reads the receiving socket; sending doesn't block. Delivery is best
effort: a message for a full or missing connection is dropped and counted,
and one that must arrive is acknowledged by a message of its own.
"""

import reactivex
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from arbutuschute import messages

SEND_QUEUE_MESSAGES = 1000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 2000
HANDSHAKE_MS = 3000
ANY_DOMAIN = '*'


class _FleetKeyChecker:
    """Admits connections with the fleet's key and counts all others."""

    def __init__(self, public_key, metrics):
        self._public_key = public_key
        self._metrics = metrics

    def callback(self, domain, key):
        """Return whether a connecting client's key is the fleet's."""
        admitted = key == self._public_key
        if not admitted:
            self._metrics.count('peers.strangers')
        return admitted


class PeerLink:
    """Sends messages to peers by name and publishes received ones.

    ``received`` is an observable of messages.
    """

    __slots__ = (
        '_addresses',
        '_authenticator',
        '_context',
        '_keys',
        '_metrics',
        '_pull_socket',
        '_push_sockets',
        'received',
    )

    def __init__(self, peers, metrics):
        self._keys = (peers.public_key.encode(), peers.secret_key.encode())
        self._metrics = metrics
        self._context = zmq.asyncio.Context()
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._addresses = {}
        self._push_sockets = {}
        self.received = reactivex.Subject()
        self._pull_socket = self._bind(peers)

    def _bind(self, peers):
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            ANY_DOMAIN, _FleetKeyChecker(self._keys[0], self._metrics)
        )
        socket = self._context.socket(zmq.PULL)
        socket.curve_server = True
        socket.curve_publickey, socket.curve_secretkey = self._keys
        socket.setsockopt(zmq.LINGER, 0)
        socket.bind(f'tcp://{peers.host}:{peers.port}')
        return socket

    async def run(self):
        """Receive until cancelled."""
        while True:
            raw = await self._pull_socket.recv()
            self._metrics.count('peers.bytes_in', len(raw))
            message = messages.decode(raw)
            if message is None:
                self._metrics.count('peers.malformed')
                continue
            self._metrics.count('peers.messages_in')
            self.received.on_next(message)

    def connect(self, addresses, neighbours):
        """Replace the peers' addresses and connect to the neighbours.

        Any other peer is connected to on the first message for it.
        """
        self._addresses = addresses
        for name, (address, socket) in list(self._push_sockets.items()):
            if addresses.get(name) != address:
                socket.close()
                del self._push_sockets[name]
        for name in neighbours & addresses.keys() - self._push_sockets.keys():
            self._connect(name, immediate=True)

    def _connect(self, name, immediate):
        address = self._addresses[name]
        self._push_sockets[name] = (address, self._open(address, immediate))

    def is_connected(self, name):
        """Return whether a message to a peer would be queued now.

        True without a connection as well: the first message opens one and
        waits on it.
        """
        if name not in self._push_sockets:
            return True
        events = self._push_sockets[name][1].getsockopt(zmq.EVENTS)
        return bool(events & zmq.POLLOUT)

    def reconnect(self, name):
        """Reconnect at once to a peer that has come back.

        ZeroMQ waits longer after each of its own attempts. Messages queued
        on the old connection are dropped.
        """
        if name not in self._push_sockets:
            return
        _, socket = self._push_sockets.pop(name)
        immediate = bool(socket.getsockopt(zmq.IMMEDIATE))
        socket.close()
        if name in self._addresses:
            self._connect(name, immediate)

    def _open(self, address, immediate):
        socket = self._context.socket(zmq.PUSH)
        socket.curve_publickey, socket.curve_secretkey = self._keys
        socket.curve_serverkey = self._keys[0]
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, int(immediate))
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.connect(f'tcp://{address}')
        return socket

    def send(self, name, message):
        """Send to a peer by name; return whether the message was queued."""
        if name not in self._push_sockets:
            if name not in self._addresses:
                return False
            self._connect(name, immediate=False)
        connection = self._push_sockets[name]
        raw = messages.encode(message)
        try:
            zmq.Socket.send(connection[1], raw, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count('peers.dropped')
            return False
        self._metrics.count('peers.bytes_out', len(raw))
        self._metrics.count('peers.messages_out')
        return True

    def close(self):
        """Close all sockets."""
        for _, socket in self._push_sockets.values():
            socket.close()
        self._pull_socket.close()
        self._authenticator.stop()
        self._context.term()
