"""Tests of the room for bodies on their way to an upstream."""

import asyncio

import pytest

from nutmegshore.upstreams.upload_room import UploadRoom

_LIMIT = 1_000_000


@pytest.fixture
def closed():
    """Calls for room so far."""
    return []


@pytest.fixture
def room(closed):
    """Room for a million bytes to each upstream."""
    return UploadRoom(lambda: closed.append(1), _LIMIT)


def test_a_body_waits_for_those_before_it(room, closed):
    """Guards against uploads to one upstream whose sum exceeds its memory."""

    async def session():
        first = await room.take('u1', 600_000)
        second = asyncio.ensure_future(room.take('u1', 600_000))
        await asyncio.sleep(0.01)
        assert not second.done()
        assert closed
        with await room.take('u2', 600_000), await room.take('u1', 1000):
            first.close()
        with await second:
            assert not room._has_room('u1', 600_000)
        assert room._has_room('u1', _LIMIT)

    asyncio.run(asyncio.wait_for(session(), 20))


def test_a_body_alone_always_fits(room):
    """Guards against a body that waits for ever."""

    async def session():
        with await room.take('u1', 10 * _LIMIT):
            assert not room._has_room('u1', 20_000)

    asyncio.run(asyncio.wait_for(session(), 20))
