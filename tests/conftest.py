"""Fixtures shared by many test modules."""

import attrs
import hypothesis
import pytest

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import Route, RouteKind, ServiceShare
from nutmegshore.resources import Envelope, parse_spec

# The same examples on every run and no deadline, so that the result depends
# neither on chance nor on the load of the machine.
hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile('repeatable')


@pytest.fixture
def declare():
    """Factory of envelopes; the generation defaults to 1."""

    def build(kind, name, spec, generation=1, **options):
        return Envelope(
            kind=kind,
            name=name,
            generation=generation,
            uid=options.get('uid', 'uid'),
            author=options.get('author', 'ann'),
            reason=options.get('reason', ''),
            operation=options.get('operation', f'op-{generation}'),
            spec=None if spec is None else parse_spec(kind, spec),
            is_deleted=spec is None,
        )

    return build


@pytest.fixture
def table():
    """Empty configuration table."""
    return ConfigurationTable()


@pytest.fixture
def route():
    """Factory of routes to `orders`, with some fields replaced."""

    def build(**changes):
        made = Route(
            name='r1',
            host='a.example',
            prefix='/orders/',
            kind=RouteKind.SAFE,
            timeout_s=2,
            target_latency_s=0.4,
            shares=(ServiceShare('orders'),),
            max_attempts=2,
            is_sticky=True,
        )
        return attrs.evolve(made, **changes)

    return build


@pytest.fixture
def upstream():
    """Factory of upstreams of `orders`, with some fields replaced."""

    def build(name, region='west', **changes):
        made = RegisteredUpstream(
            instance=name,
            service='orders',
            address='10.0.0.1:80',
            availability_zone=f'{region}-a',
            region=region,
            slots=3,
        )
        return attrs.evolve(made, **changes)

    return build
