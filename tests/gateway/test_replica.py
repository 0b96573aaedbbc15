"""Tests of what a replica keeps after a restore of the store."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.replica import Replica, ReplicaFeed
from nutmegshore.gateway.replica_view import ReplicaView, ToldView
from nutmegshore.store import Listing, StoredObject

_REWRITE_S = 2.3


class KeptReplica(Replica):
    """Keeps the keys that a feed lets it use."""

    def __init__(self):
        self.keys = set()

    def replace(self, listed, *, is_after_outage):
        self.keys = {one.key for one in listed}

    def change(self, change, *, is_after_outage):
        if change.stored is None:
            self.keys.discard(change.key)
        else:
            self.keys.add(change.key)


@pytest.mark.parametrize('age_s', [0, 0.5, 1.5])
def test_the_time_after_a_restore_counts_from_the_answer(age_s):
    """Guards against DRAIN: what a restored store lacks was kept for as long
    anew by each gateway that heard of the restore from another one."""

    async def session():
        clock = VirtualClock()
        view = ReplicaView(clock)
        replica = KeptReplica()
        feed = ReplicaFeed(replica, clock, _REWRITE_S, view)
        stored = StoredObject('servers/a', b'{}', 'uid', 11, '')
        feed.apply_listing(Listing(11, (stored,), 1), is_after_outage=False)
        view.record_peer('g2', ToldView(age_s))
        feed.apply_listing(Listing(5, (), 2), is_after_outage=False)
        await clock.sleep(_REWRITE_S - age_s - 0.1)
        feed.expire(is_after_outage=False)
        assert replica.keys == {stored.key}
        await clock.sleep(0.2)
        feed.expire(is_after_outage=False)
        assert not replica.keys

    run_virtual(session)
