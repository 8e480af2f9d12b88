"""A closed-loop load client that runs as its own process."""

import asyncio
import sys
import time

import aiohttp
import msgspec


async def send(session, url, key, body):
    """Send one request; return (tokens received, whether it succeeded)."""
    async with session.post(
        url,
        data=body,
        headers={
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        },
    ) as response:
        total = 0
        async for chunk in response.content.iter_any():
            total += chunk.count(b'delta')
        return total, response.status == 200


async def run(url, key, workers, seconds, body):
    """Send requests from ``workers`` loops for ``seconds``; return counts."""
    counts = {'requests': 0, 'failed': 0, 'tokens': 0}
    limit = time.monotonic() + seconds

    async def work(session):
        while time.monotonic() < limit:
            tokens, ok = await send(session, url, key, body)
            counts['requests' if ok else 'failed'] += 1
            counts['tokens'] += tokens

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        await asyncio.gather(*(work(session) for _ in range(workers)))
    return counts


if __name__ == '__main__':
    found = asyncio.run(
        run(
            sys.argv[1],
            sys.argv[2],
            int(sys.argv[3]),
            float(sys.argv[4]),
            sys.argv[5].encode(),
        )
    )
    print(msgspec.json.encode(found).decode())
