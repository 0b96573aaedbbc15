"""Tests of the budget of bytes that callers share."""

import asyncio

import pytest

from nutmegshore.byte_budget import SMALL_BYTES, ByteBudget
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.listener import KEPT_BYTES, KeptBody
from nutmegshore.upstreams import BodySource

_LIMIT = 1_000_000
_PIECE = bytes(SMALL_BYTES)


@pytest.fixture
def budget():
    """A budget of a million bytes."""
    return ByteBudget(_LIMIT, Counters())


class _Pieces(BodySource):
    """A body of equal pieces whose length is not known."""

    def __init__(self, count):
        self._count = count

    async def chunks(self):
        for _ in range(self._count):
            yield _PIECE


def test_what_is_held_is_given_back_once(budget):
    """Guards against a budget that shrinks with each request, or that grows
    with what a cancelled attempt adds after the end of its request."""
    with budget.hold() as held:
        held.add(300)
        held.add(-100)
        assert budget.used == 200
    held.add(50)
    held.close()
    assert budget.used == 0


def test_a_budget_is_short_from_half_of_it_on(budget):
    """Guards against a log line, and other buffers, for each piece around
    the mark."""
    changes = []
    budget.on_change = lambda: changes.append(budget.is_short)
    held = budget.hold()
    held.add(500_001)
    assert budget.buffer_bytes(262_144) == SMALL_BYTES
    held.add(-100_000)
    held.add(100_000)
    held.add(-200_000)
    assert budget.buffer_bytes(262_144) == 262_144
    assert changes == [True, False]


def test_the_last_part_is_for_small_bodies(budget):
    """Guards against large bodies that leave nothing to ordinary requests."""
    closed = []
    budget.make_room = lambda: closed.append(1)
    held = budget.hold()
    held.add(900_000)
    budget.check_room(SMALL_BYTES)
    for length in (None, SMALL_BYTES + 1):
        with pytest.raises(RefusedError) as refused:
            budget.check_room(length)
        assert refused.value.kind is ErrorKind.CALLER_LIMIT
        assert refused.value.retry_after_s > 0
    assert len(closed) == 2
    held.add(200_000)
    with pytest.raises(RefusedError):
        budget.check_room(0)


def test_a_budget_without_a_limit_is_never_short():
    """Guards against limits where none are set."""
    budget = ByteBudget()
    budget.hold().add(10**12)
    budget.check_room(None)
    assert not budget.is_short


def test_a_body_keeps_less_while_the_budget_is_short(budget):
    """Guards against bodies that keep their whole start, so that a few of
    them use up the budget."""

    async def session():
        budget.hold().add(510_000)
        body = KeptBody(_Pieces(60), 1_048_576, budget.hold())
        await body.read_start()
        assert KEPT_BYTES < len(body.start) <= KEPT_BYTES + SMALL_BYTES
        assert not body.can_replay
        rest = [piece async for piece in body.chunks()]
        assert sum(map(len, rest)) == 60 * SMALL_BYTES

    asyncio.run(session())


def test_the_start_of_a_long_body_is_given_back_as_it_is_sent(budget):
    """Guards against uploads that hold their start until they end, long after
    it may have been sent again."""

    async def session():
        body = KeptBody(_Pieces(60), KEPT_BYTES, budget.hold())
        await body.read_start()
        assert budget.used > KEPT_BYTES
        async for _ in body.chunks():
            last_used = budget.used
        assert last_used == 0

    asyncio.run(session())


def test_a_body_that_can_be_sent_again_stays(budget):
    """Guards against a retry with a part of the body."""

    async def session():
        body = KeptBody(_Pieces(3), KEPT_BYTES, budget.hold())
        await body.read_start()
        assert body.can_replay
        for _ in range(2):
            sent = [piece async for piece in body.chunks()]
            assert b''.join(sent) == _PIECE * 3
        assert budget.used == len(_PIECE) * 3

    asyncio.run(session())


def test_a_body_waits_only_while_the_budget_is_well(budget):
    """Guards against uploads that hold memory for as long as they wait for
    their upstream, while others are refused for want of it."""
    calls = []
    budget.make_room = lambda: calls.append(budget.used)
    budget.check_wait()
    budget.hold().add(510_000)
    with pytest.raises(RefusedError) as refused:
        budget.check_wait()
    assert refused.value.kind is ErrorKind.CALLER_LIMIT
    assert refused.value.retry_after_s == 1
    assert calls == [0, 510_000]


def test_a_body_that_finds_no_room_is_refused(budget):
    """Guards against bodies of unknown length that grow beyond the budget."""

    async def session():
        budget.hold().add(860_000)
        body = KeptBody(_Pieces(60), 1_048_576, budget.hold())
        with pytest.raises(RefusedError):
            await body.read_start()

    asyncio.run(session())
