"""A network in memory that connects the entries of a session."""

import asyncio
from typing import Any

from nutmegshore.clock import VirtualClock
from nutmegshore.peers.base import Member, Peers
from nutmegshore.peers.codec import decode, encode
from nutmegshore.peers.paths import MemoryPaths
from nutmegshore.peers.topology import FULL_MESH_MEMBERS, Topology

__all__ = ('MemoryNetwork', 'MemoryPeers')


class MemoryNetwork(MemoryPaths):
    """Carries encoded messages between `MemoryPeers` on virtual time.

    Messages to a paused member are delivered when it resumes; those to a
    member that left are lost.
    """

    def __init__(self, full_mesh: int = FULL_MESH_MEMBERS) -> None:
        """Start with no members and no delay.

        Above `full_mesh` members the regions have aggregators.
        """
        super().__init__()
        self.full_mesh = full_mesh
        self.by_name: dict[str, 'MemoryPeers'] = {}

    def join(self, local: Member, clock: VirtualClock) -> 'MemoryPeers':
        """Add a member, in place of an earlier one of the same name."""
        peers = MemoryPeers(self, local, clock)
        self.by_name[local.name] = peers
        return peers

    def leave(self, name: str) -> None:
        """Remove a member; messages in flight to it are lost."""
        self.by_name.pop(name, None)

    def carry(self, source: Member, name: str, frame: bytes) -> None:
        """Deliver a frame after the delay between the two regions."""
        self.count(source.name, len(frame))
        target = self.by_name.get(name)
        if target is None or self.is_cut(source, target.local):
            return
        delay = self.delay_from(source, target.local)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._arrive, source, target, frame)

    def _arrive(
        self,
        source: Member,
        target: 'MemoryPeers',
        frame: bytes,
    ) -> None:
        if self.by_name.get(target.local.name) is not target:
            return
        target.receive(source.name, frame)


class MemoryPeers(Peers):
    """One member's end of a `MemoryNetwork`.

    `live` is every member in the network: there is no probing.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        local: Member,
        clock: VirtualClock,
    ) -> None:
        """Attach to a network; its clock shows pauses of the process."""
        super().__init__(local)
        self._network = network
        self._clock = clock
        self._held: list[tuple[str, bytes]] = []

    def live(self) -> dict[str, Member]:
        """Members currently in the network, by name."""
        return {
            name: peers.local for name, peers in self._network.by_name.items()
        }

    def aggregators(self, region: str = '') -> tuple[str, ...]:
        """Members that collect a region's reports, by default the local one."""
        topology = Topology(self.live().values(), self._network.full_mesh)
        return topology.aggregators(region or self.local.region)

    def send(self, name: str, body: Any) -> bool:
        """Send over the network; False if the member is not in it."""
        self._network.carry(self.local, name, encode(body))
        return name in self._network.by_name

    def receive(self, sender: str, frame: bytes) -> None:
        """Deliver a frame, or queue it while the process is paused."""
        if not self._clock.is_paused:
            self.deliver(sender, decode(frame))
            return
        self._held.append((sender, frame))
        if len(self._held) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(self._clock.pause_left_s, self._release)

    def _release(self) -> None:
        held = self._held
        self._held = []
        for sender, frame in held:
            self.receive(sender, frame)
