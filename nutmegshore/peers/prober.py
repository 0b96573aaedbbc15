"""Probing of neighbours, directly and through helpers."""

import random

from nutmegshore.clock import Clock
from nutmegshore.peers.membership import Membership
from nutmegshore.peers.message_router import MessageRouter
from nutmegshore.peers.messages import Ack, Ping, PingRequest, Suspect

__all__ = ('PROBE_S', 'Prober')

PROBE_S = 1
#: A round that comes this much late says that this process was away.
_PAUSE_S = 1
#: Silence after which helpers are asked.
_HELP_S = 1.5
#: Silence after which a member is suspected.
_SUSPECT_S = 2.5
_HELPERS = 2
#: Seconds for which a helper goes on probing a member that is no neighbour.
_HELP_KEPT_S = 5


class Prober:
    """Knows when each probed member was last heard of.

    Any message on a member's link, its ack by another way, or its ack to a
    helper counts as heard.
    """

    def __init__(
        self,
        membership: Membership,
        router: MessageRouter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Probe nobody yet."""
        self._membership = membership
        self._router = router
        self._clock = clock
        self._rng = rng
        self._last_contact: dict[str, float] = {}
        self._helping: dict[str, float] = {}
        self._last_round: float | None = None

    def record_contact(self, name: str) -> None:
        """Note that a member was heard of just now."""
        self._last_contact[name] = self._clock.now()

    def silence(self, name: str) -> float:
        """Seconds since a member was heard of, own absence left out."""
        now = self._clock.now()
        return now - self._last_contact.setdefault(name, now)

    def handle_ping(self, sender: str, ping: Ping) -> None:
        """Answer a probe."""
        local = self._membership.local.member
        ack = Ack(local.name, local.incarnation, ping.requester)
        self._router.send(sender, ack)

    def handle_ack(self, sender: str, ack: Ack) -> None:
        """Note an answer, and pass it to who asked for help."""
        self.record_contact(ack.name)
        if ack.requester and ack.requester != self._membership.local_name:
            self._router.send(ack.requester, Ack(ack.name, ack.incarnation))

    def handle_probe_request(self, sender: str, request: PingRequest) -> None:
        """Probe a member for another, and from now on for oneself."""
        if request.name not in self._membership.live():
            return
        self._helping[request.name] = self._clock.now() + _HELP_KEPT_S
        self._router.send(request.name, Ping(sender))

    def discount_pause(self) -> float:
        """Leave the time out in which this process was away.

        A paused prober hears nobody, and the answers that came meanwhile
        still wait in its queues; without this it would declare all dead.
        Returns the seconds of absence.
        """
        now = self._clock.now()
        last = now if self._last_round is None else self._last_round
        self._last_round = now
        away = now - last - PROBE_S
        if away < _PAUSE_S:
            return 0
        self._last_contact = {
            name: min(at + away, now) for name, at in self._last_contact.items()
        }
        self._membership.suspicions.discount(away)
        return away

    def run_round(self) -> list[str]:
        """Probe everyone; returns the members to suspect."""
        suspects = []
        for name in sorted(self._targets()):
            silence = self.silence(name)
            self._router.send(name, Ping())
            if silence > _HELP_S:
                self._ask_helpers(name)
            if silence > _SUSPECT_S:
                suspects.append(name)
        return suspects

    def make_suspicion(self, name: str) -> Suspect | None:
        """Message of a new suspicion; None if others need not hear."""
        membership = self._membership
        suspected_by = membership.local_name
        suspicions = membership.suspicions
        is_known = suspicions.has_enough(name)
        is_new = suspicions.add_suspicion(name, suspected_by, self._clock.now())
        if is_known or not is_new:
            return None
        incarnation = membership.by_name[name].member.incarnation
        return Suspect(name, incarnation, suspected_by)

    def _targets(self) -> set[str]:
        now = self._clock.now()
        self._helping = {
            name: until for name, until in self._helping.items() if until > now
        }
        local = self._membership.local_name
        wanted = set(self._membership.topology.neighbours(local))
        wanted.update(self._router.links, self._helping)
        targets = wanted.intersection(self._membership.live()) - {local}
        for gone in set(self._last_contact) - targets:
            self._last_contact.pop(gone)
        return targets

    def _ask_helpers(self, name: str) -> None:
        live = self._membership.live()
        helpers = [
            other
            for other in self._router.links
            if other != name and other in live
        ]
        self._rng.shuffle(helpers)
        # One helper is taken from a third region where there is one: the
        # members of one's own and of the target's region share its fate when
        # the way between the two regions fails in one direction.
        ends = {self._membership.local.member.region, live[name].region}
        helpers.sort(key=lambda other: live[other].region in ends)
        chosen = helpers[:1] + helpers[-1:]
        for helper in sorted(set(chosen))[:_HELPERS]:
            self._router.send(helper, PingRequest(name))
