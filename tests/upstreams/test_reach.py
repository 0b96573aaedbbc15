"""Tests of the check whether an upstream listens, over real sockets."""

import asyncio
import socket

from nutmegshore.upstreams.reach import is_listening

_HOST = '127.0.0.1'


async def _ignore(reader, writer):
    writer.close()


def test_a_listening_process_is_distinguished_from_an_ended_one():
    """Guards against a crash that is classified as a lost connection, and
    the reverse."""

    async def session():
        server = await asyncio.start_server(_ignore, _HOST, 0)
        port = server.sockets[0].getsockname()[1]
        found = await is_listening(f'{_HOST}:{port}', 1)
        server.close()
        await server.wait_closed()
        return found, await is_listening(f'{_HOST}:{port}', 1)

    assert asyncio.run(session()) == (True, False)


def test_a_silent_address_counts_as_ended():
    """Guards against an endless wait for a host that does not answer."""
    with socket.socket() as full:
        full.bind((_HOST, 0))
        full.listen(0)
        port = full.getsockname()[1]
        with socket.socket() as first, socket.socket() as second:
            for filler in (first, second):
                filler.setblocking(False)
                filler.connect_ex((_HOST, port))
            found = asyncio.run(is_listening(f'{_HOST}:{port}', 0.05))
    assert not found
