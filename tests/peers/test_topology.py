"""Tests of the wanted links."""

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
    counts = [len(topology.neighbours(member.name)) for member in members]
    assert max(counts) <= 16
    assert len(_links(topology, members)) < 550 * 16


def test_a_few_hops_reach_everyone():
    """Guards against a ring that is passed one member at a time."""
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
    """Guards against a change that makes all members dial anew."""
    members = _members(90)
    before = _links(Topology(members), members)
    after = _links(Topology(members[1:]), members[1:])
    kept = {pair for pair in before if 'm000' not in pair}
    assert len(after - kept) < 30
