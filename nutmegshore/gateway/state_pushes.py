"""Changes that an aggregator sends to the gateways of its region."""

from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.state_objects import make_changes
from nutmegshore.peers import Peers
from nutmegshore.peers.topology import ring_position
from nutmegshore.store import Changes, StorePosition

__all__ = ('StatePushes', 'pusher_of')


def pusher_of(name: str, aggregators: tuple[str, ...]) -> str:
    """Return the aggregator that sends changes to a gateway of its region."""
    return aggregators[ring_position(name) % len(aggregators)]


class StatePushes:
    """Sends each change once to each gateway that relies on this one.

    The aggregators of a region divide its gateways, since each of them hears of
    changes by its own watch. What no watch told goes to all gateways of the
    region, since the other aggregator may not know it.

        pushes = StatePushes(peers, clock, followers)
        pushes.send(is_watched=True)  # when the replicas have changed
    """

    def __init__(
        self, peers: Peers, clock: Clock, followers: Iterable[KindFollower]
    ) -> None:
        """Send for one gateway, which may become an aggregator."""
        self._peers = peers
        self._clock = clock
        self._followers = tuple(followers)
        self._sent: dict[str, StorePosition] = {}

    def send(self, *, is_watched: bool) -> None:
        """Send what has changed since the last call."""
        names = self._members(is_watched=is_watched)
        for follower in self._followers:
            changes = self._changes(follower)
            if changes is None:
                self._sent[follower.prefix] = follower.known.position
            elif changes.changes:
                self._send_changes(names, follower, changes)

    def stop(self) -> None:
        """Forget what was sent: this gateway is no aggregator any more."""
        self._sent.clear()

    def _changes(self, follower: KindFollower) -> Changes | None:
        """Return what was not sent yet; None if that is not known."""
        base = self._sent.get(follower.prefix)
        if base is None or base.era != follower.known.position.era:
            return None
        return follower.known.changes_since(base)

    def _send_changes(
        self, names: list[str], follower: KindFollower, changes: Changes
    ) -> None:
        # A position without changes is told to nobody, and is no base.
        base = self._sent[follower.prefix]
        self._sent[follower.prefix] = follower.known.position
        sent_at = self._clock.now()
        body = make_changes(follower, changes, base, sent_at)
        self._peers.send_each(names, body)

    def _members(self, *, is_watched: bool) -> list[str]:
        """Gateways of the region that follow the store through this one."""
        local = self._peers.local
        aggregators = self._peers.aggregators()
        return [
            name
            for name, member in self._peers.live().items()
            if member.region == local.region
            and name not in aggregators
            and not (is_watched and pusher_of(name, aggregators) != local.name)
        ]
