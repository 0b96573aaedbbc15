"""Synchronizes the store replicas of gateways with each other."""

from collections.abc import Iterable
from types import MappingProxyType

import attrs

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import (
    StateChanges,
    StateReply,
    StateRequest,
)
from nutmegshore.gateway.replica_summary import (
    ReplicaSummary,
    ToldReplica,
    read_replica,
)
from nutmegshore.gateway.replica_view import ToldView
from nutmegshore.gateway.report_checks import check_objects
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.state_objects import (
    locate,
    make_reply,
    read_changes,
    read_reply,
    read_view,
)
from nutmegshore.gateway.state_pushes import pusher_of
from nutmegshore.gateway.state_requests import StateRequests
from nutmegshore.gateway.store_checks import StoreChecks
from nutmegshore.gateway.store_sources import StoreSources
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.gateway.transit_times import TransitTimes
from nutmegshore.platform.configuration import CONFIGURATION_PREFIX
from nutmegshore.store import Changes, Listing

__all__ = ('StateSync',)

#: Seconds for which a peer may be ahead before this gateway lists the store,
#: since the peer did not send what it is ahead by.
_MAX_LAG_S = 0.9
#: Seconds within which changes come unasked after another aggregator has told
#: of them: two notices, since the aggregators watch apart from each other.
_PUSH_WAIT_S = 0.5


@attrs.frozen
class _Ahead:
    """An aggregator that is ahead, and since when one is known to be."""

    aggregator: str
    told: ToldReplica
    since: float


