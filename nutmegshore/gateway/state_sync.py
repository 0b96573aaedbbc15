"""How gateways keep each other's view of the store up to date."""

import bisect
import random
from collections.abc import Iterable
from types import MappingProxyType

import attrs

from nutmegshore.balancing import Balancer
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.messages import StateReply, StateRequest
from nutmegshore.gateway.roster import Roster
from nutmegshore.peers import Peers
from nutmegshore.quarantine import Quarantine
from nutmegshore.store import Change, Changes, Listing, StoredObject

__all__ = ('REPORT_S', 'PeeringDependencies', 'StateSync')

#: Seconds between two reports of a gateway.
REPORT_S = 0.25
#: Seconds that a message may be under way; added to ages that are passed on,
#: so that a listing does not seem younger with each gateway that tells of it.
_TRANSIT_S = 0.1
#: Seconds for which a peer may know other objects before the store is asked
#: again; a watch and a report bring a change within 0.8 s.
_BEHIND_S = 0.9
#: Part of a kind's bound after which it is listed again by any gateway of the
#: fleet. Changes that no watch delivers are found so, and the other gateways
#: hear of them; what is left of the bound is for a gateway that does not.
_CHECK_PART = 0.75
#: Seconds after which the next gateway checks in place of one that did not;
#: it hears of a check by the report after it.
_TURN_S = 2 * REPORT_S
_MAX_TURNS = 4
#: Seconds between questions to peers while the store does not answer.
_QUESTION_S = 0.4
#: Seconds after its last word for which an aggregator is relied on in place
#: of the store. It speaks twice a second; the bounds on changes are 2 s and
#: more, and a watch of one's own brings at once what was missed.
_SOURCE_KEPT_S = 1.2


