"""Tests of the gauges of a gateway."""

import random
import types

import attrs
import pytest

from nutmegshore.balancing import BalancerDependencies
from nutmegshore.balancing.candidate_builder import CandidateBuilder
from nutmegshore.balancing.region_choice import RegionChooser
from nutmegshore.counters import Counters
from nutmegshore.exposition import write_exposition
from nutmegshore.gateway.gauges import Gauges, GaugeSources
from nutmegshore.gateway.route import Configuration
from nutmegshore.gateway.state import FleetState
from nutmegshore.store import StorePosition
from nutmegshore.upstreams import UpstreamReport


@attrs.define
class StillClock:
    """A clock that a test sets."""

    seconds: float = 100

    def now(self):
        return self.seconds


@pytest.fixture
def clock():
    """Clock that stands still."""
    return StillClock()


@pytest.fixture
def sources(clock, route, upstream):
    """Gauge sources of a gateway with two upstreams in two regions."""
    state = FleetState(clock)
    state.adopt(Configuration(7, (route(),), types.MappingProxyType({})))
    found = [upstream('u1'), upstream('u2', region='north')]
    state.replace_upstreams(found, is_after_outage=False)
    follower = types.SimpleNamespace(
        prefix='servers/',
        is_store_reachable=True,
        is_listed=True,
        age_s=1.5,
        view=types.SimpleNamespace(age_s=0.7),
        known=types.SimpleNamespace(position=StorePosition(2, 41)),
    )
    peering = types.SimpleNamespace(
        report_ages=lambda: {'g2': 0.2},
        transit_times=types.SimpleNamespace(waits=lambda: {'g2': 0.4}),
    )
    dependencies = BalancerDependencies(
        clock, random.Random(7), 'g1', 'west', lambda _: [], 0.15
    )
    return GaugeSources(
        state,
        CandidateBuilder(state, dependencies),
        RegionChooser(dependencies, lambda request, candidate: True),
        peering,
        (follower,),
        types.SimpleNamespace(counts=lambda: {'servers/': 2}),
        lambda: 3,
        clock,
        Counters(),
    )


def _shown(sources):
    Gauges(sources).refresh()
    lines = write_exposition(sources.counters).splitlines()
    return {line for line in lines if not line.startswith('#')}


def test_state_is_shown_with_its_age(sources, clock):
    """Guards against an on-call engineer who cannot see how old the
    shown state is."""
    sources.candidate_builder.load.get('u1').in_flight = 2
    sources.candidate_builder.load.handle_report('u1', 2)
    clock.seconds += 0.5
    shown = _shown(sources)
    upstream = 'service="orders",upstream="u1"'
    assert shown >= {
        'nutmegshore_configuration_age_seconds 0.5',
        'nutmegshore_configuration_version 7',
        'nutmegshore_entries_rejected_now{kind="servers/"} 2',
        'nutmegshore_peer_report_age_seconds{peer="g2"} 0.2',
        'nutmegshore_region_room{region="north",service="orders"} 3',
        'nutmegshore_region_room{region="west",service="orders"} 1',
        'nutmegshore_requests_in_flight 3',
        'nutmegshore_store_in_touch{kind="servers/"} 1',
        'nutmegshore_store_listing_age_seconds{kind="servers/"} 1.5',
        'nutmegshore_store_revision{kind="servers/"} 41',
        'nutmegshore_store_view_age_seconds{kind="servers/"} 0.7',
        'nutmegshore_peer_message_wait_seconds{peer="g2"} 0.4',
        f'nutmegshore_upstream_report_age_seconds{{{upstream}}} 0.5',
        f'nutmegshore_upstream_room{{{upstream}}} 1',
    }


def test_a_draining_upstream_has_no_free_slots(sources, upstream):
    """Guards against counting the slots of a draining upstream as free."""
    sources.state.put(upstream('u1', is_draining=True))
    room = 'nutmegshore_region_room{region="west",service="orders"}'
    assert f'{room} 0' in _shown(sources)


def test_nothing_is_shown_of_an_upstream_that_is_gone(sources):
    """Guards against series that grow with each replaced upstream."""
    assert any('u2' in line for line in _shown(sources))
    sources.state.drop('u2', is_after_outage=False)
    assert not any('u2' in line for line in _shown(sources))


def test_what_moves_to_other_regions_is_shown(sources):
    """Guards against an operator who sees refusals beside idle regions and
    cannot tell whether anything moves.
    """
    sources.chooser.handle_region(80, 20, {})
    sources.chooser.spillover.record('orders', 0, has_capacity=True)
    shown = _shown(sources)
    assert 'nutmegshore_region_away_fraction 0.2' in shown
    sources.clock.seconds += 2
    assert not any('away_fraction' in line for line in _shown(sources))


def test_the_spillover_of_a_service_is_shown(sources):
    """Guards against the same, for what should move."""
    sources.chooser.spillover.record('orders', 0, has_capacity=True)
    metric = 'nutmegshore_spillover_fraction{service="orders"} 0'
    assert any(line.startswith(metric) for line in _shown(sources))


def test_a_limit_is_shown_until_it_ends(sources, clock):
    """Guards against an upstream in need that on-call cannot see."""
    limits = sources.candidate_builder.limits
    limits.handle_report('u1', UpstreamReport(max_rate=1.5))
    clock.seconds += 2
    shown = _shown(sources)
    labels = '{service="orders",upstream="u1"}'
    assert f'nutmegshore_upstream_limit_per_second{labels} 1.5' in shown
    assert f'nutmegshore_upstream_limit_age_seconds{labels} 2' in shown
    limits.handle_report('u1', UpstreamReport())
    assert not any('upstream_limit' in line for line in _shown(sources))


def test_a_pause_is_shown_until_it_ends(sources, clock):
    """Guards against an upstream without requests that on-call cannot see."""
    builder = sources.candidate_builder
    builder.pauses.begin(sources.state.by_id['u1'], 30)
    clock.seconds += 31
    labels = '{service="orders",upstream="u1"}'
    assert f'nutmegshore_upstream_pause_seconds{labels} 0' in _shown(sources)
    builder.forget('u1')
    sources.state.drop('u1', is_after_outage=False)
    assert not any('upstream_pause' in line for line in _shown(sources))


def test_an_upstream_that_leaves_by_answer_is_shown(sources):
    """Guards against an upstream that gets nothing while the store calls it
    ready, and on-call cannot see why."""
    metric = 'nutmegshore_upstream_leaving_by_answer'
    assert not any(metric in line for line in _shown(sources))
    sources.state.departures.add(sources.state.by_id['u1'])
    shown = _shown(sources)
    assert f'{metric}{{service="orders",upstream="u1"}} 1' in shown
    room = 'nutmegshore_region_room{region="west",service="orders"}'
    assert f'{room} 0' in shown
    sources.state.drop('u1', is_after_outage=False)
    assert not any(metric in line for line in _shown(sources))
