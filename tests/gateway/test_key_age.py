"""Tests of keys that a gateway may believe too long, on virtual time."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import ErrorKind
from tests.gateway.key_fleet import Fleet, now
from tests.gateway.key_keeper import APPLY_S, KEY, POLL_S, REVOKE_S

#: Seconds after which a fleet that has started believes keys.
_START_S = 4
_SMALL = 6
_LARGE = 40


@pytest.fixture
def run_fleet(make_log, route):
    """Run a session with a fleet that believes the key."""

    def run(session, count=_SMALL):
        async def running():
            fleet = Fleet(make_log, route())
            await fleet.write(1, KEY)
            for index in range(count):
                fleet.start('g{0:02}'.format(index))
            await asyncio.sleep(_START_S)
            # A gateway that never believes a key would pass each test.
            for keeper in fleet.keepers:
                assert not keeper.answer(fleet.route)
            await session(fleet)
            fleet.stop()

        run_virtual(running)

    return run


@pytest.mark.parametrize('call_s', [0, 0.5])
@pytest.mark.parametrize('count', [1, _SMALL, _LARGE])
def test_a_working_fleet_accepts_keys(run_fleet, count, call_s):
    """Guards against REFUSED: views are confirmed too rarely, so that working
    gateways refuse keys."""

    async def session(fleet):
        for keeper in fleet.keepers:
            keeper.platform.call_s = call_s
        worst_s = 0
        for _ in range(1500):
            await asyncio.sleep(POLL_S)
            ages = [keeper.key_age.age_s for keeper in fleet.keepers]
            worst_s = max(worst_s, *ages)
        assert worst_s < 0.6 * REVOKE_S

    run_fleet(session, count)


@pytest.mark.parametrize('count', [_SMALL, _LARGE])
def test_a_removed_key_is_refused_in_time(run_fleet, count):
    """Guards against REVOKED: a removed key is served at a gateway that reaches
    the store."""

    async def session(fleet):
        await fleet.write(2)
        assert await fleet.watch_for(8) <= APPLY_S
        answers = {one.answer(fleet.route) for one in fleet.keepers}
        assert answers == {ErrorKind.UNKNOWN_KEY.value}

    run_fleet(session, count)


@pytest.mark.parametrize('phase_s', [0, 0.7, 1.4, 2.1])
def test_a_cut_off_gateway_stops_in_time(run_fleet, lines, phase_s):
    """Guards against REVOKED: a gateway without the store and without any other
    gateway serves a removed key."""

    async def session(fleet):
        await asyncio.sleep(phase_s)
        keeper = fleet.by_name['g02']
        keeper.platform.is_cut = True
        for other in fleet.by_name.keys() - {'g02'}:
            fleet.network.partition('g02', other)
        await fleet.write(2)
        assert await fleet.watch_for(9) <= REVOKE_S
        assert keeper.answer(fleet.route) == ErrorKind.KEYS_OUTDATED.value
        # The key may have been added meanwhile: a 401 would be final.
        found = keeper.answer(fleet.route, 'k-new')
        assert found == ErrorKind.KEYS_OUTDATED.value
        assert not keeper.answer(attrs.evolve(fleet.route, is_public=True))
        assert not fleet.reports('g01').is_outdated('g03')
        keeper.platform.is_cut = False
        fleet.network.heal()
        await asyncio.sleep(3)
        assert keeper.answer(fleet.route) == ErrorKind.UNKNOWN_KEY.value

    run_fleet(session)
    # Gateways that start enter the state as well.
    entered = [
        line['age_s'] >= 0
        for line in lines.named('keys_outdated')
        if line['time'] > _START_S
    ]
    assert entered == [True]
    assert lines.named('keys_trusted')[-1]['refused'] > 0


@pytest.mark.parametrize('count', [_SMALL, _LARGE])
def test_no_side_of_a_split_believes_a_removed_key(run_fleet, count):
    """Guards against REVOKED: gateways that the store does not reach confirm
    each other's configurations."""

    async def session(fleet):
        names = sorted(fleet.by_name)
        half = count // 2
        cut, rest = names[:half], names[half:]
        for name in cut:
            fleet.by_name[name].platform.is_cut = True
            for other in rest:
                fleet.network.partition(name, other)
        await fleet.write(2)
        assert await fleet.watch_for(10) <= REVOKE_S
        found = {fleet.by_name[name].answer(fleet.route) for name in cut}
        assert found == {ErrorKind.KEYS_OUTDATED.value}
        # Look-ups rely on what gateways hear of each other.
        for name in cut[1:]:
            assert fleet.reports(cut[0]).is_outdated(name)
        for name in rest[1:]:
            assert not fleet.reports(rest[0]).is_outdated(name)
        # On the other side, keys are believed.
        for name in rest:
            keeper = fleet.by_name[name]
            assert not keeper.answer(fleet.route, 'k-other')

    run_fleet(session, count)


