"""Orders to engines, sent by the holder of a lease in the log.

Some engines refuse an order with an old fencing number, others ignore the
number. For the latter a new holder waits until no order of the previous one
can still arrive, and every holder checks its lease before each order.
"""

import asyncio

import aiohttp
import msgspec

from arbutuschute import agreement
from arbutuschute import connections
from arbutuschute.contracts import changes
from arbutuschute import decoding
from arbutuschute.ledgers import leases
from arbutuschute.policy import desired
from arbutuschute import streams

LEASE_NAME = 'orders'
ORDER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1024 * 1024
# Shares of a lease's duration: what is left unused for safety, and what is
# left when the lease is renewed.
MARGIN_SHARE = 0.2
RENEW_SHARE = 0.5
POLLS_PER_TICK = 16


class _LoadedVersions(msgspec.Struct, frozen=True):
    versions: tuple[str, ...]


class OrderControl:
    """Holds or claims the lease and brings engines to the desired state."""

    __slots__ = (
        '_environment',
        '_held_since',
        '_leases',
        '_loaded',
        '_poll_queue',
        '_valid_until',
        'duration_s',
    )

    def __init__(self, environment, known_leases):
        self._environment = environment
        self._leases = known_leases
        self.duration_s = known_leases.duration_s
        self._valid_until = float('-inf')
        self._held_since = None
        self._loaded = {}
        self._poll_queue = []

    @property
    def _holder(self):
        name, incarnation = self._environment.identity
        return f'{name}/{incarnation}'

    def find_fence(self):
        """Return the fencing number while the lease surely runs, or None."""
        if self._environment.timer.now() >= self._valid_until:
            return None
        return self._leases.find_fence(LEASE_NAME, self._holder)

    def handle_restore(self):
        """Give the lease up: the log may have lost it."""
        self._valid_until = float('-inf')

    async def tick(self, now):
        """Renew or claim the lease if due, then send orders if it is held."""
        environment = self._environment
        if not agreement.is_confirmed(environment):
            return
        if self._is_due(now):
            await self._claim(now)
        if self.find_fence() is None:
            self._held_since = None
            return
        if self._held_since is None:
            self._held_since = now
            environment.metrics.count('orders.lease-won')
            environment.log.info('orders lease held', fence=self.find_fence())
        await self._send_orders(now)

    def _is_due(self, now):
        environment = self._environment
        is_holder = (
            self._leases.find_fence(LEASE_NAME, self._holder) is not None
        )
        if is_holder:
            return now >= self._valid_until - self.duration_s * RENEW_SHARE
        first = environment.membership.rank_owners(LEASE_NAME, now)[0]
        return first == environment.name

    async def _claim(self, requested_at):
        """Append a claim; the lease runs from before the claim was sent."""
        claim = leases.Claim(LEASE_NAME, self._holder)
        answer = await self._environment.log_client.append(
            streams.LEASES, changes.encode_batch([claim])
        )
        appended = answer.value_or(None)
        if appended is None:
            return
        try:
            async with asyncio.timeout(self.duration_s):
                await self._environment.leases_follower.wait_past(
                    appended.offset
                )
        except asyncio.TimeoutError:
            return
        if self._leases.find_fence(LEASE_NAME, self._holder) is not None:
            margin_s = self.duration_s * MARGIN_SHARE
            self._valid_until = requested_at + self.duration_s - margin_s

    async def _send_orders(self, now):
        environment = self._environment
        engines = {
            server.name: server
            for server in environment.fleet.servers.values()
            if server.instance.kind == 'engine' and not server.leaving
        }
        await self._poll_next(engines)
        for order in desired.compute_orders(
            environment.configuration, self._loaded
        ):
            if order.action == 'load' and len(self._loaded) < len(engines):
                continue
            server = engines[order.server]
            held_s = environment.timer.now() - self._held_since
            if not server.instance.checks_fencing and (
                held_s <= self.duration_s * MARGIN_SHARE + ORDER_TIMEOUT_S
            ):
                continue
            await self._send(order, server)

    async def _poll_next(self, engines):
        """Poll the next few engines in turn for their loaded versions.

        Engines last seen with a withdrawn version come first.
        """
        withdrawn = self._environment.configuration.withdrawn.keys()
        for name in self._loaded.keys() - engines.keys():
            del self._loaded[name]
        self._poll_queue = [
            name for name in self._poll_queue if name in engines
        ]
        self._poll_queue += [
            n for n in sorted(engines) if n not in self._poll_queue
        ]
        self._poll_queue.sort(
            key=lambda name: not withdrawn & set(self._loaded.get(name, ()))
        )
        names = self._poll_queue[:POLLS_PER_TICK]
        self._poll_queue = self._poll_queue[POLLS_PER_TICK:] + names
        polled = await asyncio.gather(
            *(self._poll(engines[name]) for name in names)
        )
        for name, versions in zip(names, polled, strict=True):
            if versions is None:
                self._loaded.pop(name, None)
            else:
                self._loaded[name] = versions

    async def _poll(self, server):
        """Return the versions loaded on an engine, or None on a failure."""
        answer = await self._call('GET', f'{server.instance.address}/load')
        if answer is None:
            return None
        try:
            return decoding.decode_json(answer, _LoadedVersions).versions
        except msgspec.DecodeError:
            return None

    async def _send(self, order, server):
        environment = self._environment
        if order.action == 'load' and not await self._may_load(order.version):
            return
        fence = self.find_fence()
        if fence is None:
            return
        document = {
            'action': order.action,
            'version': order.version,
            'fence': fence,
            'holder': self._holder,
        }
        answer = await self._call(
            'POST',
            f'{server.instance.address}/orders',
            msgspec.json.encode(document),
        )
        outcome = 'given' if answer is not None else 'failed'
        environment.metrics.count(f'orders.{order.action}.{outcome}')

    async def _may_load(self, version):
        """Return whether the weight store, which paces loads, permits one."""
        base = self._environment.settings.platform.instances
        name = version.replace(':', '-')
        return await self._call('GET', f'{base}/weights/{name}') is not None

    async def _call(self, method, url, body=None):
        """Return the body of a success, or None.

        The responses bear no id, so no connection is used twice: a late copy
        of another answer could be taken for one of them.
        """
        try:
            async with self._environment.http_once.request(
                method,
                url,
                data=body,
                timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                raw = await connections.read_all(response, MAX_ANSWER_BYTES)
                return raw if response.status == 200 else None
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return None
