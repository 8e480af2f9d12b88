"""Session pins of routers that restart; messages without a network."""

import asyncio

import pytest

from arbutuschute.ledgers import pins

RANK = ('r-1', 'r-2', 'r-3', 'r-4', 'r-5')
SESSION = 'o\np\nm\ns'


class Fleet:
    """Routers that send each other messages, in ``RANK`` for the session."""

    def __init__(self):
        self.time = 0.0
        self.routers = {}
        self.sent = 0
        for name in RANK:
            self.start(name)

    def start(self, name):
        """Start a router, or start it anew: it has lost what it knew."""

        def send(target, message):
            self.sent += 1
            receiver = self.routers.get(target)
            if receiver is None:
                return False
            loop = asyncio.get_running_loop()
            loop.call_soon(receiver.handle_message, message)
            return True

        self.routers[name] = pins.Pins(
            (name, 1),
            send,
            lambda _: [one for one in RANK if one in self.routers],
            lambda *_: True,
            lambda: self.time,
        )

    async def pin(self, name, proposal):
        return await self.routers[name].pin(SESSION, proposal)


# Guards against a session that changes its version because the router that
# owns its pin has restarted, and takes it for a new one.
@pytest.mark.parametrize('restarted', [('r-1',), ('r-1', 'r-2'), ('r-2',)])
async def test_session_keeps_its_version_after_a_restart(restarted):
    fleet = Fleet()
    assert await fleet.pin('r-4', 'old') == 'old'
    await asyncio.sleep(0)
    for name in restarted:
        fleet.start(name)
    for name in ('r-5', 'r-1', 'r-2'):
        assert await fleet.pin(name, 'new') == 'old'


# Each router is restarted in turn; a request of the session comes between.
async def test_session_keeps_its_version_while_all_restart_in_turn():
    fleet = Fleet()
    assert await fleet.pin('r-4', 'old') == 'old'
    for name in RANK:
        await asyncio.sleep(0)
        del fleet.routers[name]
        other = 'r-5' if name != 'r-5' else 'r-4'
        assert await fleet.pin(other, 'new') == 'old'
        fleet.start(name)
        assert await fleet.pin(name, 'new') == 'old'


async def test_new_session_is_pinned_to_the_proposal_after_a_restart():
    fleet = Fleet()
    fleet.start('r-1')
    assert await fleet.pin('r-5', 'new') == 'new'
    assert await fleet.pin('r-1', 'other') == 'new'


async def test_router_that_runs_for_long_asks_nobody_for_its_sessions():
    fleet = Fleet()
    fleet.time += pins.RECENT_START_S
    assert await fleet.pin('r-1', 'new') == 'new'
    assert fleet.sent == pins.COPIES_PER_PIN
