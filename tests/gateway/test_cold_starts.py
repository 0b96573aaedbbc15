"""Tests of what a gateway knows of cold upstreams."""

import math
from types import MappingProxyType

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.cold_gossip import MAX_TOLD, ColdGossip
from nutmegshore.gateway.cold_starts import ColdSource
from nutmegshore.gateway.route import Configuration, ServiceRules
from nutmegshore.gateway.state import FleetState

_COLD_S = 3


def _make_state(clock, *upstreams):
    state = FleetState(clock)
    rules = ServiceRules(cold_s=_COLD_S, cold_per_s=8)
    services = MappingProxyType({'orders': rules})
    state.adopt(Configuration(1, (), services))
    state.replace_upstreams(upstreams, is_after_outage=False)
    state.replace_evacuated(())
    return state


@pytest.fixture
def play(upstream):
    """Function that runs a session with a clock, a state and an upstream."""

    def run(session):
        async def start():
            clock = VirtualClock()
            one = upstream('u1', born_ms=5)
            await session(clock, _make_state(clock, one), one)

        run_virtual(start)

    return run


@pytest.mark.parametrize('source', [ColdSource.UNREACHABLE, ColdSource.LOST])
def test_an_upstream_that_fails_counts_as_cold_until_it_answers(play, source):
    """Guards against FAILBACK: an upstream that could not be reached started
    again under its id, and counted as warm."""

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, source)
        await clock.sleep(20)
        assert math.isinf(state.cold_left_s('u1'))
        state.cold_starts.handle_answer(one, clock.now() - 0.5)
        assert state.cold_left_s('u1') == pytest.approx(_COLD_S)
        await clock.sleep(1)
        state.cold_starts.handle_answer(one, clock.now() - 0.1)
        assert state.cold_left_s('u1') == pytest.approx(_COLD_S - 1)

    play(session)


def test_an_answer_to_an_earlier_request_proves_that_it_runs_on(play):
    """Guards against upstreams that get little after each lost answer: one
    that answers what it got before has not started again."""

    async def session(clock, state, one):
        await clock.sleep(2)
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        await clock.sleep(0.5)
        state.cold_starts.handle_answer(one, sent_at=1)
        assert not state.is_cold('u1')

    play(session)


def test_a_cold_upstream_that_runs_on_stays_cold(play, upstream):
    """Guards against FAILBACK: a lost answer made a cold upstream warm."""

    async def session(clock, state, one):
        state.put(upstream('u1', born_ms=5, cold_left_s=4))
        await clock.sleep(1)
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        await clock.sleep(1)
        state.cold_starts.handle_answer(one, sent_at=0.5)
        assert state.cold_left_s('u1') == pytest.approx(2)

    play(session)


def test_the_registration_of_the_next_start_settles_it(play, upstream):
    """Guards against a restarted upstream whose own word is not believed, and
    against an older registration that hides the restart."""

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        state.put(attrs.evolve(one, cold_left_s=1))
        assert math.isinf(state.cold_left_s('u1'))
        state.put(upstream('u1', born_ms=9, cold_left_s=2))
        assert state.cold_left_s('u1') == pytest.approx(2)
        state.put(upstream('u1', born_ms=12))
        assert not state.is_cold('u1')

    play(session)


def test_a_health_page_settles_it_unless_it_is_older(play):
    """Guards against FAILBACK: a health page that was read before an upstream
    could not be reached made it warm."""

    async def session(clock, state, one):
        await clock.sleep(1)
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        state.cold_starts.handle_health(one, 0, asked_at=0.5)
        assert state.is_cold('u1')
        state.cold_starts.handle_health(one, 1.5, asked_at=clock.now())
        assert state.cold_left_s('u1') == pytest.approx(1.5)

    play(session)


def test_gateways_tell_each_other_of_cold_upstreams(play):
    """Guards against FAILBACK: one gateway saw that an upstream was gone, and
    all others sent to it as to a warm one."""

    async def session(clock, state, one):
        other = _make_state(clock, one)
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        await clock.sleep(0.3)
        _tell(clock, state, other)
        assert math.isinf(other.cold_left_s('u1'))
        await clock.sleep(1)
        state.cold_starts.handle_health(one, 2, asked_at=clock.now())
        _tell(clock, state, other)
        assert other.cold_left_s('u1') == pytest.approx(2)

    play(session)


def test_an_echo_does_not_open_a_settled_matter(play):
    """Guards against an upstream that stays cold because gateways repeat to
    each other what is long settled."""

    async def session(clock, state, one):
        other = _make_state(clock, one)
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        _tell(clock, state, other)
        await clock.sleep(0.2)
        state.cold_starts.handle_health(one, 0, asked_at=clock.now())
        for _ in range(20):
            packed = ColdGossip(other, clock).known()
            await clock.sleep(0.25)
            ColdGossip(state, clock).adopt(packed)
            assert not state.is_cold('u1')
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        _tell(clock, state, other)
        assert other.is_cold('u1')

    play(session)


