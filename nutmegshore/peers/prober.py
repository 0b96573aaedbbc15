"""Direct and indirect probes of neighbours."""

import random

from nutmegshore.clock import Clock
from nutmegshore.peers.membership import Membership
from nutmegshore.peers.message_router import MessageRouter
from nutmegshore.peers.messages import Ack, Ping, PingRequest, Suspect

__all__ = ('PROBE_INTERVAL_S', 'Prober')

#: Seconds between two probe rounds.
PROBE_INTERVAL_S = 1
#: A round that starts this many seconds late means that this process paused.
_MIN_PAUSE_S = 1
#: Seconds without contact after which indirect probes are requested.
_INDIRECT_PROBE_AFTER_S = 1.5
#: Seconds without contact after which a member is suspected.
_SUSPECT_AFTER_S = 2.5
_INDIRECT_PROBES = 2
#: Seconds for which a member continues to probe a member that it probed on
#: request and that is no neighbour.
_REQUESTED_PROBE_S = 5


class Prober:
    """Probes members and tracks the last contact with each.

    Any message on a member's link, a forwarded ack, and the ack of an
    indirect probe count as contact.
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
        self._requested_until: dict[str, float] = {}
        self._last_round: float | None = None

    def record_contact(self, name: str) -> None:
        """Record contact with a member at the current time."""
        self._last_contact[name] = self._clock.now()

    def contact_age(self, name: str) -> float:
        """Seconds since the last contact, without pauses of this process."""
        now = self._clock.now()
        return now - self._last_contact.setdefault(name, now)

    def handle_ping(self, sender: str, ping: Ping) -> None:
        """Answer a probe."""
        local = self._membership.local.member
        ack = Ack(local.name, local.incarnation, ping.requester)
        self._router.send(sender, ack)

    def handle_ack(self, sender: str, ack: Ack) -> None:
        """Record an ack, and forward that of an indirect probe."""
        self.record_contact(ack.name)
        if ack.requester and ack.requester != self._membership.local_name:
            self._router.send(ack.requester, Ack(ack.name, ack.incarnation))

    def handle_probe_request(self, sender: str, request: PingRequest) -> None:
        """Probe a member for the sender, and in the next local rounds."""
        if request.name not in self._membership.live():
            return
        self._requested_until[request.name] = (
            self._clock.now() + _REQUESTED_PROBE_S
        )
        self._router.send(request.name, Ping(sender))

    def detect_pause(self) -> float:
        """Detect a pause of this process and exclude it from all timers.

        A paused process receives nothing, and the acks of that time still
        wait in its queues; counting the pause as lost contact would declare
        all members dead. Returns the length of the pause in seconds.
        """
        now = self._clock.now()
        last = now if self._last_round is None else self._last_round
        self._last_round = now
        pause_s = now - last - PROBE_INTERVAL_S
        if pause_s < _MIN_PAUSE_S:
            return 0
        self._last_contact = {
            name: min(last_at + pause_s, now)
            for name, last_at in self._last_contact.items()
        }
        self._membership.suspicions.exclude_pause(pause_s)
        return pause_s

    def run_round(self) -> list[str]:
        """Probe all targets; returns the members to suspect."""
        suspects = []
        for name in sorted(self._targets()):
            contact_age = self.contact_age(name)
            self._router.send(name, Ping())
            if contact_age > _INDIRECT_PROBE_AFTER_S:
                self._request_indirect_probes(name)
            if contact_age > _SUSPECT_AFTER_S:
                suspects.append(name)
        return suspects

    def make_suspicion(self, name: str) -> Suspect | None:
        """Record a suspicion; its message, or None if none is needed."""
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
        self._requested_until = {
            name: until
            for name, until in self._requested_until.items()
            if until > now
        }
        local = self._membership.local_name
        wanted = set(self._membership.topology.neighbours(local))
        wanted.update(self._router.links, self._requested_until)
        targets = wanted.intersection(self._membership.live()) - {local}
        for stale in set(self._last_contact) - targets:
            self._last_contact.pop(stale)
        return targets

    def _request_indirect_probes(self, name: str) -> None:
        live = self._membership.live()
        proxies = [
            other
            for other in self._router.links
            if other != name and other in live
        ]
        self._rng.shuffle(proxies)
        # One proxy is from a third region if there is one: if the path
        # between the local and the target's region fails in one direction,
        # indirect probes through members of these two fail as well.
        endpoint_regions = {
            self._membership.local.member.region,
            live[name].region,
        }
        proxies.sort(key=lambda other: live[other].region in endpoint_regions)
        chosen = proxies[:1] + proxies[-1:]
        for proxy in sorted(set(chosen))[:_INDIRECT_PROBES]:
            self._router.send(proxy, PingRequest(name))
