"""Tests of the wanted links."""

import attrs

from nutmegshore.peers import Member
from nutmegshore.peers.topology import Topology


def _members(count):
    return [
        Member('m{0:03}'.format(index), ('w', 'n', 's')[index % 3], 'a')
        for index in range(count)
    ]


def _links(topology, members):
    pairs = set()
    for member in members:
        for name in topology.neighbours(member.name):
            pairs.add(frozenset((member.name, name)))
    return pairs


def test_up_to_sixteen_members_all_are_linked():
    """Guards against hops where none are needed."""
    members = _members(16)
    assert len(_links(Topology(members), members)) == 16 * 15 / 2


def test_the_number_of_links_is_bounded():
    """Guards against a full mesh of 550 members."""
    members = _members(550)
    topology = Topology(members)
    counts = {
        member.name: len(topology.neighbours(member.name)) for member in members
    }
    gathering = [
        name for region in 'wns' for name in topology.aggregators(region)
    ]
    assert len(gathering) == 6
    for name in gathering:
        assert counts.pop(name) <= 550 / 3 + 16
    assert max(counts.values()) <= 16
    assert len(_links(topology, members)) < 550 * 16


def test_a_few_hops_reach_everyone():
    """Guards against a ring that is traversed one member at a time."""
    members = _members(550)
    topology = Topology(members)
    linked = {member.name: set() for member in members}
    for one, other in _links(topology, members):
        linked[one].add(other)
        linked[other].add(one)
    reached = {'m000'}
    for _ in range(5):
        reached |= {far for name in reached for far in linked[name]}
    assert len(reached) == 550


def test_one_death_moves_few_links():
    """Guards against a change that makes all members dial again."""
    members = _members(90)
    before = _links(Topology(members), members)
    after = _links(Topology(members[1:]), members[1:])
    kept = {pair for pair in before if 'm000' not in pair}
    assert len(after - kept) < 30


def _spread_members(count):
    return [
        Member('m{0:03}'.format(index), 'w', 'ab'[index % 2])
        for index in range(count)
    ]


def test_aggregators_are_linked_to_all_of_their_region():
    """Guards against reports that are passed on over every link."""
    members = _members(90)
    topology = Topology(members)
    pairs = _links(topology, members)
    for member in members:
        for name in topology.aggregators(member.region):
            assert name == member.name or {name, member.name} in pairs
    first, *others = [
        name for region in 'wns' for name in topology.aggregators(region)
    ]
    assert all({first, name} in pairs for name in others)


def test_aggregators_are_in_different_zones():
    """Guards against the loss of both aggregators with one zone."""
    members = _spread_members(40)
    zone_of = {member.name: member.availability_zone for member in members}
    first, second = Topology(members).aggregators('w')
    assert zone_of[first] != zone_of[second]


def test_members_with_the_most_room_are_aggregators():
    """Guards against DRAIN: members with narrow links were chosen by a hash of
    their names, and what they sent waited for seconds."""
    members = [
        attrs.evolve(member, capacity=200 if index % 9 == 0 else 10)
        for index, member in enumerate(_spread_members(60))
    ]
    roomy = {member.name for member in members if member.capacity == 200}
    chosen = Topology(members).aggregators('w')
    assert set(chosen) < roomy
    without = [member for member in members if member.name != chosen[0]]
    assert chosen[1] in Topology(without).aggregators('w')


def test_a_small_cluster_has_no_aggregators():
    """Guards against a hop where all members are linked."""
    assert not Topology(_members(16)).aggregators('w')


def test_a_death_moves_no_other_aggregator():
    """Guards against all reports going elsewhere with each change."""
    members = _members(90)
    before = Topology(members)
    dead = before.aggregators('w')[0]
    after = Topology([one for one in members if one.name != dead])
    assert after.aggregators('n') == before.aggregators('n')
    assert before.aggregators('w')[1] in after.aggregators('w')
