"""Exchange of load messages with the other entries."""

import math
from collections.abc import Callable, Iterable

from nutmegshore.steering.components import SteeringComponents, free_slots
from nutmegshore.steering.draining import Draining
from nutmegshore.steering.messages import Load, RegionLoad, UpstreamLeaving
from nutmegshore.steering.plan import Plan

__all__ = ('LOAD_INTERVAL_S', 'LoadReporter', 'count_rounds')

#: Time between two rounds, and between two messages of a small cluster.
LOAD_INTERVAL_S = 0.25
#: Up to this many members every pair is linked and hears each message.
#: Above it the links flood what goes to a region: 739 messages/s per member
#: at 60 members.
_ALL_TOLD_MEMBERS = 16
#: Members above the bound that add one round to the time between messages;
#: the member that sums up its region then hears at most 128 a second.
_MEMBERS_PER_ROUND = 32
#: Rounds between two summaries of a region in a large cluster: half of the
#: time for which a summary counts.
_SUMMARY_ROUNDS = 4


def count_rounds(members: int) -> int:
    """Rounds from one load message to the next in a cluster of this size."""
    if members <= _ALL_TOLD_MEMBERS:
        return 1
    return max(math.ceil(members / _MEMBERS_PER_ROUND), 1)


class LoadReporter:
    """Sends this entry's load and takes that of its peers.

    `on_load` is called after each message that can free a slot.
    """

    def __init__(
        self,
        components: SteeringComponents,
        draining: Draining,
        on_load: Callable[[], None],
    ) -> None:
        """Subscribe to the peers' messages."""
        self._components = components
        self._draining = draining
        self._on_load = on_load
        self._remote: set[str] = set()
        self._round = 0
        peers = components.peers
        peers.subscribe(Load, self._take_load)
        peers.subscribe(RegionLoad, self._handle_region)
        peers.subscribe(UpstreamLeaving, self._take_leaving)

    def send(self, plan: Plan, queued: dict[str, int]) -> None:
        """Send what is due in one round."""
        components = self._components
        members = len(components.peers.live())
        is_small = members <= _ALL_TOLD_MEMBERS
        rounds = count_rounds(members)
        near = components.members_of(plan.region)
        components.estimate.drop_old(rounds * LOAD_INTERVAL_S)
        components.slots.forget(near)
        components.budget.roll()
        if self._round % rounds == 0:
            self._send_load(is_small=is_small)
        is_due = is_small or self._round % _SUMMARY_ROUNDS == 0
        if is_due and min(near, default='') == _own_name(components):
            self._send_room(plan, queued)
        self._round += 1
        self.announce_leaving()

    def announce_leaving(self) -> None:
        """Tell all entries of the upstreams that were found to leave."""
        for name in self._components.leaving.pop_unannounced():
            self._components.peers.broadcast(UpstreamLeaving(name))

    def _send_load(self, *, is_small: bool) -> None:
        components = self._components
        in_flight = components.estimate.own.items()
        load = Load(
            {name: count for name, count in in_flight if count},
            components.budget.requests,
            components.budget.retries,
            self._draining.moved(),
            components.slots.borrowed_from(),
        )
        if is_small:
            components.peers.send_region(load)
        else:
            for name in self._concerned(load):
                components.peers.send(name, load)
        self._send_remote(load, is_small=is_small)

    def _concerned(self, load: Load) -> Iterable[str]:
        """Who hears this entry in a large region.

        Neighbours check retries and drains against a sample of the region,
        lenders correct their loans, and the lowest name sums up the region.
        """
        components = self._components
        near = components.members_of(components.peers.local.region)
        wanted = {
            *components.peers.neighbours(),
            *load.borrowed,
            min(near, default=''),
        }
        return sorted(wanted & set(near) - {_own_name(components)})

    def _send_remote(self, load: Load, *, is_small: bool) -> None:
        """Tell a region what this entry runs there, and once when it ends."""
        used = {
            region
            for (_, region), count in self._components.rooms.in_flight.items()
            if count
        }
        for region in sorted(used | self._remote):
            names = sorted(self._components.members_of(region))
            for name in names if is_small else names[:1]:
                self._components.peers.send(name, load)
        self._remote = used

    def _send_room(self, plan: Plan, queued: dict[str, int]) -> None:
        components = self._components
        members = len(components.members_of(plan.region))
        room = {
            service: -queued.get(service, 0) * members
            for service in plan.services
        }
        for service, choices in plan.choices.items():
            for choice in choices:
                if choice.region == plan.region:
                    room[service] += free_slots(components, choice.upstreams)
        regions = {one.region for one in components.peers.live().values()}
        for region in sorted(regions - {plan.region}):
            components.peers.send_region(RegionLoad(room), region)

    def _take_load(self, sender: str, load: Load) -> None:
        self._components.estimate.record_peer(sender, load.in_flight)
        local = self._components.peers.local
        if sender in self._components.members_of(local.region):
            self._components.budget.record_peer(
                sender, load.requests, load.retries
            )
            self._draining.catch_up(load.drained)
            lent = load.borrowed.get(_own_name(self._components), {})
            self._components.slots.correct(sender, lent)
        self._on_load()

    def _handle_region(self, sender: str, summary: RegionLoad) -> None:
        member = self._components.peers.live().get(sender)
        if member is not None:
            self._components.rooms.record(member.region, summary.room)
            self._on_load()

    def _take_leaving(self, sender: str, leaving: UpstreamLeaving) -> None:
        if self._components.leaving.record(leaving.name, is_own_finding=False):
            self._components.counters.add('upstreams_leaving', source='peer')


def _own_name(components: SteeringComponents) -> str:
    return components.peers.local.name
