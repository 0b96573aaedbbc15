"""Tests of an era that the store names once and then no more."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.era_doubts import EraDoubts
from nutmegshore.store import StoreEras


@pytest.fixture
def run_eras():
    """Run a session with a clock and eras of which the newest is wrong."""

    def run(session):
        async def running():
            clock = VirtualClock()
            eras = StoreEras()
            EraDoubts(eras, clock).follow()
            for era in (1, 900):
                eras.observe(era)
            await session(clock, eras)

        run_virtual(running)

    return run


async def _answer(clock, eras, era, seconds):
    for _ in range(10):
        eras.observe(era)
        await clock.sleep(seconds / 10)
    eras.observe(era)


def test_an_era_that_is_named_no_more_is_withdrawn(run_eras):
    """Guards against one answer with a wrong era, after which all others seem
    older for good."""

    async def session(clock, eras):
        seen = []
        eras.on_restore.append(lambda *numbers: seen.append(numbers))
        await _answer(clock, eras, 1, 3)
        assert (eras.newest, seen) == (1, [(1, 900)])
        eras.adopt(900)
        assert eras.newest == 1
        eras.adopt(2)
        assert eras.newest == 2

    run_eras(session)


def test_a_withdrawn_era_that_is_named_again_holds(run_eras):
    """Guards against a store that is not followed since its era was once
    withdrawn."""

    async def session(clock, eras):
        await _answer(clock, eras, 1, 3)
        eras.observe(900)
        assert eras.newest == 900
        assert not eras.is_withdrawn(900)

    run_eras(session)


def test_late_answers_do_not_withdraw_an_era(run_eras):
    """Guards against answers from before a restore that bring its history
    back: newer ones come between them."""

    async def session(clock, eras):
        for _ in range(5):
            await _answer(clock, eras, 1, 2)
            eras.observe(900)
        assert eras.newest == 900

    run_eras(session)


def test_a_peer_does_not_confirm_an_era(run_eras):
    """Guards against gateways that keep a wrong era since they hear of it from
    each other."""

    async def session(clock, eras):
        for _ in range(2):
            await _answer(clock, eras, 1, 1.5)
            eras.adopt(900)
        assert eras.newest == 1

    run_eras(session)


def test_a_store_with_eras_does_not_lose_them(run_eras):
    """Guards against an era 0, which stands for a store without eras."""

    async def session(clock, eras):
        await _answer(clock, eras, 0, 5)
        assert eras.newest == 900

    run_eras(session)
