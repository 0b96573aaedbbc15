"""A network in memory that joins the entries of a session."""

import asyncio
import itertools
from typing import Any

from nutmegshore.clock import VirtualClock
from nutmegshore.peers.base import Member, Peers
from nutmegshore.peers.codec import decode, encode

__all__ = ('MemoryNetwork', 'MemoryPeers')


class MemoryNetwork:
    """Carries encoded messages between `MemoryPeers` on virtual time.

    Delays are set between regions; `cut` stops one direction between two
    members, regions or both ways with `partition`. Messages to a member that
    is paused wait until it wakes; those to a dead one are lost. `sent_bytes`
    and `sent_messages` count by sender.
    """

    def __init__(self) -> None:
        """Start with no members and no delay."""
        self.by_name: dict[str, 'MemoryPeers'] = {}
        self.sent_bytes: dict[str, int] = {}
        self.sent_messages: dict[str, int] = {}
        self._delays_s: dict[tuple[str, str], float] = {}
        self._cuts: set[tuple[str, str]] = set()

    def join(self, local: Member, clock: VirtualClock) -> 'MemoryPeers':
        """Add a member, in place of an earlier one of the same name."""
        peers = MemoryPeers(self, local, clock)
        self.by_name[local.name] = peers
        return peers

    def leave(self, name: str) -> None:
        """Take a member out; what is under way to it is lost."""
        self.by_name.pop(name, None)

    def set_delay(self, one: str, other: str, seconds: float) -> None:
        """Set the one-way delay between two regions, both ways."""
        self._delays_s[one, other] = seconds
        self._delays_s[other, one] = seconds

    def cut(self, source: str, target: str) -> None:
        """Lose what a member or region sends to another, in one direction."""
        self._cuts.add((source, target))

    def partition(self, one: str, other: str) -> None:
        """Cut both directions between two members or regions."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Undo all cuts."""
        self._cuts.clear()

    def is_cut(self, source: Member, target: Member) -> bool:
        """Whether messages from the source to the target are lost now."""
        ends = itertools.product(
            (source.name, source.region),
            (target.name, target.region),
        )
        return not self._cuts.isdisjoint(ends)

    def carry(self, source: Member, name: str, frame: bytes) -> None:
        """Deliver a frame after the delay between the two regions."""
        sender = source.name
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(frame)
        self.sent_messages[sender] = self.sent_messages.get(sender, 0) + 1
        target = self.by_name.get(name)
        if target is None or self.is_cut(source, target.local):
            return
        regions = (source.region, target.local.region)
        delay = self._delays_s.get(regions, 0)
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

    `live` is settable, since membership is the matter of another part; it
    starts as everyone who has joined the network.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        local: Member,
        clock: VirtualClock,
    ) -> None:
        """Belong to a network and to a process with a clock."""
        super().__init__(local)
        self._network = network
        self._clock = clock
        self._held: list[tuple[str, bytes]] = []

    def live(self) -> dict[str, Member]:
        """Everyone who is in the network now, by name."""
        return {
            name: peers.local for name, peers in self._network.by_name.items()
        }

    def send(self, name: str, body: Any) -> bool:
        """Send over the network; False if the member is not in it."""
        self._network.carry(self.local, name, encode(body))
        return name in self._network.by_name

    def receive(self, sender: str, frame: bytes) -> None:
        """Take a frame, or hold it while the process is paused."""
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
