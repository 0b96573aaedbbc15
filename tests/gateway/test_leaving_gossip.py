"""Tests of leaving upstreams in the messages between gateways."""

import attrs
import msgpack
import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.errors import LinkError
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.leaving_gossip import MAX_TOLD, LeavingGossip
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RegionLoadReport,
)
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers import decode, encode

_MESSAGES = (
    LoadReport(is_ready=True, in_flight={}, replicas={}, leaving={'u1': 1}),
    LoadSummary(ready=[], in_flight={}, replicas={}, leaving={'u1': 1}),
    RegionLoadReport('west', {}, {}, leaving={'u1': 1}),
)


@pytest.fixture
def state(upstream):
    """State with one upstream more than a message tells of."""
    made = FleetState(SystemClock())
    for number in range(MAX_TOLD + 1):
        made.put(upstream(f'u{number}', born_ms=1))
    made.replace_evacuated(())
    return made


@pytest.fixture
def gossip(state, make_log):
    """Gossip of a gateway with that state."""
    clock = SystemClock()
    leaving = LeavingUpstreams(state, make_log(clock), Counters())
    return LeavingGossip(leaving)


def test_a_message_is_bounded(gossip, state):
    """Guards against reports that grow with a fleet which is replaced."""
    for one in state.by_id.values():
        state.departures.add(one)
    assert len(gossip.known()) == MAX_TOLD


def test_what_is_gone_is_not_passed_on(gossip, state, upstream):
    """Guards against upstreams that are passed on for ever, and against a next
    incarnation that is excluded with the one before."""
    state.put(upstream('u9', born_ms=0))
    for name in ('u1', 'u2', 'u3', 'u9'):
        state.departures.add(state.by_id[name])
    state.drop('u1', is_after_outage=False)
    state.put(attrs.evolve(state.by_id['u2'], born_ms=2))
    assert gossip.known() == {'u3': 1}


def test_what_a_peer_knows_is_adopted_and_logged(gossip, state, lines):
    """Guards against an upstream that gets nothing, without a line why."""
    gossip.adopt({'u1': 1})
    gossip.adopt({'u1': 1})
    assert state.departures.is_leaving(state.by_id['u1'])
    found = lines.named('upstream_leaving')
    assert [(one['upstream'], one['source']) for one in found] == [
        ('u1', 'peer')
    ]


@pytest.mark.parametrize(
    'packed',
    [
        {'u1': 2},
        {'u1': 0},
        {'u1': None},
        {'u1': '1'},
        {'u1': [1]},
        {'u1': float('nan')},
        {1: 1},
        {b'u1': 1},
        {'': 1},
        {'gone': 1},
    ],
)
def test_a_malformed_or_unknown_incarnation_excludes_nothing(
    gossip, state, packed
):
    """Guards against a sound upstream that gets nothing because of a peer's
    odd message, and against a message that ends the reading."""
    gossip.adopt(packed)
    assert len(state.usable('orders')) == len(state.by_id)


@pytest.mark.parametrize('body', _MESSAGES)
def test_versions_understand_each_other(body):
    """Guards against a rolling update in which gateways that know nothing of
    leaving upstreams lose their links, or those that do."""
    assert decode(encode(body)) == body
    fields = msgpack.unpackb(encode(body), strict_map_key=False)
    number = next(one for one in fields if fields[one] == {'u1': 1})
    fields.pop(number)
    assert not decode(msgpack.packb(fields)).leaving
    with pytest.raises(LinkError):
        decode(msgpack.packb({**fields, number: [['u1', 1]]}))
