"""Synchronizes the store replicas of gateways with each other."""

import bisect
from collections.abc import Iterable
from types import MappingProxyType

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import (
    UNKNOWN_ERA,
    StateReply,
    StateRequest,
)
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.state_requests import StateRequests
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.store import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StorePosition,
)

__all__ = ('REPORT_INTERVAL_S', 'StateSync')

#: Seconds between two reports of a gateway.
REPORT_INTERVAL_S = 0.25
#: Seconds that a message may be in transit; added to each relayed age, so that
#: a listing does not appear more recent with each hop.
_TRANSIT_S = 0.1
#: Seconds for which a peer may be ahead before this gateway lists the store,
#: since the peer did not send what it is ahead by.
_MAX_LAG_S = 0.9
#: Fraction of a kind's bound after which some gateway lists it again, to find
#: changes that no watch delivers. The rest is for their way to all gateways:
#: 0.25 s to the round, 0.1 s for the call, and for each of two hops a notice
#: (0.25 s), a request and an answer. docs/platform.md has the sums.
_CHECK_FRACTION = 0.5
#: Fraction of a kind's bound for which the store may have answered no gateway
#: before a gateway stops to rely on aggregators: they may be cut off.
_ANSWERED_FRACTION = 0.8
#: Seconds after which the next gateway checks in place of one that did not; a
#: check becomes known with the report after it.
_TURN_S = 4 * REPORT_INTERVAL_S
_MAX_TURNS = 4
#: Time of a listing that never was; ages in messages are finite.
_NEVER_S = -1_000_000
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
        self._roster = roster
        self._followers = MappingProxyType(
            {follower.prefix: follower for follower in followers},
        )
        self._differs_since: dict[tuple[str, str], float] = {}
        self._checked_at: dict[str, float] = {}
        self._source_seen_at: dict[str, float] = {}
        self._requests = StateRequests(dependencies, roster)
        dependencies.peers.subscribe(StateRequest, self._handle_request)
        dependencies.peers.subscribe(StateReply, self._handle_reply)

    def known(self) -> dict[str, list]:
        """Summary of each replica, as sent in reports.

        By prefix: the revision, the digest, the seconds since any gateway
        listed the kind, and whether peers may use it as a source.
        """
        now = self._dependencies.clock.now()
        return {
            prefix: [
                follower.known.position.revision,
                follower.known.digest,
                now - self._last_check(follower) + _TRANSIT_S,
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

    def compare(
        self,
        sender: str,
        known: dict[str, list],
        eras: dict[str, int],
    ) -> None:
        """Compare the replica summaries of a peer with the local replicas."""
        is_aggregator = sender in self._dependencies.peers.aggregators()
        for prefix in known.keys() & self._followers.keys():
            revision, digest, age_s, *source_flags = known[prefix]
            follower = self._followers[prefix]
            position = follower.known.locate(revision, eras.get(prefix))
            self._record_check(follower, age_s)
            if is_aggregator and any(source_flags):
                self._record_source(follower, position)
            if not follower.is_relayed:
                self._compare_one(sender, follower, position, digest)
            elif is_aggregator:
                self._request_from_aggregator(
                    sender, follower, position, digest
                )

    def run_round(self) -> None:
        """Choose sources, check the store, and request unreachable state."""
        self._choose_sources()
        self._check_store()
        self._requests.send_unreachable(self._followers.values())
        known = self._dependencies.peers.live()
        self._differs_since = {
            difference: since
            for difference, since in self._differs_since.items()
            if difference[0] in known
        }

    def _record_check(self, follower: KindFollower, age_s: float) -> None:
        """Record when some gateway listed a kind."""
        checked_at = self._dependencies.clock.now() - age_s
        before = self._checked_at.get(follower.prefix, checked_at)
        self._checked_at[follower.prefix] = max(before, checked_at)
        follower.outages.record_answer(age_s)

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
        self,
        sender: str,
        follower: KindFollower,
        position: StorePosition,
        digest: int,
    ) -> None:
        """Catch up with a peer, or list if it has been ahead for too long."""
        now = self._dependencies.clock.now()
        difference = (sender, follower.prefix)
        if (
            _is_same_state(follower, position, digest)
            or position <= follower.known.position
        ):
            self._differs_since.pop(difference, None)
            return
        self._requests.catch_up(sender, follower, position)
        since = self._differs_since.setdefault(difference, now)
        if now - since > _MAX_LAG_S:
            follower.check()

    def _request_from_aggregator(
        self,
        aggregator: str,
        follower: KindFollower,
        position: StorePosition,
        digest: int,
    ) -> None:
        """Request the changes that an aggregator is ahead by."""
        if position < follower.known.position or _is_same_state(
            follower, position, digest
        ):
            return
        # Equal positions with different digests: changes cannot repair this.
        is_full = position == follower.known.position or not follower.is_listed
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

    def _check_store(self) -> None:
        """List the kinds that no gateway has listed recently.

        Gateways take turns in the order of their names, so that usually the
        first one that reaches the store checks for all.
        """
        now = self._dependencies.clock.now()
        turn_s = self._check_turn() * _TURN_S
        for follower in self._followers.values():
            wait_s = _CHECK_FRACTION * follower.bound_s + turn_s
            if now - self._last_check(follower) > wait_s:
                follower.check()

    def _check_turn(self) -> int:
        """Position of this gateway in the order of checks.

        In a large fleet the aggregators come first, since they learn of each
        other's checks before the other gateways.
        """
        peers = self._dependencies.peers
        checking = [
            name
            for region in peers.regions()
            for name in peers.aggregators(region)
        ]
        if not checking:
            in_contact = self._roster.in_contact()
            return min(bisect.bisect(in_contact, peers.local.name), _MAX_TURNS)
        if peers.local.name not in checking:
            return _MAX_TURNS
        return min(checking.index(peers.local.name), _MAX_TURNS)

    def _last_check(self, follower: KindFollower) -> float:
        """Time of the last known listing of a kind by any gateway."""
        listed_at = self._dependencies.clock.now() - follower.age_s
        return max(listed_at, self._checked_at.get(follower.prefix, _NEVER_S))

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
        self._dependencies.peers.send(sender, reply)

    def _handle_reply(self, sender: str, reply: StateReply) -> None:
        follower = self._followers.get(reply.prefix)
        if follower is None:
            return
        found = _read_reply(reply, _locate(follower, reply))
        if follower.apply_from_peer(found, sender):
            self._dependencies.counters.add('state_adopted', kind=reply.prefix)


def _is_same_state(
    follower: KindFollower, position: StorePosition, digest: int
) -> bool:
    """Whether a peer has the same objects.

    Digests are made of versions, which another era gives out again.
    """
    is_same_era = position.era == follower.known.position.era
    return is_same_era and digest == follower.known.digest


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
