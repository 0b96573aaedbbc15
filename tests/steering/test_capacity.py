"""Tests of the capacity of regions and links."""

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.steering.capacity import LinkMeter, RegionCapacity


def test_all_sources_together_stay_within_the_free_slots():
    """Guards against entries that each use all free slots of a region."""

    async def session():
        entries = [RegionCapacity(VirtualClock()) for _ in range(6)]
        moved = 0
        for capacity in entries:
            capacity.record('south', {'s': 10})
            while capacity.in_flight['s', 'south'] + 1 <= capacity.bound(
                's', 'south', 6
            ):
                capacity.in_flight['s', 'south'] += 1
                moved += 1
        assert 0 < moved <= 10

    run_virtual(session)


def test_an_expired_summary_gives_no_free_slots():
    """Guards against load moved into a region that no longer reports."""

    async def session():
        clock = VirtualClock()
        capacity = RegionCapacity(clock)
        capacity.record('south', {'s': 10})
        assert capacity.is_known('south')
        assert capacity.free_slots('s', 'south') == 10
        await clock.sleep(2.1)
        assert not capacity.is_known('south')
        assert capacity.free_slots('s', 'south') == 0

    run_virtual(session)


def test_uploads_stay_below_the_share_of_a_link():
    """Guards against uploads that fill the link between two regions."""

    async def session():
        clock = VirtualClock()
        meter = LinkMeter(clock)
        sent = [meter.try_send('south', 10, 300, 3) for _ in range(9)]
        assert sent.index(False) == 8
        await clock.sleep(1.1)
        assert meter.try_send('south', 10_000, 300, 3)
        assert not meter.try_send('south', 1, 300, 3)

    run_virtual(session)
