"""What gateways tell each other: load, readiness and newer state."""

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
from nutmegshore.store import Listing, StoredObject

__all__ = ('Peering', 'PeeringParts')

#: Seconds between two reports of a gateway.
REPORT_S = 0.25
#: Seconds without a report after which a gateway is not named to callers.
SILENT_S = 1.5
#: Members up to which reports go to all; beyond, to those of the region.
_ALL_MEMBERS = 16
#: Seconds for which a peer may know of a newer change before the store is
#: asked again; a watch delivers within milliseconds.
_BEHIND_S = 0.4
#: Seconds between questions to peers while the store does not answer.
_QUESTION_S = 0.4


@attrs.define
class _Seen:
    """The last report of a peer and when it came."""

    at: float
    is_ready: bool
    is_silent: bool = False


@attrs.define
class _Behind:
    """Since when a peer knows of a newer change, and which was checked."""

    since: float | None = None
    checked: int = 0


@attrs.frozen
class PeeringParts:
    """What the peering of one gateway takes from outside."""

    peers: Peers
    balancer: Balancer
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class Peering:
    """Exchanges reports with the other gateways.

    A report carries the requests in flight, readiness, and how far the state
    goes. A gateway that sees a peer ahead asks the store again; one that the
    store does not answer asks a peer for the objects themselves.
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
        self._behind = {prefix: _Behind() for prefix in self._followers}
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
            self._ask()
            await self._parts.clock.sleep(REPORT_S)

    def report(self) -> None:
        """Send one report now."""
        marks = {
            prefix: follower.mark
            for prefix, follower in self._followers.items()
        }
        counts = self._load.own_counts()
        body = LoadReport(self.is_ready, counts, marks)
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
        for prefix, mark in report.marks.items():
            self._compare(prefix, mark)

    def _compare(self, prefix: str, mark: int) -> None:
        """Ask the store again where a peer has been ahead for a while."""
        follower = self._followers.get(prefix)
        behind = self._behind.get(prefix)
        if follower is None:
            return
        if mark <= max(follower.mark, behind.checked):
            return
        now = self._parts.clock.now()
        if behind.since is None:
            behind.since = now
        elif now - behind.since > _BEHIND_S:
            behind.since = None
            behind.checked = mark
            if follower.is_in_touch:
                self._parts.counters.add('store_refreshes', kind=prefix)
                follower.refresh()

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
        if follower.position <= question.mark:
            return
        listed = [
            [stored.key, stored.body, stored.uid, stored.version]
            for stored in follower.by_key.values()
        ]
        reply = StateReply(
            question.prefix,
            follower.mark,
            follower.position,
            listed,
        )
        self._parts.peers.send(sender, reply)

    def _take_reply(self, sender: str, reply: StateReply) -> None:
        follower = self._followers.get(reply.prefix)
        if follower is None:
            return
        listed = tuple(
            StoredObject(key, body, uid, version, '')
            for key, body, uid, version in reply.listed
        )
        if follower.adopt(Listing(reply.position, listed), reply.mark):
            self._parts.counters.add('state_adopted', kind=reply.prefix)

    def _is_heard(self, name: str) -> bool:
        return self._parts.clock.now() - self._seen[name].at < SILENT_S

    def _note_silent(self) -> None:
        for name, seen in self._seen.items():
            if not seen.is_silent and not self._is_heard(name):
                seen.is_silent = True
                silent_s = self._parts.clock.now() - seen.at
                self._tell(name, 'silent', silent_s)

    def _tell(self, name: str, change: str, silent_s: float) -> None:
        event = PeerChanged(name, change, round(silent_s, 3))
        self._parts.log.write(event)
