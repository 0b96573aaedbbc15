"""The links of one member, from the first attempt to the end."""

import contextlib
from collections.abc import Callable
from typing import Any

import attrs

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.base import process_of
from nutmegshore.peers.components import MeshComponents, MeshOptions
from nutmegshore.peers.handshake import (
    PROTOCOL_MAJOR,
    VERSION_SCALE,
    shake_hands,
)
from nutmegshore.peers.link import Link, Transport
from nutmegshore.peers.messages import Hello

__all__ = ('LinkManager',)

#: Seconds between two looks for members to dial, and the same while this
#: member boots and each look may find somebody new.
_DIAL_S = 0.25
_BOOT_DIAL_S = 0.05
_CHALLENGE_BYTES = 16
#: A handshake that takes longer is given up.
_HANDSHAKE_S = 5
#: A link on which nothing came for this long is closed: the other end is
#: gone, or the connection stalls.
_SILENT_LINK_S = 4
#: A link that was silent this long gives way to a new one of the same pair.
_WEAK_LINK_S = 2


@attrs.define
class _LinkEvents:
    """Where a keeper reports a new link and its messages."""

    send_full_state: Callable[[Link, Hello], None]
    deliver: Callable[[str, Any], None]


class _LinkTimes:
    """When each link last brought something.

    A member may well be heard by other ways while the link to it stalls.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_link: dict[Link, float] = {}

    def record(self, link: Link) -> None:
        """Note that the link brought something just now."""
        self._by_link[link] = self._clock.now()

    def forget(self, link: Link) -> None:
        """Drop a link that ended."""
        self._by_link.pop(link, None)

    def silence(self, link: Link) -> float:
        """Seconds since the link brought something."""
        now = self._clock.now()
        return now - self._by_link.get(link, now)

    def discount(self, seconds: float) -> None:
        """Leave the time out in which this process was away."""
        self._by_link = {
            link: at + seconds for link, at in self._by_link.items()
        }


class LinkManager:
    """Opens, accepts, settles and closes links; one task for each."""

    def __init__(
        self,
        components: MeshComponents,
        transport: Transport,
        options: MeshOptions,
        send_full_state: Callable[[Link, Hello], None],
        deliver: Callable[[str, Any], None],
    ) -> None:
        """Keep no link yet."""
        self._components = components
        self._router = components.router
        self._transport = transport
        self._options = options
        self._events = _LinkEvents(send_full_state, deliver)
        self._opening: dict[Link, float] = {}
        self._ranks: dict[str, tuple[int, bool]] = {}
        self.received = _LinkTimes(components.clock)

    async def run(self) -> None:
        """Accept links, and dial those that are missing."""
        self._transport.listen(self._accept)
        dialler = self._components.dialler
        while True:
            for name, address in dialler.pop_due().items():
                self._components.tasks.spawn(self._dial(name, address))
            self._close_overdue()
            dialler.end_boot()
            pause_s = _BOOT_DIAL_S if dialler.is_booting else _DIAL_S
            await self._components.clock.sleep(pause_s)

    def close_useless(self) -> None:
        """Close the links that are silent and those that nobody wants."""
        for unwanted in self._components.dialler.pop_unwanted():
            self._components.counters.add('links_unwanted')
            self._router.links[unwanted].close()
        for link in list(self._router.links.values()):
            if self.received.silence(link) > _SILENT_LINK_S:
                self._components.counters.add('links_silent')
                link.close(ErrorKind.LINK_CLOSED)

    async def stop(self) -> None:
        """Accept no more links, and close all."""
        for link in (*self._router.links.values(), *self._opening):
            link.close()
        await self._transport.stop()

    def _accept(self, link: Link) -> None:
        self._components.tasks.spawn(self._serve(link, ''))

    async def _dial(self, name: str, address: str) -> None:
        try:
            link = await self._transport.dial(address)
        except LinkError:
            self._components.dialler.finish(name, is_linked=False)
            return
        await self._serve(link, name)

    async def _serve(self, link: Link, dialled: str) -> None:
        """Run one link from the handshake to its end."""
        self._opening[link] = self._components.clock.now() + _HANDSHAKE_S
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._end, link, dialled)
            try:
                await self._run_link(link, is_dialler=bool(dialled))
            except LinkError as failure:
                link.close(failure.kind)

    async def _run_link(self, link: Link, *, is_dialler: bool) -> None:
        hello = await shake_hands(
            link,
            self._make_hello(),
            self._options.key,
            is_dialler=is_dialler,
        )
        self._opening.pop(link, None)
        if not self._adopt(link, hello, is_dialler=is_dialler):
            return
        async for body in link:
            self.received.record(link)
            self._components.prober.record_contact(hello.name)
            self._events.deliver(hello.name, body)

    def _adopt(self, link: Link, hello: Hello, *, is_dialler: bool) -> bool:
        """Take a proven link into use; False if the pair has a better one."""
        is_lower = self._components.membership.local_name < hello.name
        rank = (process_of(hello.incarnation), is_lower == is_dialler)
        present = self._router.links.get(hello.name)
        if present is not None:
            if self._is_better(hello.name, present, rank):
                return False
            present.close()
        self._ranks[hello.name] = rank
        self._router.links[hello.name] = link
        self.received.record(link)
        self._components.counters.add('links_opened')
        self._components.prober.record_contact(hello.name)
        self._events.send_full_state(link, hello)
        return True

    def _is_better(
        self,
        name: str,
        present: Link,
        rank: tuple[int, bool],
    ) -> bool:
        # Both ends keep the link that the lower name dialled. A link to an
        # earlier process, or one that has gone silent, is not worth keeping.
        process, is_by_lower = self._ranks[name]
        if process != rank[0]:
            return False
        return is_by_lower and self.received.silence(present) < _WEAK_LINK_S

    def _end(self, link: Link, dialled: str) -> None:
        link.close()
        self._opening.pop(link, None)
        self.received.forget(link)
        if link.close_reason is not None:
            reason = link.close_reason.value
            self._components.counters.add('link_failures', reason=reason)
        for name, present in list(self._router.links.items()):
            if present is link:
                self._router.links.pop(name)
                self._components.counters.add('links_closed')
        if dialled:
            is_linked = link.is_proven
            self._components.dialler.finish(dialled, is_linked=is_linked)

    def _close_overdue(self) -> None:
        now = self._components.clock.now()
        for link, until in list(self._opening.items()):
            if until < now:
                link.close(ErrorKind.LINK_CLOSED)

    def _make_hello(self) -> Hello:
        record = self._components.membership.local
        return Hello(
            version=PROTOCOL_MAJOR * VERSION_SCALE,
            cluster=self._options.cluster,
            name=record.member.name,
            incarnation=record.member.incarnation,
            region=record.member.region,
            availability_zone=record.member.availability_zone,
            address=record.address,
            challenge=self._components.rng.randbytes(_CHALLENGE_BYTES),
        )
