"""Tests of the rate limits that gateways tell each other."""

import types

import pytest

from nutmegshore.clock import VirtualClock
from nutmegshore.gateway.limit_gossip import LimitGossip


@pytest.fixture
def heard():
    """What the limits hear of peers: upstream, rate and age."""
    return []


@pytest.fixture
def gossip(heard):
    """Gossip of a gateway at which the upstream u1 is registered."""
    limits = types.SimpleNamespace(
        handle_peer=lambda *statement: heard.append(statement)
    )
    builder = types.SimpleNamespace(
        limits=limits, is_registered=lambda instance: instance == 'u1'
    )
    return LimitGossip(builder, VirtualClock())


def test_the_way_of_a_message_counts_in_the_age_of_a_limit(gossip, heard):
    """Guards against an old limit that replaces a newer one, since the message
    that told it waited in a link for seconds."""
    gossip.adopt({'u1': [5, 0.25], 'u2': [1, 0]}, transit_s=1.5)
    assert heard == [('u1', 5, 1.75)]
