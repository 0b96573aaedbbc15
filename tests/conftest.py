"""Fixtures shared by many test modules."""

import contextlib
import random

import attrs
import hypothesis
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from nutmegshore.clock import SystemClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.faults import Faults, report_logged_faults
from nutmegshore.gateway.assembly import GatewayDependencies
from nutmegshore.gateway.daemon import GatewayDaemon
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import Route, RouteKind, ServiceShare
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.platform.bounds import Bounds
from nutmegshore.platform.standin import StandinStore, make_store_application
from nutmegshore.platform.store import PlatformStore
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


@pytest.fixture(autouse=True)
def reported_faults(monkeypatch, request):
    """Faults that a test's code reports; unexpected ones fail the test."""
    found = []
    report = Faults.report

    def record(self, part, failure, *options):
        found.append((part, failure))
        report(self, part, failure, *options)

    monkeypatch.setattr(Faults, 'report', record)
    with report_logged_faults(Faults(Counters())):
        yield found
    is_expected = request.node.get_closest_marker('expects_faults')
    if not is_expected and found:
        pytest.fail(f'faults of our own code: {found}')
    if is_expected and not found:
        pytest.fail('the test expects a fault, and none was reported')


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


def _settings(store_port):
    anywhere = '127.0.0.1:0'
    return GatewaySettings(
        name='g1',
        ip='127.0.0.1',
        region='west',
        availability_zone='west-a',
        callers=anywhere,
        ready=anywhere,
        lookup=anywhere,
        peer_port=0,
        metrics_port=0,
        store=f'127.0.0.1:{store_port}',
        cluster='test',
        key='a key of a test cluster',
        regions_by_zone={'west-a': 'west'},
        bounds=Bounds(grace_s=2),
    )


@pytest.fixture
def open_gateway(make_log):
    """Context manager that opens a gateway and a store, filled by `fill`."""

    @contextlib.asynccontextmanager
    async def opened(fill):
        store = StandinStore()
        listening, store_port = bind_unused_port()
        store_server = HTTPServer(make_store_application(store))
        store_server.add_socket(listening)
        fill(store)
        settings = _settings(store_port)
        clock = SystemClock()
        counters = Counters()
        dependencies = GatewayDependencies(
            PlatformStore(settings.store),
            clock,
            random.Random(7),
            counters,
            make_log(clock, counters),
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(store_server.close_all_connections)
            stack.callback(store_server.stop)
            yield GatewayDaemon(settings, dependencies), store

    return opened
