"""Tests of how outages of the store are found."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.store_outages import StoreOutages, ToldAnswers


@pytest.fixture
def run_outages():
    """Run a session with a clock and the outages that one gateway sees."""

    def run(session):
        async def running():
            clock = VirtualClock()
            await session(clock, StoreOutages(clock))

        run_virtual(running)

    return run


def test_a_gateway_that_is_cut_off_alone_sees_no_outage(run_outages):
    """Guards against DRAIN: a cut of one gateway was taken for an outage of
    the store, after which a removal may be an entry that expired."""

    async def session(clock, outages):
        for _ in range(10):
            outages.record_told(ToldAnswers(age_s=1.5))
            await clock.sleep(1)
            assert not outages.may_lack_entries
        outages.record_answer()
        assert not outages.may_lack_entries

    run_outages(session)


def test_entries_may_be_missing_until_they_can_be_back(run_outages):
    """Guards against live upstreams that are dropped after an outage, and
    against a time that begins anew with each word of the same return."""

    async def session(clock, outages):
        outages.record_answer()
        await clock.sleep(6)
        assert outages.may_lack_entries
        outages.record_answer()
        for age_s in (1, 2):
            await clock.sleep(1)
            assert outages.may_lack_entries
            outages.record_told(ToldAnswers(age_s=age_s))
        await clock.sleep(0.5)
        assert not outages.may_lack_entries

    run_outages(session)


def test_a_watch_without_changes_is_no_outage(run_outages):
    """Guards against a quiet store that is taken for one that is away."""

    async def session(clock, outages):
        outages.record_answer()
        await clock.sleep(10)
        outages.record_answer(waited_s=9.5)
        assert not outages.may_lack_entries

    run_outages(session)


def test_a_peer_that_knows_of_no_answer_tells_nothing(run_outages):
    """Guards against a gateway that has just started and whose peers take it
    for one that heard of the store long ago."""

    async def session(clock, outages):
        outages.record_told(ToldAnswers(age_s=1_000_000))
        outages.record_answer()
        assert not outages.may_lack_entries

    run_outages(session)


def test_answers_to_others_show_that_a_silence_was_no_outage(run_outages):
    """Guards against DRAIN: a gateway that was cut off from everything kept
    what was removed meanwhile for seconds after it heard of the others."""

    async def session(clock, outages):
        outages.record_answer()
        await clock.sleep(6)
        outages.record_answer()
        assert outages.may_lack_entries
        outages.record_told(ToldAnswers(age_s=1, steady_s=60))
        assert not outages.may_lack_entries

    run_outages(session)


def test_answers_to_another_region_show_nothing(run_outages):
    """Guards against a region that stops using its own upstreams, whose entries
    expired while it was cut off from the store and from all others."""

    async def session(clock, outages):
        outages.record_answer()
        await clock.sleep(6)
        outages.record_told(ToldAnswers(age_s=1))
        await clock.sleep(0.5)
        outages.record_told(ToldAnswers(age_s=1.5))
        await clock.sleep(1.7)
        assert outages.may_lack_entries

    run_outages(session)


def test_a_gateway_that_knows_no_more_ends_no_doubt(run_outages):
    """Guards against live upstreams that are dropped after an outage, since a
    gateway that started after it knows of none."""

    async def session(clock, outages):
        outages.record_answer()
        await clock.sleep(6)
        outages.record_answer()
        await clock.sleep(1)
        started = StoreOutages(clock)
        started.record_answer()
        await clock.sleep(0.5)
        outages.record_told(started.told())
        assert outages.may_lack_entries

    run_outages(session)


def test_a_doubt_ends_with_the_word_of_the_first_to_hear(run_outages):
    """Guards against live upstreams that are dropped early, since a neighbour
    told of an answer to another region that came before its own doubt began."""

    async def session(clock, outages):
        outages.record_answer()
        await clock.sleep(6)
        neighbour = StoreOutages(clock)
        neighbour.record_answer()
        await clock.sleep(6)
        neighbour.record_told(ToldAnswers(age_s=1.4))
        outages.record_told(ToldAnswers(age_s=1.4))
        await clock.sleep(0.2)
        outages.record_told(neighbour.told())
        await clock.sleep(1)
        outages.record_answer()
        await clock.sleep(0.9)
        assert outages.may_lack_entries
        await clock.sleep(0.3)
        assert not outages.may_lack_entries

    run_outages(session)
