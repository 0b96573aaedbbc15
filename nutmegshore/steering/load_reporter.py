"""Load messages to and from the other entries."""

import math
from collections.abc import Callable, Iterable

from nutmegshore.steering.components import SteeringComponents, free_slots
from nutmegshore.steering.draining import Draining
from nutmegshore.steering.messages import Load, RegionLoad, UpstreamLeaving
from nutmegshore.steering.plan import Plan

__all__ = ('LOAD_INTERVAL_S', 'LoadReporter', 'count_rounds')

#: Time between two rounds, and between two messages of a small cluster.
LOAD_INTERVAL_S = 0.25
#: Largest cluster in which every pair of members is linked and every member
#: receives each load message. Above it, messages to a region are flooded over
#: the links: 739 messages/s per member at 60 members.
_FULL_BROADCAST_MEMBERS = 16
#: In a larger cluster, the number of members per round between two messages;
#: the member that summarises its region then receives at most 128 a second.
_MEMBERS_PER_ROUND = 32
#: Rounds between two summaries of a region in a large cluster: half of the
#: time for which a summary is valid.
_SUMMARY_ROUNDS = 4


def count_rounds(members: int) -> int:
    """Rounds between two load messages in a cluster of this size."""
    if members <= _FULL_BROADCAST_MEMBERS:
        return 1
    return max(math.ceil(members / _MEMBERS_PER_ROUND), 1)


class LoadReporter:
    """Sends this entry's load to its peers and records theirs.

    `on_load` is called after each received message that can free a slot.
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
        self._reported_regions: set[str] = set()
        self._round = 0
        peers = components.peers
        peers.subscribe(Load, self._handle_load)
        peers.subscribe(RegionLoad, self._handle_region)
        peers.subscribe(UpstreamLeaving, self._handle_leaving)

    def send(self, plan: Plan, queued: dict[str, int]) -> None:
        """Send the messages that are due in this round.

        `queued` gives the number of waiting requests by service.
        """
        components = self._components
        members = len(components.peers.live())
        is_small = members <= _FULL_BROADCAST_MEMBERS
        rounds = count_rounds(members)
        local_members = components.members_of(plan.region)
        components.estimate.drop_old(rounds * LOAD_INTERVAL_S)
        components.slots.forget(local_members)
        components.budget.roll()
        if self._round % rounds == 0:
            self._send_load(is_small=is_small)
        is_due = is_small or self._round % _SUMMARY_ROUNDS == 0
        if is_due and min(local_members, default='') == _local_name(components):
            self._send_summary(plan, queued)
        self._round += 1
        self.announce_leaving()

    def announce_leaving(self) -> None:
        """Broadcast the leaving upstreams that this entry found."""
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
            for name in self._recipients(load):
                components.peers.send(name, load)
        self._send_remote(load, is_small=is_small)

    def _recipients(self, load: Load) -> Iterable[str]:
        """Peers that get the load of this entry in a large region.

        Neighbours check retries and drains against a sample of the region,
        lenders correct their loans, and the member with the lowest name
        summarises the region.
        """
        components = self._components
        local_members = components.members_of(components.peers.local.region)
        recipients = {
            *components.peers.neighbours(),
            *load.borrowed,
            min(local_members, default=''),
        }
        return sorted(
            recipients & set(local_members) - {_local_name(components)}
        )

    def _send_remote(self, load: Load, *, is_small: bool) -> None:
        """Report the load in other regions to them, and once its end."""
        used = {
            region
            for (_, region), busy in self._components.capacity.in_flight.items()
            if busy
        }
        for region in sorted(used | self._reported_regions):
            names = sorted(self._components.members_of(region))
            for name in names if is_small else names[:1]:
                self._components.peers.send(name, load)
        self._reported_regions = used

    def _send_summary(self, plan: Plan, queued: dict[str, int]) -> None:
        components = self._components
        members = len(components.members_of(plan.region))
        free_by_service = {
            service: -queued.get(service, 0) * members
            for service in plan.services
        }
        for service, choices in plan.choices.items():
            for choice in choices:
                if choice.region == plan.region:
                    free_by_service[service] += free_slots(
                        components, choice.upstreams
                    )
        regions = {one.region for one in components.peers.live().values()}
        for region in sorted(regions - {plan.region}):
            components.peers.send_region(RegionLoad(free_by_service), region)

    def _handle_load(self, sender: str, load: Load) -> None:
        self._components.estimate.record_peer(sender, load.in_flight)
        local = self._components.peers.local
        if sender in self._components.members_of(local.region):
            self._components.budget.record_peer(
                sender, load.requests, load.retries
            )
            self._draining.catch_up(load.moved_by_drain)
            lent = load.borrowed.get(_local_name(self._components), {})
            self._components.slots.correct(sender, lent)
        self._on_load()

    def _handle_region(self, sender: str, summary: RegionLoad) -> None:
        member = self._components.peers.live().get(sender)
        if member is not None:
            self._components.capacity.record(
                member.region, summary.free_by_service
            )
            self._on_load()

    def _handle_leaving(self, sender: str, leaving: UpstreamLeaving) -> None:
        if self._components.leaving.record(leaving.name, is_local=False):
            self._components.counters.add('upstreams_leaving', source='peer')


def _local_name(components: SteeringComponents) -> str:
    return components.peers.local.name