class StateSync:
    """Compares the replicas of gateways and passes changes on.

    In a small fleet each gateway watches the store. In a larger one only the
    aggregators do and the others get changes from them, so that calls to the
    store do not grow with the fleet. A gateway without recent messages from an
    aggregator that reaches the store watches the store itself; one that
    cannot reach the store requests state from any peer. Since a watch may
    miss changes, some gateway lists each kind within its bound, and each one
    what it has not heard of for most of it.

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
        self._ahead: dict[str, _Ahead] = {}
        self.transit_times = TransitTimes(dependencies.clock)
        self._checks = StoreChecks(dependencies, roster)
        self._sources = StoreSources(dependencies)
        self._requests = StateRequests(dependencies, roster)
        state = dependencies.balancer.candidate_builder.state
        self.words = state.peer_configurations
        dependencies.peers.subscribe(StateRequest, self._handle_request)
        dependencies.peers.subscribe(StateReply, self._handle_reply)
        dependencies.peers.subscribe(StateChanges, self._handle_changes)

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

    def answers(self) -> dict[str, list[float]]:
        """Return what is known of the store's answers, by prefix."""
        return {
            prefix: list(attrs.astuple(follower.outages.told()))
            for prefix, follower in self._followers.items()
        }

    def compare(
        self, sender: str, summary: ReplicaSummary, transit_s: float
    ) -> None:
        """Compare the replica summaries of a peer with the local replicas.

        The message was on its way for `transit_s` seconds.
        """
        peers = self._dependencies.peers
        sent_after = self.transit_times.learn(
            sender, summary.sent_at, summary.heard.get(peers.local.name)
        )
        member = peers.live().get(sender)
        is_near = member is not None and member.region == peers.local.region
        for prefix in summary.replicas.keys() & self._followers.keys():
            follower = self._followers[prefix]
            told = read_replica(summary, follower, transit_s, is_near=is_near)
            self._checks.record(follower, told.listed_s)
            follower.outages.record_told(told.answers)
            if told.is_same_as(follower) and prefix in summary.ages:
                # Whichever is older: the bound, or the estimate, which adds a
                # least time for each hop and so lets a view be listed early.
                estimate = self._dependencies.clock.now() - told.age_s
                follower.view.confirm_at(
                    min(sent_after - summary.ages[prefix], estimate)
                )
            if prefix == CONFIGURATION_PREFIX:
                self.words.hear(told.position, summary.configured)
                if told.is_same_as(follower):
                    self.words.compare(sender, summary.configured)
            self._compare_one(sender, follower, told)

    def run_round(self) -> None:
        """Choose sources, check the store, and request unreachable state."""
        self._sources.choose(self._followers.values())
        self._request_overdue()
        self._checks.check_due(self._followers.values())
        self._requests.send_unreachable(self._followers.values())
        known = self._dependencies.peers.live()
        self._differs_since = {
            difference: since
            for difference, since in self._differs_since.items()
            if difference[0] in known
        }

    def _compare_one(
        self, sender: str, follower: KindFollower, told: ToldReplica
    ) -> None:
        """Request what a peer is ahead by."""
        is_aggregator = sender in self._dependencies.peers.aggregators()
        if is_aggregator and told.is_source:
            self._sources.record(follower, told)
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
        """Request the changes that an aggregator is ahead by.

        The aggregator that sends changes unasked has sent them before it tells
        of them. If the other one tells first, they are about to come.
        """
        if not _is_ahead(told, follower):
            self._ahead.pop(follower.prefix, None)
            return
        peers = self._dependencies.peers
        pusher = pusher_of(peers.local.name, peers.aggregators())
        now = self._dependencies.clock.now()
        ahead = self._ahead.setdefault(
            follower.prefix, _Ahead(aggregator, told, now)
        )
        if aggregator == pusher or now - ahead.since > _PUSH_WAIT_S:
            self._request_changes(aggregator, follower, told)

    def _request_overdue(self) -> None:
        """Request what was told of and has not come unasked."""
        now = self._dependencies.clock.now()
        for prefix, ahead in list(self._ahead.items()):
            follower = self._followers[prefix]
            if not (follower.is_relayed and _is_ahead(ahead.told, follower)):
                self._ahead.pop(prefix)
            elif now - ahead.since > _PUSH_WAIT_S:
                self._request_changes(ahead.aggregator, follower, ahead.told)

    def _request_changes(
        self, aggregator: str, follower: KindFollower, told: ToldReplica
    ) -> None:
        # Equal positions with different digests: changes cannot repair this.
        is_same_position = told.position == follower.known.position
        is_full = is_same_position or not follower.is_listed
        self._requests.send_paced(aggregator, follower, is_full=is_full)

    def _handle_request(self, sender: str, request: StateRequest) -> None:
        follower = self._followers.get(request.prefix)
        if follower is None or not follower.is_listed:
            return
        position = locate(follower, request)
        if follower.known.position < position:
            return
        changes = None
        if not request.is_full:
            changes = follower.known.changes_since(position)
        now = self._dependencies.clock.now()
        reply = make_reply(follower, changes, now)
        self._dependencies.peers.send(sender, reply)

    def _handle_reply(self, sender: str, reply: StateReply) -> None:
        check_objects(reply)
        transit_s = self.transit_times.record(sender, reply.sent_at)
        self._requests.record_answer(sender, reply.prefix)
        follower = self._followers.get(reply.prefix)
        if follower is None:
            return
        found = read_reply(reply, follower)
        self._adopt(sender, follower, found, read_view(reply, transit_s))

    def _handle_changes(self, sender: str, pushed: StateChanges) -> None:
        """Apply changes that were sent unasked, or request what is missing."""
        check_objects(pushed)
        transit_s = self.transit_times.record(sender, pushed.sent_at)
        follower = self._followers.get(pushed.prefix)
        if follower is None or not follower.is_listed:
            return
        known_at = follower.known.position
        changes = read_changes(pushed)
        if changes.era != known_at.era or changes.read_at <= known_at:
            return
        if known_at.revision < pushed.base:
            self._requests.send_paced(sender, follower, is_full=False)
            return
        self._adopt(sender, follower, changes, read_view(pushed, transit_s))

    def _adopt(
        self,
        sender: str,
        follower: KindFollower,
        found: Listing | Changes,
        told: ToldView,
    ) -> None:
        if follower.apply_from_peer(found, sender, told):
            self._dependencies.counters.add(
                'state_adopted', kind=follower.prefix
            )


def _is_ahead(told: ToldReplica, follower: KindFollower) -> bool:
    is_older = told.position < follower.known.position
    return not (is_older or told.is_same_as(follower))
