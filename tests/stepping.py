"""Tasks that share a simulated time, which advances when all sleep."""

import asyncio
import contextlib


class SteppedTimer:
    """A timer whose time advances to the next end of a sleep."""

    def __init__(self):
        self.time = 0.0
        self._sleepers = []

    def now(self):
        return self.time

    wall = now

    async def sleep(self, seconds):
        done = asyncio.get_running_loop().create_future()
        self._sleepers.append((self.time + seconds, id(done), done))
        await done

    async def run_until(self, end):
        for _ in range(100_000):
            for _ in range(10):
                await asyncio.sleep(0)
            if not self._sleepers:
                return
            at, key, done = min(self._sleepers)
            if at > end:
                self.time = end
                return
            self._sleepers.remove((at, key, done))
            self.time = at
            done.done() or done.set_result(None)


@contextlib.asynccontextmanager
async def run_together(coroutines):
    """Run coroutines as tasks, yield the tasks, and cancel them at the end."""
    running = [asyncio.ensure_future(one) for one in coroutines]
    try:
        yield running
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
