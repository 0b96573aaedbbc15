"""Tests of the age of a replica, on virtual time."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.replica_view import ReplicaView, ToldView


@pytest.fixture
def run_view():
    """Run a session with a clock and a view."""

    def run(session):
        async def running():
            clock = VirtualClock()
            await session(clock, ReplicaView(clock))

        run_virtual(running)

    return run


def test_the_age_counts_from_the_store_over_every_hop(run_view):
    async def session(clock, view):
        told = ToldView(0.75, [['g1', 0.25]])
        view.record_peer('g2', told)
        await clock.sleep(0.5)
        assert view.seen_s == pytest.approx(1.25)
        assert view.source == 'g2'
        assert view.hops == [['g1', 0.25], ['g2', 0.75]]
        view.record_answer('watch', clock.now())
        assert view.seen_s == pytest.approx(0)
        assert view.age_s == pytest.approx(0)
        assert (view.source, view.hops) == ('watch', [])

    run_view(session)


def test_an_older_view_confirms_nothing(run_view):
    async def session(clock, view):
        view.record_answer('listing', clock.now())
        await clock.sleep(1)
        view.confirm_at(clock.now() - 3)
        assert view.age_s == pytest.approx(1)
        view.confirm_at(clock.now() - 0.5)
        assert view.age_s == pytest.approx(0.5)

    run_view(session)


def test_a_view_without_an_answer_is_old(run_view):
    async def session(clock, view):
        assert view.age_s > 60

    run_view(session)


def test_an_answer_is_as_old_as_its_call(run_view):
    """Guards against keys that are believed too long: an answer waited in a
    link or for a stopped process, and counted from its arrival."""

    async def session(clock, view):
        called_at = clock.now()
        await clock.sleep(6)
        view.record_answer('listing', called_at)
        assert view.age_s == pytest.approx(6)

    run_view(session)


def test_an_update_that_fails_halfway_is_not_fresh(run_view):
    """Guards against a view that is fresh while the replica lacks a change."""

    async def session(clock, view):
        view.record_answer('listing', clock.now())
        with pytest.raises(KeyError), view.updating():
            raise KeyError
        assert view.age_s > 60

    run_view(session)


def test_objects_of_another_gateway_are_not_fresh_by_themselves(run_view):
    """Guards against keys that are believed too long: objects waited in a link
    whose delay cannot be seen, and counted as if they had not."""

    async def session(clock, view):
        view.record_answer('listing', clock.now())
        await clock.sleep(4)
        view.record_peer('g2', ToldView(0.1))
        assert view.age_s == pytest.approx(4)

    run_view(session)