@attrs.frozen
class PeeringDependencies:
    """What the peering of one gateway takes from outside."""

    peers: Peers
    balancer: Balancer
    quarantine: Quarantine
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class StateSync:
    """Compares what gateways know of the store, and passes it on.

    Each gateway of a small fleet watches the store. In a larger one only the
    aggregators do, and the others ask them for what changed, so that the
    calls to the store do not grow with the fleet. A gateway that hears no
    aggregator which the store answers watches by itself. One that the store
    does not answer asks any peer. Together the gateways list each kind within
    its bound, since a watch may miss changes.

        exchange = StateSync(dependencies, followers, roster)
        exchange.run_round()  # with each report
    """

    def __init__(
        self,
        dependencies: PeeringDependencies,
        followers: Iterable[KindFollower],
        roster: Roster,
    ) -> None:
        """Take questions from now on."""
        self._dependencies = dependencies
        self._roster = roster
        self._followers = MappingProxyType(
            {follower.prefix: follower for follower in followers},
        )
        self._differs_since: dict[tuple[str, str], float] = {}
        self._checked_at: dict[str, float] = {}
        self._source_at: dict[str, float] = {}
        self._asked_at = float('-inf')
        dependencies.peers.subscribe(StateRequest, self._take_question)
        dependencies.peers.subscribe(StateReply, self._take_reply)

    def known(self) -> dict[str, list]:
        """How far the state goes, as it travels in reports.

        By prefix: the position, the digest, the seconds since any gateway
        listed the kind, and whether others may rely on it.
        """
        now = self._dependencies.clock.now()
        return {
            prefix: [
                follower.known.position,
                follower.known.digest,
                now - self._last_check(follower) + _TRANSIT_S,
                follower.is_current and not follower.is_relayed,
            ]
            for prefix, follower in self._followers.items()
        }

    def compare(self, sender: str, known: dict[str, list]) -> None:
        """Take how far the state of a peer goes."""
        is_aggregator = sender in self._dependencies.peers.aggregators()
        for prefix in known.keys() & self._followers.keys():
            position, digest, age_s, *flags = known[prefix]
            follower = self._followers[prefix]
            self._record_check(prefix, age_s)
            if is_aggregator and any(flags):
                self._source_at[prefix] = self._dependencies.clock.now()
            if not follower.is_relayed:
                self._compare_one(sender, follower, position, digest)
            elif is_aggregator:
                self._follow(sender, follower, position, digest)

    def run_round(self) -> None:
        """Choose whom to follow, check the store, and ask where it is lost."""
        self._choose_sources()
        self._check_store()
        self._ask()
        known = self._dependencies.peers.live()
        self._differs_since = {
            difference: since
            for difference, since in self._differs_since.items()
            if difference[0] in known
        }

    def _record_check(self, prefix: str, age_s: float) -> None:
        """Note when some gateway listed a kind."""
        checked_at = self._dependencies.clock.now() - age_s
        before = self._checked_at.get(prefix, checked_at)
        self._checked_at[prefix] = max(before, checked_at)

    def _compare_one(
        self,
        sender: str,
        follower: KindFollower,
        position: int,
        digest: int,
    ) -> None:
        """Check the store where a peer has known other objects for long."""
        now = self._dependencies.clock.now()
        difference = (sender, follower.prefix)
        if (
            digest == follower.known.digest
            or position <= follower.known.position
        ):
            self._differs_since.pop(difference, None)
            return
        since = self._differs_since.setdefault(difference, now)
        if now - since > _BEHIND_S:
            follower.check()

    def _follow(
        self,
        aggregator: str,
        follower: KindFollower,
        position: int,
        digest: int,
    ) -> None:
        """Ask an aggregator for what it knows more."""
        if (
            position < follower.known.position
            or digest == follower.known.digest
        ):
            return
        # With the same position, the changes did not lead to the same objects.
        is_whole = position == follower.known.position or not follower.is_listed
        question = StateRequest(
            follower.prefix, follower.known.position, is_whole
        )
        self._dependencies.peers.send(aggregator, question)
        self._dependencies.counters.add('state_questions', kind=follower.prefix)

    def _choose_sources(self) -> None:
        """Leave the store to the aggregators while one of them has it."""
        peers = self._dependencies.peers
        aggregators = peers.aggregators()
        is_plain = bool(aggregators) and peers.local.name not in aggregators
        limit = self._dependencies.clock.now() - _SOURCE_KEPT_S
        for prefix, follower in self._followers.items():
            has_source = self._source_at.get(prefix, 0) > limit
            follower.set_relayed(is_relayed=is_plain and has_source)

    def _check_store(self) -> None:
        """List the kinds that no gateway has listed for a while.

        The gateways take turns by their names, so that usually the first one
        that the store answers checks for all.
        """
        now = self._dependencies.clock.now()
        turn_s = self._turn() * _TURN_S
        for follower in self._followers.values():
            wait_s = _CHECK_PART * follower.bound_s + turn_s
            if now - self._last_check(follower) > wait_s:
                follower.check()

    def _turn(self) -> int:
        """Place of this gateway among those that check for all.

        In a large fleet these are the aggregators, who hear of each other's
        checks before the rest does.
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
        """When any gateway was last seen to have listed a kind."""
        listed_at = self._dependencies.clock.now() - follower.age_s
        return max(listed_at, self._checked_at.get(follower.prefix, 0))

    def _ask(self) -> None:
        """Ask one peer for what the store does not tell."""
        now = self._dependencies.clock.now()
        lost = [
            one
            for one in self._followers.values()
            if not (one.is_in_touch or one.is_relayed)
        ]
        names = self._roster.in_contact()
        if not lost or not names or now - self._asked_at < _QUESTION_S:
            return
        self._asked_at = now
        for follower in lost:
            name = self._dependencies.rng.choice(names)
            question = StateRequest(follower.prefix, follower.known.position)
            self._dependencies.peers.send(name, question)
            self._dependencies.counters.add(
                'state_questions', kind=follower.prefix
            )

    def _take_question(self, sender: str, question: StateRequest) -> None:
        follower = self._followers.get(question.prefix)
        if follower is None or not follower.is_listed:
            return
        if follower.known.position < question.position:
            return
        changes = None
        if not question.is_whole:
            changes = follower.known.changes_since(question.position)
        reply = _reply_whole(follower)
        if changes is not None:
            reply = _reply_changes(follower, changes)
        self._dependencies.peers.send(sender, reply)

    def _take_reply(self, sender: str, reply: StateReply) -> None:
        follower = self._followers.get(reply.prefix)
        if follower is None:
            return
        listed = tuple(
            StoredObject(key, body, uid, version, '')
            for key, body, uid, version in reply.listed
        )
        found: Listing | Changes = Listing(reply.position, listed)
        if not reply.is_whole:
            changes = [Change(stored.key, stored) for stored in listed]
            changes.extend(Change(key, None) for key in reply.removed)
            found = Changes(reply.position, tuple(changes))
        if follower.adopt(found, is_after_outage=reply.is_after_outage):
            self._dependencies.counters.add('state_adopted', kind=reply.prefix)


def _reply_whole(follower: KindFollower) -> StateReply:
    return StateReply(
        follower.prefix,
        follower.known.position,
        [_to_fields(stored) for stored in follower.known.by_key.values()],
        is_after_outage=follower.is_after_outage,
    )


def _reply_changes(follower: KindFollower, changes: Changes) -> StateReply:
    present = [one.stored for one in changes.changes if one.stored is not None]
    return StateReply(
        follower.prefix,
        changes.position,
        [_to_fields(stored) for stored in present],
        is_whole=False,
        removed=[one.key for one in changes.changes if one.stored is None],
        is_after_outage=follower.is_after_outage,
    )


def _to_fields(stored: StoredObject) -> list[object]:
    return [stored.key, stored.body, stored.uid, stored.version]
