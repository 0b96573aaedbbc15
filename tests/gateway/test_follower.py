"""Tests of following the store, with its faults, on virtual time."""

import asyncio
import contextlib
import itertools
import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import HistoryLost, PlatformUnavailable
from nutmegshore.gateway.follower import FollowerContext, KindFollower, Replica
from nutmegshore.store import (
    Change,
    Changes,
    Listing,
    Platform,
    StoredObject,
    StorePosition,
)

#: Seconds after which a call without an answer fails.
_CALL_S = 2


class KeptReplica(Replica):
    """Keeps keys as a follower delivers them."""

    def __init__(self):
        self.keys = set()
        self.outages = []

    def replace(self, listed, *, is_after_outage):
        self.keys = {one.key for one in listed}
        self.outages.append(is_after_outage)

    def change(self, change, *, is_after_outage):
        self.outages.append(is_after_outage)
        if change.stored is None:
            self.keys.discard(change.key)
        else:
            self.keys.add(change.key)


class FaultyStore(Platform):
    """A store in memory whose watches a test answers.

    `failure` is raised by every call while it is set. A call that meets a
    silence fails after `_CALL_S`, a watch never ends.
    """

    def __init__(self):
        self.listing = Listing(10, ())
        self.failure = None
        self.is_silent = False
        self.lists = 0
        self.watched = 0
        self.watches = asyncio.Queue()

    async def read_listing(self, prefix):
        self.lists += 1
        self._check()
        if self.is_silent:
            await asyncio.sleep(_CALL_S)
            raise PlatformUnavailable(prefix)
        return self.listing

    async def watch(self, prefix, after, wait_s=30):
        self._check()
        self.watched += 1
        if self.is_silent:
            await asyncio.Event().wait()
        answer = await self._next_answer()
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def read(self, key):
        raise NotImplementedError

    async def iter_objects(self, prefix):
        raise NotImplementedError

    async def write(self, key, body, expected, operation):
        raise NotImplementedError

    async def remove(self, key, expected):
        raise NotImplementedError

    async def read_position(self):
        raise NotImplementedError

    async def read_instances(self):
        raise NotImplementedError

    def _check(self):
        if self.failure is not None:
            raise self.failure

    async def _next_answer(self):
        """Return the next answer, none if a silence comes first."""
        while self.watches.empty():
            await asyncio.sleep(0.05)
            if self.is_silent:
                await asyncio.Event().wait()
        return self.watches.get_nowait()


def _stored(name, version):
    return StoredObject(f'servers/{name}', b'{}', 'uid', version, '')


@pytest.fixture
def follow(make_log):
    """Context manager that runs a follower of a faulty store."""

    @contextlib.asynccontextmanager
    async def running():
        clock = VirtualClock()
        store = FaultyStore()
        replica = KeptReplica()
        context = FollowerContext(
            store,
            clock,
            random.Random(7),
            Counters(),
            make_log(clock),
        )
        follower = KindFollower('servers/', replica, context, bound_s=2)
        work = asyncio.gather(follower.run(), follower.run_checks())
        try:
            yield store, follower, replica, clock
        finally:
            work.cancel()

    return running


def test_changes_follow_the_listing(follow):
    """Guards against a change that is lost between listing and watch."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            store.listing = Listing(10, (_stored('a', 9),))
            await clock.sleep(0.1)
            assert replica.keys == {'servers/a'}
            change = Change('servers/b', _stored('b', 11))
            store.watches.put_nowait(Changes(11, (change,)))
            await clock.sleep(0.1)
            assert replica.keys == {'servers/a', 'servers/b'}
            assert follower.known.position == StorePosition(0, 11)

    run_virtual(session)


def test_lost_history_is_listed_again(follow):
    """Guards against watching on past changes that the store dropped."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(0.1)
            store.listing = Listing(20, (_stored('c', 15),))
            store.watches.put_nowait(HistoryLost('servers'))
            await clock.sleep(0.1)
            assert replica.keys == {'servers/c'}
            assert store.lists == 2

    run_virtual(session)


def test_an_outage_is_reported_to_the_replica(follow, lines):
    """Guards against removing entries that expired in an outage, and against
    an outage that is not logged."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(0.1)
            store.failure = PlatformUnavailable('down')
            store.watches.put_nowait(PlatformUnavailable('cut'))
            await clock.sleep(4)
            assert not follower.is_store_reachable
            store.failure = None
            gone = Change('servers/a', None)
            store.watches.put_nowait(Changes(12, (gone,)))
            await clock.sleep(1)
            assert replica.outages[-1]
            await clock.sleep(3)
            store.watches.put_nowait(Changes(13, (gone,)))
            await clock.sleep(0.5)
            assert not replica.outages[-1]

    run_virtual(session)
    assert len(lines.named('store_lost')) == 1
    assert len(lines.named('store_regained')) == 1


def test_a_check_finds_what_no_watch_delivered(follow):
    """Guards against missing changes that a store made while its watches
    delivered nothing, before it dropped its history: an evacuation on
    leafscale-gj scale-1 and a configuration on scale-2 were missed so."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(5)
            assert follower.age_s > 4
            store.listing = Listing(20, (_stored('missed', 15),))
            follower.check()
            await clock.sleep(0.1)
            assert replica.keys == {'servers/missed'}
            assert follower.age_s < 1
            assert follower.known.position == StorePosition(0, 20)

    run_virtual(session)


