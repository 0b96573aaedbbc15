"""Exchange of load messages with the other entries."""

from collections.abc import Callable

from nutmegshore.steering.draining import Draining
from nutmegshore.steering.messages import Load, RegionLoad, UpstreamLeaving
from nutmegshore.steering.parts import Parts, free_slots
from nutmegshore.steering.plan import Plan

__all__ = ('LoadExchange',)


class LoadExchange:
    """Sends this entry's load and takes that of its peers.

    `on_load` is called after each message that can free a slot.
    """

    def __init__(
        self,
        parts: Parts,
        draining: Draining,
        on_load: Callable[[], None],
    ) -> None:
        """Subscribe to the peers' messages."""
        self._parts = parts
        self._draining = draining
        self._on_load = on_load
        self._remote: set[str] = set()
        peers = parts.peers
        peers.subscribe(Load, self._take_load)
        peers.subscribe(RegionLoad, self._take_region)
        peers.subscribe(UpstreamLeaving, self._take_leaving)

    def send(self, plan: Plan, queued: dict[str, int]) -> None:
        """Send one round of messages."""
        parts = self._parts
        parts.estimate.drop_old()
        parts.slots.forget(parts.members_of(plan.region))
        parts.budget.roll()
        load = Load(
            {
                name: count
                for name, count in parts.estimate.own.items()
                if count
            },
            parts.budget.requests,
            parts.budget.retries,
            self._draining.moved(),
            parts.slots.borrowed_from(),
        )
        parts.peers.send_region(load)
        self._send_remote(load)
        if min(parts.members_of(plan.region), default='') == _own_name(parts):
            self._send_room(plan, queued)
        self.tell_leaving()

    def tell_leaving(self) -> None:
        """Tell all entries of the upstreams that were found to leave."""
        for name in self._parts.leaving.take_untold():
            self._parts.peers.broadcast(UpstreamLeaving(name))

    def _send_remote(self, load: Load) -> None:
        """Tell a region what this entry runs there, and once when it ends."""
        used = {
            region
            for (_, region), count in self._parts.rooms.in_flight.items()
            if count
        }
        for region in sorted(used | self._remote):
            for name in sorted(self._parts.members_of(region)):
                self._parts.peers.send(name, load)
        self._remote = used

    def _send_room(self, plan: Plan, queued: dict[str, int]) -> None:
        members = len(self._parts.members_of(plan.region))
        room = {
            service: -queued.get(service, 0) * members
            for service in plan.services
        }
        for service, choices in plan.choices.items():
            for choice in choices:
                if choice.region == plan.region:
                    room[service] += free_slots(self._parts, choice.upstreams)
        for name, member in sorted(self._parts.peers.live().items()):
            if member.region != plan.region:
                self._parts.peers.send(name, RegionLoad(room))

    def _take_load(self, sender: str, load: Load) -> None:
        self._parts.estimate.note_peer(sender, load.in_flight)
        local = self._parts.peers.local
        if sender in self._parts.members_of(local.region):
            self._parts.budget.note_peer(sender, load.requests, load.retries)
            self._draining.catch_up(load.drained)
            lent = load.borrowed.get(_own_name(self._parts), {})
            self._parts.slots.correct(sender, lent)
        self._on_load()

    def _take_region(self, sender: str, summary: RegionLoad) -> None:
        member = self._parts.peers.live().get(sender)
        if member is not None:
            self._parts.rooms.note(member.region, summary.room)
            self._on_load()

    def _take_leaving(self, sender: str, leaving: UpstreamLeaving) -> None:
        if self._parts.leaving.note(leaving.name, is_own_finding=False):
            self._parts.counters.add('upstreams_leaving', source='peer')


def _own_name(parts: Parts) -> str:
    return parts.peers.local.name
