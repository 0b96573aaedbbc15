"""Links in memory for sessions on virtual time."""

import asyncio
from typing import Any

from nutmegshore.clock import VirtualClock
from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.base import Member
from nutmegshore.peers.codec import MAX_FRAME_BYTES, decode
from nutmegshore.peers.link import (
    HELLO_BYTES,
    Accept,
    Link,
    Transport,
)
from nutmegshore.peers.paths import MemoryPaths

__all__ = ('LinkNetwork', 'MemoryLink', 'MemoryTransport')


class LinkNetwork(MemoryPaths):
    """Connects `MemoryTransport`s, with delays, bytes/s and partitions.

    A frame that is sent during a cut is lost, and so are all later frames on
    that link in that direction, as on a TCP connection that gives up.
    """

    def __init__(self) -> None:
        """Start without members, delays and cuts."""
        super().__init__()
        self.by_address: dict[str, 'MemoryTransport'] = {}
        self.bytes_per_s = float('inf')

    def join(self, local: Member, clock: VirtualClock) -> 'MemoryTransport':
        """Add a member at the address of its name."""
        transport = MemoryTransport(self, local, clock)
        self.by_address[local.name] = transport
        return transport

    def kill(self, name: str) -> None:
        """Crash a member without notice; messages to it are lost."""
        transport = self.by_address.pop(name, None)
        if transport is not None:
            transport.is_killed = True


class MemoryLink(Link):
    """One end of a link in memory."""

    def __init__(self, owner: 'MemoryTransport') -> None:
        """Belong to a member; `join` connects the other end."""
        super().__init__()
        self.owner = owner
        self.other: 'MemoryLink | None' = None
        self.is_broken = False
        self._received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_sending = False

    def join(self, other: 'MemoryLink') -> None:
        """Connect both ends."""
        self.other = other
        other.other = self

    def write_queue(self) -> None:
        """Send queued messages, one after the other at the network's rate."""
        while self.queue and not self._is_sending:
            frame = self.pop_frame()
            if not frame:
                break
            self.owner.network.count(self.owner.local.name, len(frame))
            left_s = len(frame) / self.owner.network.bytes_per_s
            self._carry(frame, left_s)
            self._is_sending = left_s > 0
            if self._is_sending:
                asyncio.get_running_loop().call_later(left_s, self._go_on)
        if self.is_closed and not self._is_sending:
            self._carry(None)

    def abort(self) -> None:
        """Close the stream; what is queued arrives before its end."""
        self.close(ErrorKind.LINK_CLOSED)

    async def read(self) -> Any:
        """Next message; None for an unknown type, `LinkError` at the end."""
        frame = await self._received.get()
        if self.owner.clock.is_paused:
            await self.owner.clock.gate()
        if frame is None or self.is_closed or self.owner.is_killed:
            self.is_closed = True
            raise LinkError(ErrorKind.LINK_CLOSED)
        limit = MAX_FRAME_BYTES if self.is_proven else HELLO_BYTES
        if len(frame) > limit:
            raise LinkError(ErrorKind.FRAME_TOO_LARGE)
        return decode(frame)

    def close(self, reason: ErrorKind | None = None) -> None:
        """Close the stream after the queued frames; idempotent."""
        if self.is_closed:
            return
        self.is_closed = True
        self.close_reason = reason
        if not self._is_sending:
            self.write_queue()
        self._received.put_nowait(None)

    def receive(self, frame: bytes | None) -> None:
        """Queue a frame from the other end; None ends the stream."""
        self._received.put_nowait(frame)

    def _go_on(self) -> None:
        self._is_sending = False
        self.write_queue()

    def _carry(self, frame: bytes | None, left_s: float = 0) -> None:
        """Deliver a frame that has left the member after `left_s` seconds."""
        if self.owner.is_killed:
            return
        other = self.other
        network = self.owner.network
        ends = (self.owner.local, other.owner.local)
        if self.is_broken or network.is_cut(*ends) or other.owner.is_killed:
            self.is_broken = True
            return
        asyncio.get_running_loop().call_later(
            left_s + network.delay_from(*ends),
            other.receive,
            frame,
        )


class MemoryTransport(Transport):
    """One member's transport in a `LinkNetwork`."""

    def __init__(
        self,
        network: LinkNetwork,
        local: Member,
        clock: VirtualClock,
    ) -> None:
        """Listen at the address that is the member's name."""
        self.network = network
        self.local = local
        self.clock = clock
        self.address = local.name
        self.is_killed = False
        self._accept: Accept | None = None

    def listen(self, accept: Accept) -> None:
        """Call `accept` with each link that another member opens."""
        self._accept = accept

    async def dial(self, address: str) -> Link:
        """Open a link, or raise `LinkError`."""
        target = self.network.by_address.get(address)
        if target is None or self._is_unreachable(target):
            await self.clock.sleep(DIAL_TIMEOUT_S)
            raise LinkError(ErrorKind.LINK_CLOSED, address)
        delay = self.network.delay_from(self.local, target.local)
        await self.clock.sleep(2 * delay)
        near, far = MemoryLink(self), MemoryLink(target)
        near.join(far)
        target.accept(far)
        return near

    def accept(self, link: Link) -> None:
        """Accept a link that another member opens."""
        if self._accept is None or self.is_killed:
            link.close()
            return
        self._accept(link)

    async def stop(self) -> None:
        """Accept no more links."""
        self._accept = None
        self.network.by_address.pop(self.address, None)

    def _is_unreachable(self, target: 'MemoryTransport') -> bool:
        network = self.network
        is_cut_forward = network.is_cut(self.local, target.local)
        return is_cut_forward or network.is_cut(target.local, self.local)


#: Seconds until an unanswered connection attempt fails.
DIAL_TIMEOUT_S = 1