@pytest.mark.parametrize('pause_s', [4, 8, 14, 40])
@pytest.mark.parametrize('count', [_SMALL, _LARGE])
def test_a_paused_gateway_does_not_go_on_believing(run_fleet, count, pause_s):
    """Guards against REVOKED: messages from before a pause are read after it
    and count as new, and so does the answer to a call from before it."""

    async def session(fleet):
        keeper = fleet.by_name['g02']
        keeper.clock.pause(pause_s)
        await asyncio.sleep(0.5)
        await fleet.write(2)
        assert await fleet.watch_for(pause_s + 4) <= REVOKE_S

    run_fleet(session, count)


@pytest.mark.parametrize('delay_s', [3, 6, 12])
@pytest.mark.parametrize('is_restarted', [False, True])
def test_links_that_delay_all_messages_are_seen(
    run_fleet, delay_s, is_restarted
):
    """Guards against REVOKED: after a while of equal delays, or at a gateway
    that started among them, each message counted as one without delay."""

    async def session(fleet):
        names = sorted(fleet.by_name)
        for name in names:
            fleet.network.set_delay('west', 'west', delay_s)
        late = fleet.by_name['g02']
        if is_restarted:
            late = fleet.start('g02')
        late.platform.is_cut = True
        # As long as estimates of the fastest message are kept.
        await asyncio.sleep(40)
        await fleet.write(2)
        assert await fleet.watch_for(delay_s + 12) <= REVOKE_S

    run_fleet(session)


def test_a_gateway_that_starts_while_the_store_is_away_ages(run_fleet):
    """Guards against REVOKED: a gateway takes the configuration of another one
    while neither reaches the store, and counts it as fresh."""

    async def session(fleet):
        for keeper in fleet.keepers:
            keeper.platform.is_cut = True
        await fleet.write(2)
        removed_at = now()
        await asyncio.sleep(2)
        late = fleet.start('g02')
        late.platform.is_cut = True
        served_s = await fleet.watch_for(10)
        assert now() - 10 + served_s - removed_at <= REVOKE_S
        found = late.answer(fleet.route)
        assert found == ErrorKind.KEYS_OUTDATED.value

    run_fleet(session)


def test_a_clock_that_differs_changes_no_age(run_fleet, monkeypatch):
    """Guards against REVOKED: the wall clock steps, and ages with it."""

    async def session(fleet):
        keeper = fleet.by_name['g02']
        keeper.platform.is_cut = True
        for other in fleet.by_name.keys() - {'g02'}:
            fleet.network.partition('g02', other)
        monkeypatch.setattr(VirtualClock, 'wall', lambda clock: 0)
        await fleet.write(2)
        assert await fleet.watch_for(9) <= REVOKE_S

    run_fleet(session)


@pytest.mark.parametrize('restarted', [(), ('g02',), ('g00', 'g01', 'g02')])
@pytest.mark.parametrize('after_s', [1, 25])
@pytest.mark.parametrize('count', [_SMALL, _LARGE])
def test_a_restored_store_brings_no_key_back(
    run_fleet, count, after_s, restarted
):
    """Guards against REVOKED: a store that was restored from an older copy has
    the key, and a gateway that starts reads it there."""

    async def session(fleet):
        await fleet.write(2)
        await asyncio.sleep(APPLY_S)
        await fleet.restore(1, KEY)
        assert not await fleet.watch_for(after_s)
        for name in restarted:
            fleet.start(name)
        assert not await fleet.watch_for(12)
        for keeper in fleet.keepers:
            assert keeper.answer(fleet.route) == ErrorKind.UNKNOWN_KEY.value
            assert not keeper.answer(fleet.route, 'k-other')

    run_fleet(session, count)


def test_a_gateway_that_was_cut_off_before_a_restore_catches_up(run_fleet):
    """Guards against REVOKED: a gateway that has not seen the removal reads the
    restored store, and its configuration counts as fresh again."""

    async def session(fleet):
        cut = fleet.by_name['g02']
        cut.platform.is_cut = True
        for other in fleet.by_name.keys() - {'g02'}:
            fleet.network.partition('g02', other)
        await fleet.write(2)
        await asyncio.sleep(REVOKE_S)
        await fleet.restore(1, KEY)
        cut.platform.is_cut = False
        # The store is back before the other gateways are.
        assert not await fleet.watch_for(0.8)
        fleet.network.heal()
        assert not await fleet.watch_for(8)
        assert cut.answer(fleet.route) == ErrorKind.UNKNOWN_KEY.value

    run_fleet(session)
