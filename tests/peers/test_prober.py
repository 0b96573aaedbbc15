"""Tests of probing."""

import asyncio
import random

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.peers import Member
from nutmegshore.peers.components import MeshComponents
from nutmegshore.peers.membership import MemberRecord


def _components(clock):
    members = [
        MemberRecord(Member(name, 'west', 'a', 1), name)
        for name in ('a', 'b', 'c')
    ]
    rng = random.Random(1)
    components = MeshComponents(members[0], 16, clock, rng, Counters())
    for record in members[1:]:
        components.membership.merge(record)
    return components


def _suspects(pause_s):
    """Suspects of a round after silence, and after a pause."""

    async def session():
        clock = VirtualClock()
        prober = _components(clock).prober
        prober.discount_pause()
        prober.run_round()
        found = []
        for _ in range(3):
            clock.pause(pause_s)
            await clock.sleep(1)
            prober.discount_pause()
            found.append(prober.run_round())
            await asyncio.sleep(0)
        return found

    return run_virtual(session)


def test_silent_members_are_suspected():
    """Guards against a prober that never blames anyone."""
    assert _suspects(0) == [[], [], ['b', 'c']]


def test_the_probers_own_absence_is_not_silence():
    """Guards against a woken process that blames all before it listens."""
    assert _suspects(10)[0] == []


def test_a_suspected_member_gets_the_time_of_the_pause():
    """Guards against a death because the judge was away."""

    async def session():
        clock = VirtualClock()
        components = _components(clock)
        suspicions = components.membership.suspicions
        components.prober.discount_pause()
        for suspected_by in ('a', 'c'):
            suspicions.add_suspicion('b', suspected_by, clock.now())
        clock.pause(10)
        await clock.sleep(1)
        components.prober.discount_pause()
        return suspicions.due(clock.now(), components.membership.live())

    assert run_virtual(session) == []
