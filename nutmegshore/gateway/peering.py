"""What gateways tell each other: load, readiness and newer state."""

import bisect
import random
from collections.abc import Iterable
from types import MappingProxyType

import attrs

from nutmegshore.balancing import Balancer
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.events import PeerChanged
from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.messages import LoadReport, StateQuestion, StateReply
from nutmegshore.peers import Peers
from nutmegshore.quarantine import Quarantine
from nutmegshore.store import Listing, StoredObject

__all__ = ('Peering', 'PeeringParts')

#: Seconds between two reports of a gateway.
REPORT_S = 0.25
#: Seconds without a report after which a gateway is not named to callers.
SILENT_S = 1.5
#: Seconds of silence after which nothing is kept of a peer.
_FORGOTTEN_S = 60
#: Members up to which reports go to all; beyond, to those of the region.
_ALL_MEMBERS = 16
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


@attrs.define
class _Seen:
    """The last report of a peer and when it came."""

    at: float
    is_ready: bool
    is_silent: bool = False


@attrs.frozen
class PeeringParts:
    """What the peering of one gateway takes from outside."""

    peers: Peers
    balancer: Balancer
    quarantine: Quarantine
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class Peering:
    """Exchanges reports with the other gateways.

    A report carries the requests in flight, readiness, and how far the state
    goes. A gateway that sees a peer ahead lists the store again; one that the
    store does not answer asks a peer for the objects themselves. Together the
    gateways list each kind within its bound, since a watch may miss changes.
    """

    def __init__(
        self,
        parts: PeeringParts,
        followers: Iterable[KindFollower],
    ) -> None:
        """Take reports from now on; `run` sends them."""
        self.is_ready = False
        self._parts = parts
        self._load = parts.balancer.known.load
        self._followers = MappingProxyType(
            {follower.prefix: follower for follower in followers},
        )
        self._seen: dict[str, _Seen] = {}
        self._differs_since: dict[tuple[str, str], float] = {}
        self._checked_at: dict[str, float] = {}
        self._asked_at = float('-inf')
        peers = parts.peers
        peers.subscribe(LoadReport, self._take_report)
        peers.subscribe(StateQuestion, self._take_question)
        peers.subscribe(StateReply, self._take_reply)

    async def run(self) -> None:
        """Send reports and look after silent peers until cancelled."""
        while True:
            self.report()
            self._note_silent()
            self._load.forget_peers()
            self._check_store()
            self._ask()
            await self._parts.clock.sleep(REPORT_S)

    def report(self) -> None:
        """Send one report now."""
        known = {
            prefix: [follower.position, follower.digest, follower.age_s]
            for prefix, follower in self._followers.items()
        }
        counts = self._load.own_counts()
        verdicts = self._parts.quarantine.digest
        body = LoadReport(self.is_ready, counts, known, verdicts)
        if len(self._parts.peers.live()) <= _ALL_MEMBERS:
            self._parts.peers.broadcast(body)
        else:
            self._parts.peers.send_region(body)

    def is_named(self, name: str) -> bool:
        """Whether look-up answers may name a gateway."""
        if name == self._parts.peers.local.name:
            return self.is_ready
        seen = self._seen.get(name)
        if seen is None:
            return False
        age_s = self._parts.clock.now() - seen.at
        return seen.is_ready and age_s < SILENT_S

    def report_ages(self) -> dict[str, float]:
        """Seconds since the last report of each peer, by its name."""
        now = self._parts.clock.now()
        return {name: now - seen.at for name, seen in self._seen.items()}

    def _take_report(self, sender: str, report: LoadReport) -> None:
        before = self._seen.get(sender)
        now = self._parts.clock.now()
        self._seen[sender] = _Seen(now, report.is_ready)
        self._load.take_peer(sender, report.in_flight)
        if before is None or before.is_silent:
            away_s = now - before.at if before else 0
            self._tell(sender, 'up', away_s)
        elif before.is_ready != report.is_ready:
            self._tell(sender, 'ready' if report.is_ready else 'unready', 0)
        for prefix, known in report.known.items():
            self._compare(sender, prefix, known)
        verdicts = self._parts.quarantine.digest
        if verdicts and verdicts != report.verdicts:
            self._parts.quarantine.tell(sender)

    def _compare(self, sender: str, prefix: str, known: list) -> None:
        """Check the store where a peer has known other objects for long."""
        follower = self._followers.get(prefix)
        if follower is None:
            return
        position, digest, age_s = known
        now = self._parts.clock.now()
        checked_at = self._checked_at.get(prefix, now - age_s)
        self._checked_at[prefix] = max(checked_at, now - age_s)
        difference = (sender, prefix)
        if digest == follower.digest or position <= follower.position:
            self._differs_since.pop(difference, None)
            return
        since = self._differs_since.setdefault(difference, now)
        if now - since > _BEHIND_S:
            follower.check()

    def _check_store(self) -> None:
        """List the kinds that no gateway has listed for a while.

        The gateways take turns by their names, so that usually the first one
        that the store answers checks for all.
        """
        now = self._parts.clock.now()
        heard = sorted(name for name in self._seen if self._is_heard(name))
        turn = bisect.bisect(heard, self._parts.peers.local.name)
        turn_s = min(turn, _MAX_TURNS) * _TURN_S
        for prefix, follower in self._followers.items():
            wait_s = _CHECK_PART * follower.bound_s + turn_s
            checked_at = now - follower.age_s
            checked_at = max(checked_at, self._checked_at.get(prefix, 0))
            if now - checked_at > wait_s:
                follower.check()

    def _ask(self) -> None:
        """Ask one peer for what the store does not tell."""
        now = self._parts.clock.now()
        lost = [one for one in self._followers.values() if not one.is_in_touch]
        names = [name for name in self._seen if self._is_heard(name)]
        if not lost or not names or now - self._asked_at < _QUESTION_S:
            return
        self._asked_at = now
        for follower in lost:
            name = self._parts.rng.choice(names)
            question = StateQuestion(follower.prefix, follower.position)
            self._parts.peers.send(name, question)
            self._parts.counters.add('state_questions', kind=follower.prefix)

    def _take_question(self, sender: str, question: StateQuestion) -> None:
        follower = self._followers.get(question.prefix)
        if follower is None or not follower.is_listed:
            return
        if follower.position <= question.position:
            return
        listed = [
            [stored.key, stored.body, stored.uid, stored.version]
            for stored in follower.by_key.values()
        ]
        reply = StateReply(question.prefix, follower.position, listed)
        self._parts.peers.send(sender, reply)

    def _take_reply(self, sender: str, reply: StateReply) -> None:
        follower = self._followers.get(reply.prefix)
        if follower is None:
            return
        listed = tuple(
            StoredObject(key, body, uid, version, '')
            for key, body, uid, version in reply.listed
        )
        if follower.adopt(Listing(reply.position, listed)):
            self._parts.counters.add('state_adopted', kind=reply.prefix)

    def _is_heard(self, name: str) -> bool:
        return self._parts.clock.now() - self._seen[name].at < SILENT_S

    def _note_silent(self) -> None:
        self._forget_dead()
        for name, seen in self._seen.items():
            if not seen.is_silent and not self._is_heard(name):
                seen.is_silent = True
                silent_s = self._parts.clock.now() - seen.at
                self._tell(name, 'silent', silent_s)

    def _forget_dead(self) -> None:
        """Drop peers that have been silent for long; they may be replaced."""
        limit = self._parts.clock.now() - _FORGOTTEN_S
        dead = [name for name, seen in self._seen.items() if seen.at < limit]
        for name in dead:
            self._seen.pop(name)
        self._differs_since = {
            difference: since
            for difference, since in self._differs_since.items()
            if difference[0] in self._seen
        }

    def _tell(self, name: str, change: str, silent_s: float) -> None:
        event = PeerChanged(name, change, round(silent_s, 3))
        self._parts.log.write(event)
