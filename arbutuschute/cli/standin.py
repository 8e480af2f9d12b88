"""The ``arbutuschute-standin`` command: stand-ins and the demo."""

import asyncio
import signal

from aiohttp import web
import click

from arbutuschute.standin import demo as demo_module
from arbutuschute.standin import engine
from arbutuschute.standin import link as link_module
from arbutuschute.standin import platform as platform_module
from arbutuschute.standin import service as service_module

host_option = click.option('--host', default='127.0.0.1', show_default=True)
port_option = click.option('--port', type=int, required=True)


@click.group(context_settings={'help_option_names': ['-h', '--help']})
def main():
    """Run stand-ins for a router's surroundings, for tests and demos."""


@main.command()
@host_option
@port_option
def platform(host, port):
    """Run the platform: log, instance list, weight store, rating."""
    asyncio.run(_serve(platform_module.Platform, host, port))


@main.command(name='engine')
@click.argument('name')
@click.argument('versions', nargs=-1, metavar='MODEL:VERSION...')
@click.option('--slots', type=int, default=engine.SLOTS, show_default=True)
@click.option(
    '--token-s', type=float, default=engine.TOKEN_S, show_default=True
)
@click.option(
    '--first-token-s',
    type=float,
    default=engine.FIRST_TOKEN_S,
    show_default=True,
)
@click.option('--checks-fencing/--ignores-fencing', default=True)
@host_option
@port_option
def run_engine(name, versions, host, port, **options):
    """Run the engine NAME with VERSIONS loaded."""

    def make():
        return engine.Engine(name, versions, **options)

    asyncio.run(_serve(make, host, port))


@main.command()
@click.argument('name')
@host_option
@port_option
def service(name, host, port):
    """Run the plain service NAME, whose calls must not be retried."""
    asyncio.run(_serve(lambda: service_module.Service(name), host, port))


@main.command()
@click.argument('pairs', nargs=-1, metavar='PORT:HOST:PORT...')
@host_option
@port_option
def link(pairs, host, port):
    """Forward TCP ports; the control port cuts or delays the traffic."""
    split = [pair.split(':') for pair in pairs]
    parsed = [(int(here), name, int(there)) for here, name, there in split]
    asyncio.run(_serve(lambda: link_module.Link(parsed), host, port))


@main.command()
@click.option('--serve', is_flag=True, help='Keep serving afterwards.')
def demo(serve):
    """Send example requests through a router on embedded stand-ins."""
    asyncio.run(demo_module.run(serve))


async def _serve(make, host, port):
    """Serve one stand-in until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopping.set)
    runner = web.AppRunner(
        make().make_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await stopping.wait()
    await runner.cleanup()


if __name__ == '__main__':
    main()
