"""Tests of the owners of slots and the subsets of upstreams."""

import collections

from nutmegshore.peers import Member
from nutmegshore.resources import Upstream
from nutmegshore.steering.subset import assign_slots, is_in_subset

_NONE = collections.Counter()


def _upstream(zone='a', connections=360):
    return Upstream('s', 'west', zone, '127.0.0.1:1', 3, connections)


def test_slots_are_divided_evenly_and_by_zone():
    """Guards against an entry that owns much less than its callers need."""
    members = {
        name: Member(name, 'west', zone)
        for name, zone in (('e1', 'a'), ('e2', 'b'), ('e3', 'b'))
    }
    upstreams = {f'u{index}': _upstream('ab'[index % 2]) for index in range(4)}
    shares = assign_slots(upstreams, members)
    assert {sum(share.values()) for share in shares.values()} == {4}
    total = sum(map(collections.Counter, shares.values()), start=_NONE)
    assert total == dict.fromkeys(upstreams, 3)
    assert {upstreams[name].availability_zone for name in shares['e1']} == {'a'}


def test_connections_of_an_upstream_are_bounded():
    """Guards against more connections to an upstream than it allows."""
    members = [f'e{index}' for index in range(300)]
    subset = [
        entry
        for entry in members
        if is_in_subset(entry, members, 'u', _upstream(connections=330))
    ]
    assert len(subset) * 3 == 330
