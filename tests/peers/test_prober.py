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
    """Suspects of three rounds without contact, each after a pause."""

    async def session():
        clock = VirtualClock()
        prober = _components(clock).prober
        prober.detect_pause()
        prober.run_round()
        found = []
        for _ in range(3):
            clock.pause(pause_s)
            await clock.sleep(1)
            prober.detect_pause()
            found.append(prober.run_round())
            await asyncio.sleep(0)
        return found

    return run_virtual(session)


def test_members_without_contact_are_suspected():
    """Guards against a prober that never suspects a member."""
    assert _suspects(0) == [[], [], ['b', 'c']]


def test_a_pause_of_the_prober_is_not_lost_contact():
    """Guards against a resumed process that suspects all others."""
    assert _suspects(10)[0] == []


def test_a_suspected_member_gets_the_time_of_the_pause():
    """Guards against a death declared because the prober was paused."""

    async def session():
        clock = VirtualClock()
        components = _components(clock)
        suspicions = components.membership.suspicions
        components.prober.detect_pause()
        for suspected_by in ('a', 'c'):
            suspicions.add_suspicion('b', suspected_by, clock.now())
        clock.pause(10)
        await clock.sleep(1)
        components.prober.detect_pause()
        return suspicions.due(clock.now(), components.membership.live())

    assert run_virtual(session) == []
