"""A SIGTERM while clients read their answers slowly."""

import asyncio
import hashlib
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-3'))
import world as stand  # noqa: E402

CLIENTS = 4
ANSWER = bytes(range(256)) * 8 * 1024  # 2 MiB
# A client on a slow link reads without a pause, 64 KiB in 0.2 s.
PIECE_BYTES = 64 * 1024
PIECE_S = 0.2
DEADLINE_MS = 15000
SIGTERM_AFTER_S = 1.0


async def answer(engine, request):
    """Answer a request at an engine."""
    await request.respond(200, ANSWER)
    engine.record.note(f'engine {engine.name} has answered {request.attempt}')
    return True


async def read_slowly(world, instance, attempt):
    """Book a visit; return whether the whole answer arrived, and when."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (instance.host, instance.port))
    world.record.note(f'client sends {attempt}')
    await loop.sock_sendall(
        connection,
        stand.make_request(
            instance, '/booking/visit', attempt, DEADLINE_MS, b'{"flue": 3}'
        ),
    )
    received = bytearray()
    try:
        while True:
            part = await loop.sock_recv(connection, PIECE_BYTES)
            received += part
            head, mark, body = bytes(received).partition(b'\r\n\r\n')
            if not part or (mark and len(body) >= len(ANSWER)):
                break
            await asyncio.sleep(PIECE_S * len(part) / PIECE_BYTES)
    except OSError as error:
        world.record.note(f'client {attempt}: {error!r}')
        head, mark, body = bytes(received).partition(b'\r\n\r\n')
    finally:
        connection.close()
    status = head.split(b'\r\n')[0].decode()
    whole = hashlib.sha256(body).digest() == hashlib.sha256(ANSWER).digest()
    world.record.note(
        f'client {attempt}: {status}, {len(body)} of {len(ANSWER)} bytes, '
        f'whole: {whole}'
    )
    return whole


async def case():
    """Return whether the rule held."""
    async with stand.World(__file__) as world:
        note = world.record.note
        world.store.put(
            'keyed.op',
            'config',
            stand.make_configuration(
                1, [stand.make_route('booking', 'non_idempotent')]
            ),
        )
        engine = await world.add_engine('i-1', answer)
        instance = await world.add_instance('edge-1')
        names = [f'booking-{number}' for number in range(CLIENTS)]
        reading = [
            asyncio.ensure_future(read_slowly(world, instance, name))
            for name in names
        ]
        await asyncio.sleep(SIGTERM_AFTER_S)
        if len(engine.runs) != CLIENTS:
            raise stand.CannotRun('the engine has not run all bookings')
        if stand.TROUBLE:
            note('SIGTERM to edge-1')
            instance.signal(signal.SIGTERM)
            began = time.monotonic()
            code = await instance.wait_for_end(stand.BOUNDS['graceS'])
            note(
                f'edge-1 ended with {code}, '
                f'{time.monotonic() - began:.2f} s after SIGTERM'
            )
        whole = await asyncio.gather(*reading)
        for name in names:
            note(f'{name} ran {world.count_runs(name)} times')
        note(f'{sum(whole)} of {CLIENTS} answers arrived whole')
        return all(whole)


stand.run(case)
