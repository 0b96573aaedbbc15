"""Synchronizes the store replicas of gateways with each other."""

from collections.abc import Iterable
from types import MappingProxyType

import attrs

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import (
    UNKNOWN_AGE,
    UNKNOWN_ERA,
    StateReply,
    StateRequest,
)
from nutmegshore.gateway.replica_summary import (
    ReplicaSummary,
    ToldReplica,
    read_replica,
)
from nutmegshore.gateway.replica_view import ToldView
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.state_requests import StateRequests
from nutmegshore.gateway.store_checks import StoreChecks
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.gateway.transit_times import TransitTimes
from nutmegshore.store import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StorePosition,
)

__all__ = ('StateSync',)

#: Seconds for which a peer may be ahead before this gateway lists the store,
#: since the peer did not send what it is ahead by.
_MAX_LAG_S = 0.9
#: Fraction of a kind's bound for which the store may have answered no gateway
#: before a gateway stops to rely on aggregators: they may be cut off.
_ANSWERED_FRACTION = 0.8
#: Seconds after its last message for which an aggregator replaces the store.
#: Aggregators send twice a second; the bounds on changes are 2 s and more, and
#: a watch of the gateway's own delivers missed changes at once.
_SOURCE_TIMEOUT_S = 1.2


class StateSync:
    """Compares the replicas of gateways and passes changes on.

    In a small fleet each gateway watches the store. In a larger one only the
    aggregators do and the others request changes from them, so that calls to
    the store do not grow with the fleet. A gateway without messages from an
    aggregator that reaches the store watches the store itself; one that
    cannot reach the store requests state from any peer. Since a watch may
    miss changes, some gateway lists each kind within its bound.

        state_sync = StateSync(dependencies, followers, roster)
        state_sync.run_round()  # with each report
    """

    def __init__(
        self,
        dependencies: PeeringDependencies,
        followers: Iterable[KindFollower],
        roster: Roster,
    ) -> None:
        """Subscribe to the state requests and replies of peers."""
        self._dependencies = dependencies
        self._followers = MappingProxyType(
            {follower.prefix: follower for follower in followers},
        )
        self._differs_since: dict[tuple[str, str], float] = {}
        self._source_seen_at: dict[str, float] = {}
        self.transit_times = TransitTimes(dependencies.clock)
        self._checks = StoreChecks(dependencies, roster)
        self._requests = StateRequests(dependencies, roster)
        dependencies.peers.subscribe(StateRequest, self._handle_request)
        dependencies.peers.subscribe(StateReply, self._handle_reply)

    def known(self) -> dict[str, list]:
        """Summary of each replica, as sent in reports.

        By prefix: the revision, the digest, the seconds since any gateway
        listed the kind, and whether peers may use it as a source.
        """
        return {
            prefix: [
                follower.known.position.revision,
                follower.known.digest,
                self._checks.age_s(follower),
                follower.is_current and not follower.is_relayed,
            ]
            for prefix, follower in self._followers.items()
        }

    def eras(self) -> dict[str, int]:
        """Return the era of each replica's position, by prefix."""
        return {
            prefix: follower.known.position.era
            for prefix, follower in self._followers.items()
        }

    def ages(self) -> dict[str, float]:
        """Return the age of each replica in seconds, by prefix."""
        return {
            prefix: follower.view.age_s
            for prefix, follower in self._followers.items()
        }

    def compare(self, sender: str, summary: ReplicaSummary) -> None:
        """Compare the replica summaries of a peer with the local replicas."""
        transit_s = self.transit_times.record(sender, summary.sent_at)
        for prefix in summary.replicas.keys() & self._followers.keys():
            follower = self._followers[prefix]
            told = read_replica(summary, follower, transit_s)
            self._checks.record(follower, told.listed_s)
            if told.is_same_as(follower):
                follower.view.confirm(told.age_s)
            self._compare_one(sender, follower, told)

    def run_round(self) -> None:
        """Choose sources, check the store, and request unreachable state."""
        self._choose_sources()
        self._checks.check_due(self._followers.values())
        self._requests.send_unreachable(self._followers.values())
        known = self._dependencies.peers.live()
        self._differs_since = {
            difference: since
            for difference, since in self._differs_since.items()
            if difference[0] in known
        }

    def _record_source(
        self, follower: KindFollower, position: StorePosition
    ) -> None:
        """Record that an aggregator follows the store.

        One that has not noticed the last restore is no source.
        """
        if position.era >= follower.known.position.era:
            now = self._dependencies.clock.now()
            self._source_seen_at[follower.prefix] = now

    def _compare_one(
        self, sender: str, follower: KindFollower, told: ToldReplica
    ) -> None:
        """Request what a peer is ahead by."""
        is_aggregator = sender in self._dependencies.peers.aggregators()
        if is_aggregator and told.is_source:
            self._record_source(follower, told.position)
        if not follower.is_relayed:
            self._catch_up(sender, follower, told)
        elif is_aggregator:
            self._request_from_aggregator(sender, follower, told)

    def _catch_up(
        self, sender: str, follower: KindFollower, told: ToldReplica
    ) -> None:
        """Catch up with a peer, or list if it has been ahead for too long."""
        now = self._dependencies.clock.now()
        difference = (sender, follower.prefix)
        if (
            told.is_same_as(follower)
            or told.position <= follower.known.position
        ):
            self._differs_since.pop(difference, None)
            return
        self._requests.catch_up(sender, follower, told.position)
        since = self._differs_since.setdefault(difference, now)
        if now - since > _MAX_LAG_S:
            follower.check()

    def _request_from_aggregator(
        self, aggregator: str, follower: KindFollower, told: ToldReplica
    ) -> None:
        """Request the changes that an aggregator is ahead by."""
        known_at = follower.known.position
        if told.position < known_at or told.is_same_as(follower):
            return
        # Equal positions with different digests: changes cannot repair this.
        is_full = told.position == known_at or not follower.is_listed
        self._requests.send_paced(aggregator, follower, is_full=is_full)

    def _choose_sources(self) -> None:
        """Relay through the aggregators while one of them has the store."""
        peers = self._dependencies.peers
        aggregators = peers.aggregators()
        may_relay = bool(aggregators) and peers.local.name not in aggregators
        limit = self._dependencies.clock.now() - _SOURCE_TIMEOUT_S
        for prefix, follower in self._followers.items():
            has_source = self._source_seen_at.get(prefix, 0) > limit
            is_answered = (
                follower.outages.silent_s
                < _ANSWERED_FRACTION * follower.bound_s
            )
            follower.set_relayed(
                is_relayed=may_relay and has_source and is_answered
            )

    def _handle_request(self, sender: str, request: StateRequest) -> None:
        follower = self._followers.get(request.prefix)
        if follower is None or not follower.is_listed:
            return
        position = _locate(follower, request)
        if follower.known.position < position:
            return
        changes = None
        if not request.is_full:
            changes = follower.known.changes_since(position)
        reply = _make_full_reply(follower)
        if changes is not None:
            reply = _make_changes_reply(follower, changes)
        reply = attrs.evolve(
            reply,
            age_s=follower.view.age_s,
            hops=follower.view.hops,
            sent_at=self._dependencies.clock.now(),
        )
        self._dependencies.peers.send(sender, reply)

    def _handle_reply(self, sender: str, reply: StateReply) -> None:
        follower = self._followers.get(reply.prefix)
        if follower is None:
            return
        transit_s = self.transit_times.record(sender, reply.sent_at)
        found = _read_reply(reply, _locate(follower, reply))
        told = _read_view(reply, transit_s)
        if follower.apply_from_peer(found, sender, told):
            self._dependencies.counters.add('state_adopted', kind=reply.prefix)


