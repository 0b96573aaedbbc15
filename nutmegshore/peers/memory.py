"""A network in memory that connects the entries of a session."""

import asyncio
from collections.abc import Iterable
from typing import Any

from nutmegshore.clock import VirtualClock
from nutmegshore.peers.base import Member, Peers
from nutmegshore.peers.codec import decode, encode
from nutmegshore.peers.compression import compress_frame
from nutmegshore.peers.paths import MemoryPaths
from nutmegshore.peers.topology import FULL_MESH_MEMBERS, Topology

__all__ = ('MemoryNetwork', 'MemoryPeers')


class MemoryNetwork(MemoryPaths):
    """Carries encoded messages between `MemoryPeers` on virtual time.

    Messages to a paused member are delivered when it resumes; those to a
    member that left are lost. Those that a member sends share its link, one
    after the other.
    """

    def __init__(self, full_mesh: int = FULL_MESH_MEMBERS) -> None:
        """Start with no members and no delay.

        Above `full_mesh` members the regions have aggregators.
        """
        super().__init__()
        self.by_name: dict[str, 'MemoryPeers'] = {}
        self._full_mesh = full_mesh
        self._topology: Topology | None = None
        self._rates: dict[str, float] = {}
        self._free_at_s: dict[str, float] = {}

    def join(self, local: Member, clock: VirtualClock) -> 'MemoryPeers':
        """Add a member, in place of an earlier one of the same name."""
        peers = MemoryPeers(self, local, clock)
        self.by_name[local.name] = peers
        self._topology = None
        return peers

    def leave(self, name: str) -> None:
        """Remove a member; messages in flight to it are lost."""
        self.by_name.pop(name, None)
        self._topology = None

    @property
    def topology(self) -> Topology:
        """Topology of the members."""
        if self._topology is None:
            members = [peers.local for peers in self.by_name.values()]
            self._topology = Topology(members, self._full_mesh)
        return self._topology

    def set_rate(self, name: str, bytes_per_s: float) -> None:
        """Set the rate of a member's link; by default it is unlimited."""
        self._rates[name] = bytes_per_s

    def queue_s(self, name: str) -> float:
        """Seconds for which what a member sends now waits at its link."""
        free_at_s = self._free_at_s.get(name, 0)
        return max(free_at_s - asyncio.get_running_loop().time(), 0)

    def carry(self, source: Member, name: str, frame: bytes) -> None:
        """Deliver a frame after its link and the delay between the regions."""
        self.count(source.name, len(frame))
        target = self.by_name.get(name)
        if target is None or self.is_cut(source, target.local):
            return
        delay = self.delay_from(source, target.local)
        delay += self._pass_link(source.name, len(frame))
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._arrive, source, target, frame)

    def _pass_link(self, name: str, size: int) -> float:
        """Return the seconds until a frame has left its sender's link."""
        if name not in self._rates:
            return 0
        left_s = self.queue_s(name) + size / self._rates[name]
        now = asyncio.get_running_loop().time()
        self._free_at_s[name] = now + left_s
        return left_s

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
        topology = self._network.topology
        return topology.aggregators(region or self.local.region)

    def send(self, name: str, body: Any) -> bool:
        """Send over the network; False if the member is not in it."""
        self._network.carry(self.local, name, compress_frame(encode(body)))
        return name in self._network.by_name

    def send_each(self, names: Iterable[str], body: Any) -> None:
        """Send to several members, encoded once."""
        frame = compress_frame(encode(body))
        for name in names:
            if name != self.local.name:
                self._network.carry(self.local, name, frame)

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
