"""The ``arbutuschute explain-route`` command."""

import asyncio

import aiohttp
import click
import msgspec
from returns import result
import yarl

from arbutuschute.cli import output
from arbutuschute import connections
from arbutuschute import decoding
from arbutuschute import errors

KEY_VARIABLE = 'ARBUTUSCHUTE_KEY'
# An instance answers within milliseconds, or is in trouble.
TIMEOUT_S = 3.0
SUMMARY_FIELDS = ('instance', 'route', 'organisation', 'service', 'urgency',
                  'model', 'pool_delay_ms', 'allowed_regions')  # fmt: skip


def _read_address(context, param, text):
    """Return the URL of an instance's explanations."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    try:
        return yarl.URL.build(
            scheme='http', host=host, port=int(port), path='/explain'
        )
    except ValueError:
        raise click.BadParameter(f'expected HOST:PORT, got {text}') from None


@click.command(name='explain-route')
@click.option(
    '--instance',
    'url',
    required=True,
    metavar='HOST:PORT',
    callback=_read_address,
    help="The instance's metrics address.",
)
@click.option('--host', required=True, help='Host that the request names.')
@click.option('--path', required=True, help='Path of the request.')
@click.option(
    '--method',
    default='POST',
    show_default=True,
    help='Method of the request.',
)
@click.option(
    '--key',
    envvar=KEY_VARIABLE,
    help=f'API key of the caller; or set {KEY_VARIABLE}.',
)
@click.option(
    '--session',
    help='Session of the request; default: a new one each time, which may '
    'get another version during a roll-out.',
)
@click.option('--model', help='Model that the request names.')
@click.option(
    '--tokens',
    metavar='IN,OUT',
    help='Prompt tokens, and the most tokens of the answer.',
)
@click.option(
    '--part',
    'parts',
    multiple=True,
    metavar='NAME:TOKENS',
    help='A part of the prompt, in order; the last is its own. Repeatable.',
)
@click.option(
    '--deadline-ms',
    type=click.IntRange(min=0),
    help="Time that the caller gives; default: the route's limit.",
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def explain_route(url, as_json, parts, **given):
    """Show where an instance would send a request now, and why.

    Nothing is sent to a server, and nothing that the instance counts or
    reserves changes. A refused request is explained, too. Costs are in
    seconds for streams, relative to a free slot's time otherwise; the choice
    adds a small random part to them.
    """
    query = [(name, str(v)) for name, v in given.items() if v is not None]
    query += [('part', part) for part in parts]
    found = asyncio.run(_fetch(url.with_query(query)))
    if isinstance(found, result.Failure):
        output.exit_with(found.failure(), as_json)
    if as_json:
        output.print_json(found.unwrap())
        return
    _print(found.unwrap())


async def _fetch(url):
    """Return ``Result`` with the explanation, as a dict."""
    address = f'{url.host}:{url.port}'
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            connections.make_session(timeout=timeout) as session,
            session.get(url) as response,
        ):
            document = decoding.decode_json(await response.read(), dict)
    except (aiohttp.ClientError, TimeoutError, OSError) as fault:
        reason = str(fault) or type(fault).__name__
        return result.Failure(errors.InstanceUnreachable(address, reason))
    except msgspec.DecodeError:
        reason = f'status {response.status} without an explanation'
        return result.Failure(errors.InstanceUnreachable(address, reason))
    if response.status == 200:
        return result.Success(document)
    reason = str(document.get('detail', f'status {response.status}'))
    if response.status == 400:
        reason = reason.removeprefix('reason: ')
        return result.Failure(errors.BrokenQuery(reason))
    reason = f'{document.get("title", "")} ({reason})'
    return result.Failure(errors.InstanceUnreachable(address, reason))


def _print(found):
    for name in SUMMARY_FIELDS:
        value = found[name]
        if name == 'allowed_regions':
            value = 'any' if value is None else ', '.join(value) or 'none'
        title = name.replace('_', ' ')
        click.echo(f'{title:16}{"-" if value is None else value}')
    click.echo(f'{"result":16}{_describe_result(found)}')
    output.print_table(
        'Servers of the service',
        [
            {
                'server': server['name'],
                'zone': f'{server["zone"]}, {server["region"] or "-"}',
                'version': server['version'],
                'start_ms': server['start_ms'],
                'cost': server['cost'],
                'load': server['load'],
                'age_ms': server['load_age_ms'],
                'failures': server['failure_rate'],
                'in_flight': server['in_flight'],
                'shared': server['holds_shared_part'],
                'result': _describe_server(found, server),
            }
            for server in found['candidates']
        ],
    )


def _describe_server(found, server):
    if found['chosen'] == server['name']:
        return 'chosen'
    return server['passed_over'] or None


def _describe_result(found):
    refusal = found['refusal']
    if refusal is None:
        turn_ms = found['turn_ms']
        when = f'in {turn_ms} ms, at its turn' if turn_ms else 'at once'
        return f'sent to {found["chosen"]} {when}'
    text = f'refused with {refusal["status"]} {refusal["code"]}'
    if refusal['retry_after_s'] is not None:
        text += f', retry after {refusal["retry_after_s"]:.3f} s at most'
    return f'{text}: {refusal["detail"]}'
