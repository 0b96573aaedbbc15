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
        assert view.age_s == pytest.approx(1.25)
        assert view.source == 'g2'
        assert view.hops == [['g1', 0.25], ['g2', 0.75]]
        view.record_answer('watch')
        assert view.age_s == pytest.approx(0)
        assert (view.source, view.hops) == ('watch', [])

    run_view(session)


def test_an_older_view_confirms_nothing(run_view):
    async def session(clock, view):
        view.record_answer('listing')
        await clock.sleep(1)
        view.confirm(age_s=3)
        assert view.age_s == pytest.approx(1)
        view.confirm(age_s=0.5)
        assert view.age_s == pytest.approx(0.5)

    run_view(session)


def test_a_view_without_an_answer_is_old(run_view):
    async def session(clock, view):
        assert view.age_s > 60

    run_view(session)
