"""Choice between the store and the aggregators as the source of a kind."""

from collections.abc import Iterable

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.replica_summary import ToldReplica
from nutmegshore.gateway.sync_dependencies import PeeringDependencies

__all__ = ('StoreSources',)

#: Fraction of a kind's bound after which a view of it is too old to rely on,
#: whoever it came from: 0.25 s to the next round, the call of the store and the
#: request's own way fit into the rest.
_STALE_FRACTION = 0.75
#: Seconds after an aggregator sent its last message for which it replaces the
#: store. Aggregators send twice a second, and the bounds are 2 s and more.
_SOURCE_TIMEOUT_S = 1.2


class StoreSources:
    """Has followers rely on aggregators while one of these has the store.

    sources.record(follower, told)  # an aggregator follows the store
    sources.choose(followers)  # with each report
    """

    def __init__(self, dependencies: PeeringDependencies) -> None:
        """Choose for one gateway."""
        self._dependencies = dependencies
        self._sent_at: dict[str, float] = {}

    def record(self, follower: KindFollower, told: ToldReplica) -> None:
        """Record that an aggregator follows the store.

        It counts from when it said so. One that has not noticed the last
        restore, or that is itself behind the store, is no source.
        """
        era = told.position.era
        is_same_era = era >= follower.known.position.era
        is_believed = is_same_era and not follower.order.is_withdrawn(era)
        if is_believed and not _is_stale(follower, told.age_s):
            sent_at = self._dependencies.clock.now() - told.transit_s
            before = self._sent_at.get(follower.prefix, sent_at)
            self._sent_at[follower.prefix] = max(before, sent_at)

    def choose(self, followers: Iterable[KindFollower]) -> None:
        """Relay through the aggregators while one of them has the store.

        What has become too old is listed, whoever was to tell of changes.
        """
        peers = self._dependencies.peers
        aggregators = peers.aggregators()
        may_relay = bool(aggregators) and peers.local.name not in aggregators
        limit = self._dependencies.clock.now() - _SOURCE_TIMEOUT_S
        for follower in followers:
            has_source = self._sent_at.get(follower.prefix, limit) > limit
            if _is_stale(follower, follower.view.age_s):
                _list(follower)
            else:
                follower.set_relayed(is_relayed=may_relay and has_source)


def _list(follower: KindFollower) -> None:
    """Have all objects of a kind read from the store."""
    if follower.is_relayed:
        follower.set_relayed(is_relayed=False, needs_listing=True)
    else:
        follower.check()


def _is_stale(follower: KindFollower, age_s: float) -> bool:
    return age_s > _STALE_FRACTION * follower.bound_s