def test_a_check_without_news_leaves_the_watch(follow):
    """Guards against a new watch, one more call, after each check."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(0.1)
            for _ in range(3):
                follower.check()
                await clock.sleep(0.5)
            assert store.lists == 4
            assert store.watched == 1

    run_virtual(session)


def test_a_watch_behind_a_listing_changes_nothing(follow):
    """Guards against a removal that a watch delivers after a listing has shown
    the object created anew."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            store.listing = Listing(10, (_stored('a', 9),))
            await clock.sleep(0.1)
            store.listing = Listing(20, (_stored('a', 15),))
            gone = Change('servers/a', None)
            follower.check()
            store.watches.put_nowait(Changes(12, (gone,)))
            await clock.sleep(0.1)
            assert replica.keys == {'servers/a'}

    run_virtual(session)


def test_an_unanswered_watch_is_cancelled(follow):
    """Guards against a watch on a connection that never answers."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(40)
            assert store.watched == 2

    run_virtual(session)


def test_gateways_that_know_the_same_have_the_same_digest(follow):
    """Guards against a missed change that no peer notices, and against
    listings without end among gateways that agree."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            store.listing = Listing(10, (_stored('a', 9),))
            await clock.sleep(0.1)
            added = Change('servers/b', _stored('b', 11))
            gone = Change('servers/a', None)
            store.watches.put_nowait(Changes(12, (added, gone)))
            await clock.sleep(0.1)
            by_watch = follower.known.digest
            store.listing = Listing(12, (_stored('b', 11),))
            follower.check()
            await clock.sleep(0.5)
            assert store.lists == 2
            assert follower.known.digest == by_watch

    run_virtual(session)


def test_a_store_that_is_down_is_not_flooded(follow):
    """Guards against a gateway that asks a store in trouble without pause."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            store.failure = PlatformUnavailable('down')
            await clock.sleep(10)
            assert store.lists <= 25

    run_virtual(session)


def test_an_older_listing_of_a_peer_is_not_applied(follow):
    """Guards against state that goes back through a lagging peer."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            store.failure = PlatformUnavailable('refused')
            await clock.sleep(0.1)
            assert follower.apply_from_peer(Listing(30, (_stored('p', 25),)))
            assert not follower.apply_from_peer(Listing(29, ()))
            assert replica.keys == {'servers/p'}

    run_virtual(session)


@pytest.mark.parametrize('silent_s', [0.7, 3, 9, 24])
@pytest.mark.parametrize('changes', [0, 13])
def test_a_silence_leaves_no_watch_without_an_answer(follow, silent_s, changes):
    """Guards against DRAIN: after a silence of the store the follower waited
    for the answer to a watch that was lost, and counted the store as in touch
    all the while (issue 61)."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(0.5)
            store.is_silent = True
            for number in range(changes):
                await clock.sleep(silent_s / changes)
                told = Changes(11 + number, (), era=0)
                follower.apply_from_peer(told, 'g2')
                follower.check()
            follower.check()
            await clock.sleep(0 if changes else silent_s)
            is_in_touch = follower.is_store_reachable
            store.is_silent = False
            calls = store.lists + store.watched
            await clock.sleep(_CALL_S)
            assert store.lists + store.watched > calls
            await clock.sleep(_CALL_S)
            store.listing = Listing(90, (_stored('z', 90),))
            follower.check()
            await clock.sleep(0.1)
            assert replica.keys == {'servers/z'}
            change = Change('servers/b', _stored('b', 91))
            store.watches.put_nowait(Changes(91, (change,)))
            await clock.sleep(0.6)
            return is_in_touch, follower.is_store_reachable, replica.keys

    is_in_touch, is_back, keys = run_virtual(session)
    assert is_in_touch is (silent_s < _CALL_S)
    assert is_back
    assert keys == {'servers/b', 'servers/z'}


def test_calls_go_on_in_a_silence(follow):
    """Guards against a store that is back and isn't called for seconds, since
    the pause after a call without an answer came on top of its time."""

    async def session():
        async with follow() as (store, follower, replica, clock):
            await clock.sleep(0.5)
            store.is_silent = True
            follower.check()
            called_at = []
            for _ in range(200):
                lists = store.lists
                await clock.sleep(0.1)
                if store.lists > lists:
                    called_at.append(clock.now())
            return [
                after - before
                for before, after in itertools.pairwise(called_at)
            ]

    gaps = run_virtual(session)
    assert len(gaps) >= 8
    assert max(gaps) <= _CALL_S + 0.2
