"""Fixtures for the balancing tests."""

import random
from types import MappingProxyType

import attrs
import pytest

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.balancing.choice import RoutingRequest
from nutmegshore.gateway.route import (
    Configuration,
    ServiceRules,
)
from nutmegshore.gateway.state import FleetState


class ManualClock:
    """A clock that advances on request, and by `tick_s` as it is read."""

    def __init__(self):
        self.seconds = 100.0
        self.tick_s = 0

    def now(self):
        self.seconds += self.tick_s
        return self.seconds

    def wall(self):
        return self.seconds

    def advance(self, seconds):
        self.seconds += seconds


@pytest.fixture
def clock():
    """Clock that a test advances."""
    return ManualClock()


@pytest.fixture
def configure(route):
    """Function that builds a configuration of routes."""

    def build(*routes, version=1, cold_per_s=8):
        rules = ServiceRules(cold_s=3, cold_per_s=cold_per_s)
        return Configuration(
            version,
            routes or (route(),),
            MappingProxyType({'orders': rules}),
        )

    return build


@pytest.fixture
def make_state(clock, configure):
    """Function that builds a state with upstreams and a configuration."""

    def build(*upstreams, configuration=None):
        state = FleetState(clock)
        state.adopt(configuration or configure())
        state.replace_upstreams(upstreams, is_after_outage=False)
        state.replace_evacuated(())
        return state

    return build


@pytest.fixture
def make_balancer(clock):
    """Function that builds a balancer of one gateway."""

    def build(state, local='g1', gateways=('g1', 'g2', 'g3'), **changes):
        dependencies = BalancerDependencies(
            clock=clock,
            rng=random.Random(7),
            local=local,
            region=changes.get('region', 'west'),
            gateways=lambda region: gateways,
            max_shift=0.15,
        )
        return Balancer(state, dependencies)

    return build


@pytest.fixture
def make_request(route):
    """Function that builds a request for an object."""

    def build(key='7', **changes):
        made = RoutingRequest(route(), 'orders', key, 2.0)
        return attrs.evolve(made, **changes)

    return build
