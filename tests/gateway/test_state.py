"""Tests of a gateway's view of its fleet."""

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.route import Configuration
from nutmegshore.gateway.state import FleetState


@pytest.fixture
def state(upstream):
    """State with two upstreams on virtual time."""

    def build():
        made = FleetState(VirtualClock())
        made.replace_upstreams(
            [upstream('u1'), upstream('u2')],
            is_after_outage=False,
        )
        made.replace_evacuated(())
        return made

    return build


def _names(state):
    return [one.instance for one in state.usable('orders')]


def _configuration(version):
    return Configuration(version, (), {})


def test_a_configuration_never_goes_back(state):
    """Guards against an older configuration from a lagging source."""

    async def session():
        made = state()
        assert made.adopt(_configuration(5))
        assert not made.adopt(_configuration(4))
        assert not made.adopt(_configuration(5))
        assert made.configuration.version == 5

    run_virtual(session)


def test_a_draining_upstream_gets_nothing(state, upstream):
    """Guards against new work for an upstream that is leaving."""

    async def session():
        made = state()
        made.put(upstream('u1', is_draining=True))
        assert _names(made) == ['u2']

    run_virtual(session)


def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(state):
    """Guards against work in a zone that the operator empties."""

    async def session():
        made = state()
        made.replace_evacuated({'west-a'})
        assert not _names(made)
        made.replace_evacuated(())
        assert len(_names(made)) == 2

    run_virtual(session)


def test_a_missing_entry_is_gone_at_once_while_the_store_is_sound(state):
    """Guards against work for an upstream that left without a notice."""

    async def session():
        made = state()
        made.drop('u1', is_after_outage=False)
        assert _names(made) == ['u2']

    run_virtual(session)


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(state, upstream):
    """Guards against an empty list after an outage of the store, in which
    live upstreams could not renew their entries."""

    async def session():
        made = state()
        clock = made._clock
        made.replace_upstreams((), is_after_outage=True)
        assert len(_names(made)) == 2
        await clock.sleep(1)
        made.put(upstream('u1'))
        await clock.sleep(1.5)
        assert made.expire_missing() == ['u2']
        assert _names(made) == ['u1']

    run_virtual(session)


def test_a_draining_entry_that_lapses_in_an_outage_is_gone(state, upstream):
    """Guards against keeping an upstream that had said it would leave."""

    async def session():
        made = state()
        made.put(upstream('u1', is_draining=True))
        made.replace_upstreams([upstream('u2')], is_after_outage=True)
        assert 'u1' not in made.by_id

    run_virtual(session)


def test_an_upstream_that_moved_is_used_again_after_a_new_start(
    state,
    upstream,
):
    """Guards against an upstream that stays excluded for ever."""

    async def session():
        made = state()
        made.mark_moved(made.by_id['u1'])
        assert _names(made) == ['u2']
        made.put(attrs.evolve(upstream('u1'), born_ms=2))
        assert set(_names(made)) == {'u1', 'u2'}

    run_virtual(session)


def test_a_cold_upstream_warms_up(state, upstream):
    """Guards against a bound on cold upstreams that never ends."""

    async def session():
        made = state()
        made.put(upstream('u1', cold_left_s=2))
        assert made.is_cold('u1')
        await made._clock.sleep(2.1)
        assert not made.is_cold('u1')

    run_virtual(session)
