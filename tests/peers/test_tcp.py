"""Smoke tests of links over real sockets."""

import asyncio
import pathlib
import random
import ssl

import attrs
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
    message,
)
from nutmegshore.peers.codec import MAX_FRAME_BYTES
from nutmegshore.peers.messages import MembershipUpdate
from nutmegshore.settings import parse_settings, write_example
from nutmegshore.settings.tls import make_peer_contexts

_FILES = pathlib.Path(__file__).parent.parent / 'operators' / 'tls'


def _contexts(name='server', ca='ca.pem'):
    """TLS contexts of a peer with one certificate and one trusted CA."""
    lines = [
        '[tls]',
        f'certificate = {_FILES}/{name}.pem',
        f'key = {_FILES}/{name}.key',
        f'client_ca = {_FILES}/{ca}',
    ]
    text = write_example('vestfold').replace('[tls]', '\n'.join(lines))
    text = text.replace('[peers]', '[peers]\ntls = yes')
    return make_peer_contexts(parse_settings(text))


@message(9200)
@attrs.frozen
class _Note:
    text: str


async def _until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.02)


def _start(name, listed, contexts=()):
    rng = random.Random(name)
    transport = TcpTransport('127.0.0.1', 0, *contexts)
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


def test_three_members_link_over_tcp():
    """Guards against a mesh that only works in memory."""

    async def session():
        listed = {}
        meshes = [_start(name, listed) for name in ('a', 'b', 'c')]
        await _until(lambda: _sizes(meshes) == {3})
        await meshes[0].stop()
        await _until(lambda: _sizes(meshes[1:]) == {2})
        failures = [one.components.tasks.failures for one in meshes]
        await asyncio.gather(*[one.stop() for one in meshes[1:]])
        return failures

    assert asyncio.run(session()) == [[], [], []]


def test_two_members_exchange_messages_over_tls():
    """Guards against contexts that two peers cannot use with each other."""

    async def session():
        listed = {}
        pairs = [('a', _contexts('server')), ('b', _contexts('ann'))]
        meshes = [_start(name, listed, pair) for name, pair in pairs]
        notes = asyncio.Queue()
        meshes[1].subscribe(_Note, lambda sender, note: notes.put_nowait(note))
        await _until(lambda: _sizes(meshes) == {2})
        meshes[0].send('b', _Note('hello'))
        async with asyncio.timeout(20):
            note = await notes.get()
        failures = [one.components.tasks.failures for one in meshes]
        await asyncio.gather(*[one.stop() for one in meshes])
        return note, failures

    assert asyncio.run(session()) == (_Note('hello'), [[], []])


def _refusals(mesh):
    return mesh.components.counters.total('link_failures', reason='link_closed')


def test_a_peer_without_a_certificate_of_the_ca_is_refused():
    """Guards against a cluster key that suffices although TLS is configured."""

    async def session():
        listed = {}
        mesh = _start('a', listed, _contexts())
        server, _ = _contexts()
        client = ssl.create_default_context(cafile=_FILES / 'ca.pem')
        client.check_hostname = False
        # Only the stranger dials: its address is not in the list of the other.
        stranger = _start('b', dict(listed), (server, client))
        await _until(lambda: _refusals(mesh) > 1)
        found = (_sizes([mesh, stranger]), mesh.components.tasks.failures)
        await asyncio.gather(mesh.stop(), stranger.stop())
        return found

    assert asyncio.run(session()) == ({1}, [])


async def _open(server, accepted, client):
    """Both ends of a new link, or None where one end refuses it."""
    try:
        near = await client.dial(server.address)
    except LinkError:
        (await accepted.get()).close()
        return None
    far = await accepted.get()
    if await _carries(near, far):
        return near, far
    near.close()
    far.close()
    return None


async def _carries(near, far):
    near.send(MembershipUpdate(['x']))
    try:
        async with asyncio.timeout(20):
            body = await far.read()
    except LinkError:
        return False
    return body == MembershipUpdate(['x'])


def test_reloaded_contexts_apply_to_new_links():
    """Guards against a removed CA that stays trusted until the next restart."""

    async def session():
        accepted = asyncio.Queue()
        good = _contexts()
        # Nothing is signed by the certificate that these trust.
        other = _contexts(ca='server.pem')
        server = TcpTransport('127.0.0.1', 0, *good)
        server.listen(accepted.put_nowait)
        client = TcpTransport('127.0.0.1', 0, *good)
        first = await _open(server, accepted, client)
        server.reload_tls(*other)
        found = [await _open(server, accepted, client)]
        server.reload_tls(*good)
        second = await _open(server, accepted, client)
        client.reload_tls(*other)
        found.append(await _open(server, accepted, client))
        found.extend([await _carries(*first), await _carries(*second)])
        for link in (*first, *second):
            link.close()
        await asyncio.gather(server.stop(), client.stop())
        return found

    assert asyncio.run(session()) == [None, None, True, True]


async def _pair():
    accepted = asyncio.Queue()
    server = TcpTransport('127.0.0.1', 0)
    server.listen(accepted.put_nowait)
    client = TcpTransport('127.0.0.1', 0)
    near = await client.dial(server.address)
    far = await accepted.get()
    return near, far, (server, client)


def test_the_largest_frame_passes_and_a_larger_one_closes():
    """Guards against a limit that one side does not enforce."""

    async def session():
        near, far, transports = await _pair()
        near.is_proven = True
        far.is_proven = True
        near.send(MembershipUpdate(['x' * (MAX_FRAME_BYTES - 100)]))
        body = await far.read()
        near.send(MembershipUpdate(['x' * (MAX_FRAME_BYTES + 100)]))
        with pytest.raises(LinkError) as caught:
            await far.read()
        near.close()
        far.close()
        await asyncio.gather(*[one.stop() for one in transports])
        return len(body.records[0]), caught.value.kind.value

    size, kind = asyncio.run(session())
    assert size == MAX_FRAME_BYTES - 100
    assert kind == 'frame_too_large'


def test_a_stalled_reader_closes_the_link():
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