def _locate(
    follower: KindFollower, body: StateRequest | StateReply
) -> StorePosition:
    era = None if body.era == UNKNOWN_ERA else body.era
    return follower.known.locate(body.position, era)


def _read_reply(reply: StateReply, read_at: StorePosition) -> Listing | Changes:
    listed = tuple(
        StoredObject(key, body, uid, version, '')
        for key, body, uid, version in reply.listed
    )
    if reply.is_full:
        return Listing(read_at.revision, listed, read_at.era)
    changes = [Change(stored.key, stored) for stored in listed]
    changes.extend(Change(key, None) for key in reply.removed)
    return Changes(read_at.revision, tuple(changes), read_at.era)


def _read_view(reply: StateReply, transit_s: float) -> ToldView:
    if reply.age_s == UNKNOWN_AGE:
        return ToldView(hops=reply.hops)
    return ToldView(reply.age_s + transit_s, reply.hops)


def _make_full_reply(follower: KindFollower) -> StateReply:
    return StateReply(
        follower.prefix,
        follower.known.position.revision,
        [_to_fields(stored) for stored in follower.known.by_key.values()],
        is_after_outage=follower.outages.may_lack_entries,
        era=follower.known.position.era,
    )


def _make_changes_reply(follower: KindFollower, changes: Changes) -> StateReply:
    present = [one.stored for one in changes.changes if one.stored is not None]
    return StateReply(
        follower.prefix,
        changes.position,
        [_to_fields(stored) for stored in present],
        is_full=False,
        removed=[one.key for one in changes.changes if one.stored is None],
        is_after_outage=follower.outages.may_lack_entries,
        era=changes.era,
    )


def _to_fields(stored: StoredObject) -> list[object]:
    return [stored.key, stored.body, stored.uid, stored.version]
