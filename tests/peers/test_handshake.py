"""Tests of the handshake of links."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers import LinkNetwork, Member
from nutmegshore.peers.handshake import VERSION_SCALE, perform_handshake
from nutmegshore.peers.link import HELLO_BYTES
from nutmegshore.peers.messages import Hello, Ping, Proof

_HELLO = Hello(VERSION_SCALE, 'c', 'a', 1, 'west', 'a', 'a', b'1' * 16)
_OTHER = attrs.evolve(_HELLO, name='b', challenge=b'2' * 16)


async def _link():
    network = LinkNetwork()
    accepted = []
    ends = [
        network.join(Member(name, 'west', 'a'), VirtualClock())
        for name in ('a', 'b')
    ]
    ends[1].listen(accepted.append)
    return await ends[0].dial('b'), accepted[0]


def _shake(local, remote, keys=(b'k', b'k')):
    async def session():
        near, far = await _link()
        return await asyncio.gather(
            perform_handshake(near, local, keys[0], is_dialler=True),
            perform_handshake(far, remote, keys[1], is_dialler=False),
            return_exceptions=True,
        )

    return run_virtual(session)


def test_each_side_receives_the_hello_of_the_other():
    """Guards against a handshake that mixes up the hellos."""
    assert _shake(_HELLO, _OTHER) == [_OTHER, _HELLO]


@pytest.mark.parametrize(
    ('change', 'keys', 'kind'),
    [
        ({'cluster': 'd'}, (b'k', b'k'), ErrorKind.PEER_WRONG_CLUSTER),
        ({}, (b'k', b'l'), ErrorKind.PEER_WRONG_KEY),
        (
            {'version': 2 * VERSION_SCALE},
            (b'k', b'k'),
            ErrorKind.PEER_INCOMPATIBLE_VERSION,
        ),
    ],
)
def test_a_foreign_member_is_refused_with_the_reason(change, keys, kind):
    """Guards against a link to another cluster or without its key."""
    found = _shake(_HELLO, attrs.evolve(_OTHER, **change), keys)
    assert [failure.kind for failure in found] == [kind, kind]


def test_a_newer_minor_version_is_accepted():
    """Guards against a rolling upgrade that splits the cluster."""
    newer = attrs.evolve(_OTHER, version=VERSION_SCALE + 7)
    assert _shake(_HELLO, newer) == [newer, _HELLO]


def test_a_proof_sent_back_is_refused():
    """Guards against a peer without the key that reflects hello and proof."""

    async def reflect(far):
        async for body in far:
            if isinstance(body, Hello):
                body = attrs.evolve(body, name='b')
            if isinstance(body, (Hello, Proof)):
                far.send(body)

    async def session():
        near, far = await _link()
        echo = asyncio.ensure_future(reflect(far))
        with pytest.raises(LinkError) as caught:
            await perform_handshake(near, _HELLO, b'k', is_dialler=True)
        echo.cancel()
        return caught.value.kind

    assert run_virtual(session) is ErrorKind.PEER_WRONG_KEY


def test_a_message_before_the_proof_is_refused():
    """Guards against messages of an unauthenticated peer."""

    async def session():
        near, far = await _link()
        far.send(Ping())
        with pytest.raises(LinkError) as caught:
            await perform_handshake(near, _HELLO, b'k', is_dialler=True)
        return caught.value.kind, near.is_proven

    assert run_virtual(session) == (ErrorKind.MALFORMED_FRAME, False)


def test_an_unauthenticated_peer_cannot_send_a_large_frame():
    """Guards against memory use by peers without the key."""

    async def session():
        near, far = await _link()
        far.send_frame(b'\0' * (HELLO_BYTES + 1))
        with pytest.raises(LinkError) as caught:
            await perform_handshake(near, _HELLO, b'k', is_dialler=True)
        return caught.value.kind

    assert run_virtual(session) is ErrorKind.FRAME_TOO_LARGE


def test_a_full_send_queue_closes_the_link():
    """Guards against a slow member that exhausts the memory of the others."""

    async def session():
        near, _ = await _link()
        near.owner.network.bytes_per_s = 1000
        sent = 0
        while near.send_frame(b'\0' * 1_000_000) and sent < 100:
            sent += 1
        return sent, near.is_closed

    sent, is_closed = run_virtual(session)
    assert sent < 100
    assert is_closed
