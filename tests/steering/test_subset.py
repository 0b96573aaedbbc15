"""Tests of the owners and subsets of upstreams."""

import collections

from nutmegshore.peers import Member
from nutmegshore.resources import Upstream
from nutmegshore.steering.subset import assign_owners, is_in_subset


def _upstream(zone='a', connections=360):
    return Upstream('s', 'west', zone, '127.0.0.1:1', 3, connections)


def test_owners_are_even_and_in_their_zone():
    """Guards against an entry that owns much more than its peers."""
    members = {
        name: Member(name, 'west', zone)
        for name, zone in (('e1', 'a'), ('e2', 'b'))
    }
    upstreams = {f'u{index}': _upstream('ab'[index % 2]) for index in range(12)}
    owners = assign_owners(upstreams, members)
    assert set(collections.Counter(owners.values()).values()) == {6}
    assert all(
        members[owner].availability_zone == upstreams[name].availability_zone
        for name, owner in owners.items()
    )


def test_connections_of_an_upstream_are_bounded():
    """Guards against more entries at an upstream than it has connections."""
    members = [f'e{index}' for index in range(300)]
    inside = [
        entry
        for entry in members
        if is_in_subset(entry, members, 'u', _upstream(connections=330))
    ]
    assert len(inside) * 3 == 330
