"""Tests of the checks of upstreams that may be cold."""

import random
from types import MappingProxyType

import pytest

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind
from nutmegshore.gateway.cold_checks import ColdChecks
from nutmegshore.gateway.cold_gossip import ColdGossip
from nutmegshore.gateway.cold_starts import ColdSource
from nutmegshore.gateway.route import Configuration, ServiceRules
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers.tasks import OwnedTasks

_NAMES = tuple(f'g{number}' for number in range(20))
#: Seconds until a gateway counts as one that knows the others.
_JOIN_S = 4


def _health(step, *headers, status=200):
    return step(status=status, headers=(('Instance-Id', 'u1'), *headers))


@pytest.fixture
def play(upstream):
    """Function that runs a session of the gateway named `local`."""

    def run(client, session, local='g1'):
        async def start():
            clock = VirtualClock()
            state = FleetState(clock)
            rules = ServiceRules(cold_s=3, cold_per_s=8, health_path='/up')
            services = MappingProxyType({'orders': rules})
            state.adopt(Configuration(1, (), services))
            one = upstream('u1')
            state.replace_upstreams([one], is_after_outage=False)
            dependencies = BalancerDependencies(
                clock,
                random.Random(7),
                local,
                'west',
                lambda region: _NAMES,
                0.15,
            )
            balancer = Balancer(state, dependencies)
            checks = ColdChecks(
                balancer.candidate_builder, client, clock, Counters()
            )
            tasks = OwnedTasks('test', Counters())
            tasks.spawn(checks.run())
            await clock.sleep(_JOIN_S)
            await session(clock, state, one)
            await tasks.stop()

        run_virtual(start)

    return run


@pytest.mark.parametrize(
    ('headers', 'left_s'), [((), 0), ((('Cold-Ms', '2500'),), 2.5)]
)
def test_a_gateway_asks_what_it_lost_for_its_health(
    play, scripted, step, headers, left_s
):
    """Guards against an upstream that gets little after one lost answer, and
    against FAILBACK after a restart."""
    client = scripted(_health(step, *headers))

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        await clock.sleep(0.2)
        assert state.cold_left_s('u1') == pytest.approx(left_s, abs=0.2)
        await clock.sleep(5)

    play(client, session)
    assert len(client.sent) == 1
    name, request = client.sent[0]
    assert (name, request.target, request.method) == ('u1', '/up', 'GET')
    assert ('Expect-Instance', 'u1') in request.headers


@pytest.mark.parametrize(
    'changes',
    [
        {'status': 503},
        {'headers': (('Instance-Id', 'u2'),)},
        {'headers': (('Instance-Id', 'u1'), ('Cold-Ms', 'soon'))},
        {'failure': ErrorKind.UPSTREAM_MOVED},
        {'failure': ErrorKind.UPSTREAM_LOST},
        {'failure': ErrorKind.UPSTREAM_UNREACHABLE},
    ],
)
def test_what_tells_nothing_settles_nothing(play, scripted, step, changes):
    """Guards against FAILBACK: a page of another upstream, or one that cannot
    be read, made an upstream warm."""
    client = scripted(step(**changes))

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, ColdSource.UNREACHABLE)
        await clock.sleep(10)
        assert state.is_cold('u1')

    play(client, session)
    # Pauses of 0.4, then 0.4, 0.8, 1.6 and 3.2 s, and some for the rounds.
    assert 4 <= len(client.sent) <= 6


def test_an_upstream_that_is_too_busy_for_its_page_runs(play, scripted, step):
    """Guards against an upstream under load that stays cold, since its health
    page waits for a slot or is turned away."""
    client = scripted(step(failure=ErrorKind.UPSTREAM_REFUSED))

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        await clock.sleep(0.2)
        assert 2 < state.cold_left_s('u1') <= 3
        await clock.sleep(3)
        assert not state.is_cold('u1')

    play(client, session)


def test_each_gateway_asks_when_nobody_tells_it_more(play, scripted, step):
    """Guards against an upstream that stays cold for ever at a gateway that
    missed the word of the others."""
    client = scripted(_health(step))

    async def session(clock, state, one):
        ColdGossip(state, clock).adopt({'u1': [0, 0, -1]})
        await clock.sleep(11)
        assert not state.is_cold('u1')

    for local in _NAMES:
        play(client, session, local)


def test_an_upstream_that_is_removed_meanwhile_is_not_kept(
    play, scripted, step
):
    """Guards against records of upstreams that are long gone."""
    client = scripted(_health(step))
    client.steps[0].after_s = 1

    async def session(clock, state, one):
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        await clock.sleep(0.5)
        state.drop('u1', is_after_outage=False)
        await clock.sleep(1)
        assert len(client.sent) == 1
        assert not ColdGossip(state, clock).own()

    play(client, session)


def test_only_those_who_may_send_ask_on_the_word_of_a_peer(
    play, scripted, step
):
    """Guards against a check by each gateway of a large fleet."""
    asked = []

    async def session(clock, state, one):
        ColdGossip(state, clock).adopt({'u1': [0, 0, -1]})
        await clock.sleep(1)

    for local in _NAMES:
        client = scripted(_health(step))
        play(client, session, local)
        asked.append(len(client.sent))
    assert 1 <= sum(asked) <= 4
    assert max(asked) == 1
