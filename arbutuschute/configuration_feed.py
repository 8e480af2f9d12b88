"""The configuration of a router, from the log and back to a restored one."""

from arbutuschute.contracts import history as history_module
from arbutuschute.links import log
from arbutuschute import streams

START_RETRY_S = 0.2
# Between two instances that write the configuration again.
REWRITE_TURN_S = 0.5


class ConfigurationFeed:
    """Loads the configuration, follows its stream and restores it."""

    __slots__ = ('_environment', '_fetch_from_neighbours', '_history')

    def __init__(self, environment, history, fetch_from_neighbours):
        self._environment = environment
        self._history = history
        self._fetch_from_neighbours = fetch_from_neighbours

    async def load(self):
        """Load from the log, or from a peer while the store is unavailable."""
        environment = self._environment
        while True:
            state, records, answered = await history_module.read_start(
                environment.log_client, streams.CONFIGURATION
            )
            if state is not None:
                self._history.restore_state(state)
                for record in records:
                    self._history.apply(record)
                break
            self._fetch_from_neighbours()
            await environment.timer.sleep(START_RETRY_S)
            if environment.configuration.offset >= 0:
                break
            reason = 'no snapshot' if answered else 'store down'
            environment.metrics.count(f'start.waiting.{reason}')
        environment.config_follower.position = (
            environment.configuration.offset + 1
        )

    async def follow(self):
        """Follow the stream; return if the log has another past than ours."""
        follower = self._environment.config_follower
        wait_s = log.compute_read_wait(
            self._environment.settings.control.lease_s
        )
        while not self._history.has_diverged:
            await follower.read_next(wait_s)
            if follower.gap:
                follower.gap = False
                await self.load()

    async def rewrite_lost(self):
        """Append the records that a restored log has lost.

        At the same offsets, and in turn: the first instance at once, the
        others if that has failed. Until then the log confirms nothing.
        """
        environment = self._environment
        known = environment.configuration.offset
        environment.config_follower.least_head = known + 1
        now = environment.timer.now()
        ranked = environment.membership.rank_owners('restore', now)
        turn = ranked.index(environment.name)
        await environment.timer.sleep(turn * REWRITE_TURN_S)
        while lost := await self._find_lost(known):
            environment.log.info(
                'configuration written again', offset=lost.offset
            )
            await environment.log_client.append(
                streams.CONFIGURATION, bytes(lost.value)
            )

    async def _find_lost(self, known):
        """Return the first lost record up to offset ``known``, or None."""
        environment = self._environment
        while True:
            answer = await environment.log_client.read(
                streams.CONFIGURATION, known
            )
            page = answer.value_or(None)
            if page is not None:
                return self._history.find_record(page.head)
            await environment.timer.sleep(START_RETRY_S)
