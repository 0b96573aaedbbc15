"""Tests of the room of regions and links."""

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.steering.capacity import LinkMeter, RegionCapacity


def test_all_sources_together_stay_within_the_room():
    """Guards against entries that each fill the whole room of a region."""

    async def session():
        entries = [RegionCapacity(VirtualClock()) for _ in range(6)]
        moved = 0
        for rooms in entries:
            rooms.record('south', {'s': 10})
            while rooms.in_flight['s', 'south'] + 1 <= rooms.bound(
                's', 'south', 6
            ):
                rooms.in_flight['s', 'south'] += 1
                moved += 1
        assert 0 < moved <= 10

    run_virtual(session)


def test_an_old_summary_is_no_room():
    """Guards against load moved into a region that nobody hears of."""

    async def session():
        clock = VirtualClock()
        rooms = RegionCapacity(clock)
        rooms.record('south', {'s': 10})
        assert rooms.is_known('south')
        assert rooms.free_slots('s', 'south') == 10
        await clock.sleep(2.1)
        assert not rooms.is_known('south')
        assert rooms.free_slots('s', 'south') == 0

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