def test_a_peer_may_know_the_next_start_before_its_registration(play, upstream):
    """Guards against FAILBACK: word of the next start was left out since it
    is not that of the registered one; word of the one before is over."""

    async def session(clock, state, one):
        later = upstream('u1', born_ms=9, cold_left_s=2)
        _tell(clock, _make_state(clock, later), state)
        assert state.cold_left_s('u1') == pytest.approx(2)
        other = _make_state(clock, attrs.evolve(later, cold_left_s=0))
        _tell(clock, state, other)
        assert not other.is_cold('u1')

    play(session)


def test_a_gateway_whose_own_path_is_broken_holds_nobody_back(play):
    """Guards against an upstream that all gateways hold back for as long as
    one of them cannot reach it."""

    async def session(clock, state, one):
        other = _make_state(clock, one)
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        _tell(clock, state, other)
        await clock.sleep(0.5)
        other.cold_starts.handle_health(one, 0, asked_at=clock.now())
        for _ in range(20):
            await clock.sleep(0.5)
            state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
            _tell(clock, state, other)
            _tell(clock, other, state)
            assert not other.is_cold('u1')

    play(session)


def test_a_peer_that_reaches_an_upstream_settles_it(play):
    """Guards against an upstream that a gateway leaves unused although others
    have long reached it again."""

    async def session(clock, state, one):
        other = _make_state(clock, one)
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        await clock.sleep(0.5)
        other.cold_starts.handle_health(one, 1, asked_at=clock.now())
        _tell(clock, other, state)
        assert state.cold_left_s('u1') == pytest.approx(1)

    play(session)


def test_a_zone_that_is_taken_back_counts_as_cold(play, upstream):
    """Guards against FAILBACK: all gateways sent to the upstreams of a zone
    that was taken back as to warm ones, before these said that they are cold.
    """

    async def session(clock, state, one):
        state.put(upstream('u2', availability_zone='other'))
        state.replace_evacuated((one.availability_zone,))
        await clock.sleep(1)
        state.replace_evacuated(())
        assert state.cold_left_s('u1') == pytest.approx(_COLD_S)
        assert not state.is_cold('u2')
        assert not ColdGossip(state, clock).own()
        state.replace_evacuated(())
        await clock.sleep(_COLD_S)
        assert not state.is_cold('u1')

    play(session)


def test_a_zone_that_is_taken_back_warm_is_used_at_once(play):
    """Guards against a zone that is used little although one of its upstreams
    has said that it is warm; a registration says how cold it really is."""

    async def session(clock, state, one):
        other = _make_state(clock, one)
        for each in (state, other):
            each.replace_evacuated((one.availability_zone,))
            each.replace_evacuated(())
        await clock.sleep(0.2)
        state.cold_starts.handle_health(one, 0, asked_at=clock.now())
        assert not state.is_cold('u1')
        _tell(clock, state, other)
        assert not other.is_cold('u1')
        other.put(attrs.evolve(one, cold_left_s=2))
        assert other.cold_left_s('u1') == pytest.approx(2)

    play(session)


def test_a_gateway_that_reaches_hardly_any_upstream_keeps_it_to_itself(
    play, upstream
):
    """Guards against one overloaded gateway that makes all others hold back
    each upstream which it could not reach in time."""

    async def session(clock, state, one):
        others = [upstream(f'v{number}') for number in range(10)]
        for other in others:
            state.put(other)
            state.cold_starts.handle_failure(other, ColdSource.UNREACHABLE)
            await clock.sleep(0.1)
        assert len(ColdGossip(state, clock).own()) == 1
        assert all(state.is_cold(other.instance) for other in others)
        await clock.sleep(2)
        for _ in range(10):
            state.cold_starts.handle_answer(one, clock.now())
        for number in range(4):
            lost = upstream(f'w{number}')
            state.put(lost)
            state.cold_starts.handle_failure(lost, ColdSource.LOST)
        assert len(ColdGossip(state, clock).own()) == 5

    play(session)


def test_a_message_is_bounded_and_holds_the_latest(play, upstream):
    """Guards against reports that grow with a fleet that is down."""

    async def session(clock, state, one):
        for number in range(MAX_TOLD + 5):
            gone = upstream(f'v{number}')
            state.put(gone)
            state.cold_starts.handle_answer(one, clock.now())
            state.cold_starts.handle_answer(one, clock.now())
            state.cold_starts.handle_failure(gone, ColdSource.UNREACHABLE)
            await clock.sleep(0.01)
        packed = ColdGossip(state, clock).own()
        assert len(packed) == MAX_TOLD
        assert gone.instance in packed
        assert 'v4' not in packed

    play(session)


def test_what_is_long_settled_is_not_told(play):
    """Guards against reports that hold each upstream that ever failed."""

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        state.cold_starts.handle_health(one, 0, asked_at=clock.now())
        assert ColdGossip(state, clock).own()
        await clock.sleep(60)
        assert not ColdGossip(state, clock).own()

    play(session)


def _tell(clock, sender, receiver):
    ColdGossip(receiver, clock).adopt(ColdGossip(sender, clock).own())
