"""Link to the service that rates a sample of the answers."""

import asyncio

import aiohttp
import msgspec

from arbutuschute import connections
from arbutuschute import decoding

RATING_TIMEOUT_S = 2.0
FIRST_POLL_DELAY_S = 1.0
MAX_POLLS = 5
MAX_PENDING_RATINGS = 200


class _Rating(msgspec.Struct, frozen=True):
    rating: float


class RatingClient:
    """Sends answers for rating and polls for the ratings later."""

    __slots__ = ('_base', '_metrics', '_session', '_tasks', '_timer')

    def __init__(self, session, base, timer, metrics):
        self._session = session
        self._base = base
        self._timer = timer
        self._metrics = metrics
        self._tasks = set()

    def rate(self, request_id, body, on_rating):
        """Send an answer; ``on_rating(rating)`` is called if it is rated."""
        if len(self._tasks) >= MAX_PENDING_RATINGS:
            self._metrics.count('ratings.dropped')
            return
        task = asyncio.ensure_future(self._rate(request_id, body, on_rating))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rate(self, request_id, body, on_rating):
        try:
            await self._send(request_id, body)
            for poll in range(MAX_POLLS):
                await self._timer.sleep(FIRST_POLL_DELAY_S * 2**poll)
                rating = await self._poll(request_id)
                if rating is not None:
                    self._metrics.count('ratings')
                    on_rating(rating)
                    return
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            pass
        self._metrics.count('ratings.missing')

    async def _send(self, request_id, body):
        document = {
            'request': request_id,
            'answer': body.decode(errors='replace'),
        }
        async with self._session.post(
            f'{self._base}/ratings',
            data=msgspec.json.encode(document),
            timeout=aiohttp.ClientTimeout(total=RATING_TIMEOUT_S),
            allow_redirects=False,
        ):
            return

    async def _poll(self, request_id):
        async with self._session.get(
            f'{self._base}/ratings/{request_id}',
            timeout=aiohttp.ClientTimeout(total=RATING_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            if response.status != 200:
                return None
            body = await connections.read_all(response)
        return decoding.decode_json(body, _Rating).rating

    async def close(self):
        """Cancel the ratings that have not arrived."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
