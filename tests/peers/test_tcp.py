"""Smoke tests of links over real sockets."""

import asyncio
import random

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.errors import LinkError
from nutmegshore.peers import (
    Member,
    MeshOptions,
    MeshPeers,
    TcpTransport,
    first_incarnation,
)
from nutmegshore.peers.codec import MAX_FRAME_BYTES
from nutmegshore.peers.messages import News


async def _until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.02)


def _start(name, listed):
    rng = random.Random(name)
    transport = TcpTransport('127.0.0.1', 0)
    listed[name] = transport.address

    async def seeds():
        return dict(listed)

    mesh = MeshPeers(
        Member(name, 'west', 'a', first_incarnation(rng)),
        transport,
        MeshOptions('c', b'key', size_hint=1),
        seeds,
        (SystemClock(), rng, Counters()),
    )
    mesh.start()
    return mesh


def _sizes(meshes):
    return {len(mesh.live()) for mesh in meshes}


def test_three_members_meet_over_tcp():
    """Guards against a mesh that only works in memory."""

    async def session():
        listed = {}
        meshes = [_start(name, listed) for name in ('a', 'b', 'c')]
        await _until(lambda: _sizes(meshes) == {3})
        await meshes[0].stop()
        await _until(lambda: _sizes(meshes[1:]) == {2})
        failures = [one.parts.tasks.failures for one in meshes]
        await asyncio.gather(*[one.stop() for one in meshes[1:]])
        return failures

    assert asyncio.run(session()) == [[], [], []]


async def _pair():
    accepted = asyncio.Queue()
    server = TcpTransport('127.0.0.1', 0)
    server.listen(accepted.put_nowait)
    client = TcpTransport('127.0.0.1', 0)
    near = await client.dial(server.address)
    far = await accepted.get()
    return near, far, (server, client)


def test_the_largest_frame_passes_and_a_larger_one_closes():
    """Guards against a limit that one side does not keep."""

    async def session():
        near, far, transports = await _pair()
        near.is_proven = True
        far.is_proven = True
        near.send(News(['x' * (MAX_FRAME_BYTES - 100)]))
        body = await far.read()
        near.send(News(['x' * (MAX_FRAME_BYTES + 100)]))
        with pytest.raises(LinkError) as caught:
            await far.read()
        near.close()
        far.close()
        await asyncio.gather(*[one.stop() for one in transports])
        return len(body.records[0]), caught.value.kind.value

    size, kind = asyncio.run(session())
    assert size == MAX_FRAME_BYTES - 100
    assert kind == 'frame_too_large'


def test_a_reader_that_stands_still_closes_the_link():
    """Guards against an unbounded queue to a slow member."""

    async def session():
        near, far, transports = await _pair()
        sent = 0
        while near.send_frame(b'\0' * 1_000_000) and sent < 200:
            sent += 1
        far.close()
        await asyncio.gather(*[one.stop() for one in transports])
        return sent, near.is_closed

    sent, is_closed = asyncio.run(session())
    assert is_closed
    assert sent < 200
