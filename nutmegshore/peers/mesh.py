"""The `Peers` of a deployed entry: links, membership and forwarding."""

import functools
import random
from collections.abc import Iterable
from typing import Any

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.peers import messages
from nutmegshore.peers.base import Member, Peers
from nutmegshore.peers.codec import decode
from nutmegshore.peers.components import MeshComponents, MeshOptions
from nutmegshore.peers.gossip import MembershipGossip
from nutmegshore.peers.link import Transport
from nutmegshore.peers.link_manager import LinkManager
from nutmegshore.peers.membership import MemberRecord, State
from nutmegshore.peers.message_failures import GuardedDelivery
from nutmegshore.peers.prober import PROBE_INTERVAL_S
from nutmegshore.peers.seeds import SeedReader, SeedSource

__all__ = ('MeshPeers',)


class MeshPeers(Peers):
    """Links to other members, and the membership gossiped over them.

    peers = MeshPeers(local, transport, options, seeds, (clock, rng, counters))
    peers.start()
    ...
    peers.leave()
    await peers.stop()

    `leave` announces that this member will stop, and keeps its links open;
    `stop` announces that it is gone. `local.incarnation` comes from
    `first_incarnation` and rises while the process lives.
    """

    def __init__(
        self,
        local: Member,
        transport: Transport,
        options: MeshOptions,
        seeds: SeedSource,
        dependencies: tuple[Clock, random.Random, Counters],
    ) -> None:
        """Build the components; no task runs before `start`."""
        super().__init__(local)
        record = MemberRecord(local, transport.address)
        self.components = MeshComponents(
            record, options.full_mesh, *dependencies
        )
        self.membership = self.components.membership
        self._gossip = MembershipGossip(
            self.components, functools.partial(setattr, self, 'local')
        )
        self._seed_reader = SeedReader(
            self.components, seeds, options.size_hint
        )
        self._link_manager = LinkManager(
            self.components,
            transport,
            options,
            self._gossip.send_full_state,
            GuardedDelivery(self.deliver, self.components.counters),
        )
        self._subscribe_handlers()

    def start(self) -> None:
        """Start to accept links, dial and probe."""
        tasks = self.components.tasks
        tasks.spawn(self._seed_reader.run())
        tasks.spawn(self._link_manager.run())
        tasks.spawn(self._run_probes())

    def leave(self) -> None:
        """Announce that this member accepts no new work."""
        self.membership.change_state(self.local.name, State.LEAVING)
        self._gossip.announce(self.local.name)

    async def stop(self) -> None:
        """Announce that this member is gone, and end all tasks."""
        self.membership.change_state(self.local.name, State.DEAD)
        last = self.membership.local.to_fields()
        self.components.router.send_direct(messages.MembershipUpdate([last]))
        await self._link_manager.stop()
        await self.components.tasks.stop()

    def live(self) -> dict[str, Member]:
        """Live members by name, the local one included."""
        return self.membership.live()

    def serving(self) -> dict[str, Member]:
        """Live members that accept new work, by name."""
        return self.membership.serving()

    def neighbours(self) -> list[str]:
        """Names of the members with an open link."""
        return sorted(self.components.router.links)

    def aggregators(self, region: str = '') -> tuple[str, ...]:
        """Members that collect a region's reports, by default the local one."""
        topology = self.membership.topology
        return topology.aggregators(region or self.local.region)

    @property
    def is_settled(self) -> bool:
        """Whether the seeds were read and every known member dialled once."""
        return self._seed_reader.has_read and self.components.dialler.is_settled

    def send(self, name: str, body: Any) -> bool:
        """Queue a message for one member; False if it is unreachable."""
        return self.components.router.send(name, body)

    def send_each(self, names: Iterable[str], body: Any) -> None:
        """Send a message to several members, encoded once."""
        others = [name for name in names if name != self.local.name]
        self.components.router.send_each(others, body)

    def broadcast(self, body: Any) -> None:
        """Send a message to every other live member."""
        self.components.router.broadcast(body)

    def send_region(self, body: Any, region: str = '') -> None:
        """Send to the other live members of a region, by default the local."""
        self.components.router.send_region(region or self.local.region, body)

    def _subscribe_handlers(self) -> None:
        prober = self.components.prober
        self.subscribe(messages.MembershipUpdate, self._gossip.handle_update)
        self.subscribe(messages.Suspect, self._gossip.handle_suspicion)
        self.subscribe(messages.Relay, self._handle_relay)
        self.subscribe(messages.Ping, prober.handle_ping)
        self.subscribe(messages.Ack, prober.handle_ack)
        self.subscribe(messages.PingRequest, prober.handle_probe_request)

    async def _run_probes(self) -> None:
        prober = self.components.prober
        await self.components.clock.sleep(
            PROBE_INTERVAL_S * self.components.rng.random()
        )
        while True:
            self._link_manager.activity.exclude_pause(prober.detect_pause())
            for name in prober.run_round():
                self._gossip.suspect(name)
            self._link_manager.prune_links()
            self._gossip.declare_deaths()
            await self.components.clock.sleep(PROBE_INTERVAL_S)

    def _handle_relay(self, sender: str, relay: messages.Relay) -> None:
        if not self.components.router.handle_relay(sender, relay):
            return
        body = decode(relay.frame)
        if body is not None and not isinstance(body, messages.Relay):
            self.deliver(relay.origin, body)
