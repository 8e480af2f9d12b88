"""The baseline: a naive pass-through proxy on the same HTTP library."""

import sys

import aiohttp
from aiohttp import web


async def forward(request):
    """Forward a request unchanged and stream the response back."""
    body = await request.read()
    async with request.app['session'].post(
        request.app['target'] + request.path,
        data=body,
        headers={'X-Request-Id': 'naive-1'},
    ) as answer:
        response = web.StreamResponse(
            status=answer.status,
            headers={'Content-Type': answer.headers['Content-Type']},
        )
        await response.prepare(request)
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response


async def make_app(target):
    """Return the application that forwards requests to ``target``."""
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app['target'] = target
    app['session'] = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    )
    app.router.add_post('/{path:.*}', forward)
    return app


if __name__ == '__main__':
    web.run_app(
        make_app(sys.argv[2]),
        host='127.0.0.1',
        port=int(sys.argv[1]),
        access_log=None,
        print=None,
    )
