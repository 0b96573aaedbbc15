"""Tests of which incarnations of upstreams are leaving."""

import attrs
import pytest

from nutmegshore.gateway.departures import MAX_UNREGISTERED
from nutmegshore.gateway.state import FleetState


@attrs.define
class StillClock:
    """A clock that stands still."""

    seconds: float = 100

    def now(self):
        return self.seconds


@pytest.fixture
def state(upstream):
    """State with two upstreams that tell when they were started."""
    made = FleetState(StillClock())
    found = [upstream(name, born_ms=1) for name in ('u1', 'u2')]
    made.replace_upstreams(found, is_after_outage=False)
    made.replace_evacuated(())
    return made


def _names(state):
    return {one.instance for one in state.usable('orders')}


def test_an_upstream_that_leaves_by_answer_gets_nothing(state):
    """Guards against DRAIN: rankings of upstreams that were computed before
    the answer came."""
    assert _names(state) == {'u1', 'u2'}
    assert state.departures.add(state.by_id['u1'])
    assert _names(state) == {'u2'}
    assert not state.departures.add(state.by_id['u1'])


@pytest.mark.parametrize('is_draining', [False, True])
def test_a_registration_does_not_bring_it_back(state, upstream, is_draining):
    """Guards against an upstream whose registration still says `ready`, before
    or after it has said `draining`."""
    leaving = state.by_id['u1']
    state.departures.add(leaving)
    state.put(attrs.evolve(leaving, is_draining=is_draining))
    state.put(attrs.evolve(leaving, slots=9))
    assert _names(state) == {'u2'}


def test_an_outage_of_the_store_does_not_bring_it_back(state, upstream):
    """Guards against an entry that lapsed in an outage, and is back without
    what the upstream had said in its answers."""
    leaving = state.by_id['u1']
    state.departures.add(leaving)
    state.replace_upstreams([state.by_id['u2']], is_after_outage=True)
    assert 'u1' not in state.by_id
    state.put(leaving)
    assert _names(state) == {'u2'}


@pytest.mark.parametrize(
    'changes', [{'born_ms': 2}, {'address': '10.0.0.2:80'}]
)
def test_the_next_incarnation_is_used_at_once(state, changes):
    """Guards against an upstream that stays excluded after a new start under
    its id, and against a late answer of the earlier one that excludes it."""
    earlier = state.by_id['u1']
    state.departures.add(earlier)
    state.put(attrs.evolve(earlier, **changes))
    assert _names(state) == {'u1', 'u2'}
    assert not state.departures.add(earlier)
    assert _names(state) == {'u1', 'u2'}


def test_a_late_answer_is_that_of_the_earlier_incarnation(state):
    """Guards against excluding a new incarnation because of an answer to a
    request that was sent to the one before."""
    earlier = state.by_id['u1']
    state.put(attrs.evolve(earlier, born_ms=2))
    assert state.departures.add(earlier)
    assert _names(state) == {'u1', 'u2'}


def test_an_upstream_without_a_start_time_is_used_again(state, upstream):
    """Guards against an id and address that stay excluded for ever, since
    nothing tells the incarnations apart."""
    state.put(upstream('u3'))
    state.departures.add(state.by_id['u3'])
    state.drop('u3', is_after_outage=False)
    state.put(upstream('u3'))
    assert 'u3' in _names(state)


def test_a_leaving_that_is_known_is_no_news(state):
    """Guards against a line for each answer of an upstream whose registration
    says the same."""
    draining = attrs.evolve(state.by_id['u1'], is_draining=True)
    state.put(draining)
    assert not state.departures.add(attrs.evolve(draining, is_draining=False))
    assert not list(state.departures.by_answer_only())


def test_memory_of_leaving_upstreams_is_bounded(state, upstream):
    """Guards against memory that grows with each upstream that has left, and
    against forgetting a registered one for their sake."""
    state.departures.add(state.by_id['u1'])
    for number in range(3 * MAX_UNREGISTERED):
        latest = upstream(f'x{number}', born_ms=1)
        state.departures.add(latest)
    assert len(state.departures._said) <= MAX_UNREGISTERED + 2
    assert _names(state) == {'u2'}
    assert state.departures.is_leaving(latest)


def test_only_upstreams_that_are_registered_as_ready_are_listed(
    state, upstream
):
    """Guards against telling peers of upstreams that are gone, and of those
    whose leaving they know from the store."""
    for name in ('u1', 'u2', 'u9'):
        state.departures.add(upstream(name, born_ms=1))
    state.put(upstream('u2', born_ms=1, is_draining=True))
    found = state.departures.by_answer_only()
    assert [one.instance for one in found] == ['u1']
