"""Tests of the membership records and the rule for a death."""

import itertools

import attrs

from nutmegshore.peers import Member, process_of
from nutmegshore.peers.membership import MemberRecord, Membership, State
from nutmegshore.peers.suspicion import SUSPICION_TIMEOUT_S, Suspicions


def _record(name, incarnation=1, state=State.ALIVE):
    return MemberRecord(Member(name, 'west', 'a', incarnation), name, state)


def test_updates_in_any_order_give_one_record():
    """Guards against members that disagree after the same updates."""
    records = [
        _record('b', 1, State.DEAD),
        _record('b', 2),
        _record('b', 2, State.LEAVING),
        _record('b', 1),
    ]
    found = set()
    for order in itertools.permutations(records):
        membership = Membership(_record('a'))
        for record in order:
            membership.merge(record)
        found.add(membership.by_name['b'])
    assert found == {_record('b', 2, State.LEAVING)}


def test_an_update_of_the_local_death_is_refuted():
    """Guards against a living member that stays out for good."""
    membership = Membership(_record('a', 2**20 + 7))
    assert membership.merge(_record('a', 2**20 + 7, State.DEAD))
    local = membership.local
    assert local.state is State.ALIVE
    assert local.member.incarnation > 2**20 + 7
    assert process_of(local.member.incarnation) == 7


def test_a_restarted_process_goes_above_its_predecessor():
    """Guards against a new process that is mistaken for the old one."""
    old = _record('a', 5 * 2**20 + 9)
    membership = Membership(_record('a', 2**20 + 7))
    membership.merge(old)
    assert membership.local.rank > old.rank
    assert process_of(membership.local.member.incarnation) == 7


def test_a_refutation_clears_the_suspicions():
    """Guards against a death by suspicions that were refuted."""
    membership = Membership(_record('a'))
    membership.merge(_record('b', 1))
    for suspected_by in ('a', 'c'):
        membership.suspicions.add_suspicion('b', suspected_by, 0)
    membership.merge(_record('b', 2))
    assert not membership.suspicions.due(100, membership.live())


def test_a_death_needs_two_suspecting_members_and_time():
    """Guards against a death that one member decides alone."""
    suspicions = Suspicions('a')
    live = {'a', 'b', 'c'}
    suspicions.add_suspicion('b', 'a', 0)
    assert not suspicions.due(SUSPICION_TIMEOUT_S + 1, live)
    suspicions.add_suspicion('b', 'c', SUSPICION_TIMEOUT_S)
    assert suspicions.due(SUSPICION_TIMEOUT_S + 1, live) == ['b']
    assert not suspicions.due(SUSPICION_TIMEOUT_S - 1, live)


def test_an_isolated_member_decides_alone():
    """Guards against an isolated member that waits for others for ever."""
    suspicions = Suspicions('a')
    for name in ('b', 'c'):
        suspicions.add_suspicion(name, 'a', 0)
    assert suspicions.due(SUSPICION_TIMEOUT_S, {'a', 'b', 'c'}) == ['b', 'c']


def test_a_record_reads_back_as_sent():
    """Guards against fields of a record that change places."""
    record = _record('b', 3, State.LEAVING)
    newer = [*record.to_fields(), 'field of a newer version']
    assert MemberRecord.from_fields(newer) == record
    assert attrs.asdict(record)['address'] == 'b'


def test_the_capacity_outlasts_records_of_earlier_versions():
    """Guards against aggregators that change with each record of a member that
    does not know capacities."""
    roomy = MemberRecord(Member('b', 'west', 'a', 1, 200), 'b')
    earlier = MemberRecord.from_fields(roomy.to_fields()[:6])
    assert earlier.member.capacity == 0
    for order in itertools.permutations((roomy, earlier)):
        membership = Membership(_record('a'))
        for record in order:
            membership.merge(record)
        assert membership.by_name['b'] == roomy
