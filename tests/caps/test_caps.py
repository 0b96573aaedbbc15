"""Tests of the caps of whole fleets on virtual time."""

import asyncio

import pytest

from bench.caps_faults import run_isolated, run_schedule
from bench.caps_fleet import KIND, NAME, Fleet, FleetOptions
from nutmegshore.caps import HeldBack, parse_ledger
from nutmegshore.clock import run_virtual


@pytest.mark.parametrize('seed', [1, 2, 3, 22])
def test_no_schedule_of_faults_goes_over_the_cap(seed):
    """Guards against any use above the cap, by the recorded times."""
    verdict = run_schedule(seed)
    assert verdict.over_cap == 0
    assert verdict.uses


def test_a_takeover_waits_for_the_slowest_clock():
    """Guards against a share used by its old and its new owner."""
    assert run_isolated(6).over_cap == 0


def _status(fleet, name):
    return fleet.by_name[name].caps.status(KIND, NAME)[0]


def test_a_jump_of_demand_is_followed_by_loans():
    """Guards against units that stay where nobody uses them."""

    async def session():
        options = FleetOptions(seed=1, count=3, cap=90)
        fleet = Fleet(options, lambda name, at: 200 if name == 'e1' else 0)
        await fleet.start()
        await asyncio.sleep(12)
        used = fleet.judge.used(11, 12)
        writes = fleet.store.call_counts['write']
        await fleet.stop()
        return used, writes, fleet.judge.over_cap()

    used, writes, over_cap = run_virtual(session)
    assert used >= 0.8 * 90
    assert writes < 12
    assert over_cap == 0


def test_a_stopped_instance_releases_its_share():
    """Guards against a planned stop that blocks units for a lease."""

    async def session():
        fleet = Fleet(FleetOptions(seed=1, count=2, cap=20), lambda *_: 0)
        await fleet.start()
        await asyncio.sleep(5)
        await fleet.stop()
        return fleet.store.by_key

    bodies = [stored.body for stored in run_virtual(session).values()]
    assert [parse_ledger(body).shares for body in bodies] == [()]


def test_the_status_reports_why_a_cap_is_held_back():
    """Guards against a shift that moves nothing without a reason."""

    async def session():
        options = FleetOptions(seed=1, count=2, cap=20, lease_seconds=10)
        fleet = Fleet(options, lambda *_: 0)
        await fleet.start()
        await asyncio.sleep(5)
        fleet.store.faults.is_down = True
        fleet.declare(10)
        await asyncio.sleep(3)
        cut = _status(fleet, 'e0')
        await asyncio.sleep(12)
        expired = _status(fleet, 'e0')
        fleet.declare(None)
        return cut, expired, fleet.by_name['e0'].caps.try_acquire(KIND, NAME)

    cut, expired, is_taken = run_virtual(session)
    assert (cut.declared, cut.in_force, cut.owned) == (10, 20, 5)
    assert expired.held_back is HeldBack.LEASE_LAPSED
    assert not is_taken
