"""Choice between the store and the aggregators as the source of a kind."""

from collections.abc import Iterable

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.store import StorePosition

__all__ = ('StoreSources',)

#: Fraction of a kind's bound for which the store may have answered no gateway
#: before a gateway stops to rely on aggregators: they may be cut off.
_ANSWERED_FRACTION = 0.8
#: Seconds after its last message for which an aggregator replaces the store.
#: Aggregators send twice a second; the bounds on changes are 2 s and more, and
#: a watch of the gateway's own delivers missed changes at once.
_SOURCE_TIMEOUT_S = 1.2


class StoreSources:
    """Has followers rely on aggregators while one of these has the store.

    sources.record(follower, position)  # an aggregator follows the store
    sources.choose(followers)  # with each report
    """

    def __init__(self, dependencies: PeeringDependencies) -> None:
        """Choose for one gateway."""
        self._dependencies = dependencies
        self._seen_at: dict[str, float] = {}

    def record(self, follower: KindFollower, position: StorePosition) -> None:
        """Record that an aggregator follows the store.

        One that has not noticed the last restore is no source.
        """
        if position.era >= follower.known.position.era:
            now = self._dependencies.clock.now()
            self._seen_at[follower.prefix] = now

    def choose(self, followers: Iterable[KindFollower]) -> None:
        """Relay through the aggregators while one of them has the store."""
        peers = self._dependencies.peers
        aggregators = peers.aggregators()
        may_relay = bool(aggregators) and peers.local.name not in aggregators
        limit = self._dependencies.clock.now() - _SOURCE_TIMEOUT_S
        for follower in followers:
            has_source = self._seen_at.get(follower.prefix, 0) > limit
            is_answered = (
                follower.outages.silent_s
                < _ANSWERED_FRACTION * follower.bound_s
            )
            follower.set_relayed(
                is_relayed=may_relay and has_source and is_answered
            )
