"""Lifecycle of one member's links, from dialling to closing."""

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
    PROTOCOL_MINOR,
    VERSION_SCALE,
    perform_handshake,
)
from nutmegshore.peers.late_links import LateLinks
from nutmegshore.peers.link import Link, Transport
from nutmegshore.peers.messages import Hello

__all__ = ('LinkManager',)

#: Seconds between two checks for members to dial, in normal operation and
#: during boot, when each check may find new members.
_DIAL_INTERVAL_S = 0.25
_BOOT_DIAL_INTERVAL_S = 0.05
_CHALLENGE_BYTES = 16
#: Seconds after which an unfinished handshake is aborted.
_HANDSHAKE_TIMEOUT_S = 5
#: A link that received nothing for this many seconds is closed: the other end
#: is gone, or the connection stalls.
_IDLE_LINK_S = 4
#: A link idle for this many seconds is replaced by a new one of the same pair.
_REPLACEABLE_LINK_S = 2


@attrs.define
class _LinkCallbacks:
    """Callbacks for a new link and for each received message."""

    send_full_state: Callable[[Link, Hello], None]
    deliver: Callable[[str, Any], None]


class _LinkActivity:
    """Time of the last message on each link.

    It is kept apart from contact with the member, which may go on by other
    paths while the link stalls.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_link: dict[Link, float] = {}

    def record(self, link: Link) -> None:
        """Record that the link received a message at the current time."""
        self._by_link[link] = self._clock.now()

    def forget(self, link: Link) -> None:
        """Remove a closed link."""
        self._by_link.pop(link, None)

    def idle_time(self, link: Link) -> float:
        """Seconds since the last message on the link."""
        now = self._clock.now()
        return now - self._by_link.get(link, now)

    def exclude_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from all idle times."""
        self._by_link = {
            link: last_at + seconds for link, last_at in self._by_link.items()
        }


class LinkManager:
    """Opens, authenticates and closes links; one task for each."""

    def __init__(
        self,
        components: MeshComponents,
        transport: Transport,
        options: MeshOptions,
        send_full_state: Callable[[Link, Hello], None],
        deliver: Callable[[str, Any], None],
    ) -> None:
        """Start without links."""
        self._components = components
        self._router = components.router
        self._transport = transport
        self._options = options
        self._callbacks = _LinkCallbacks(send_full_state, deliver)
        self._handshake_deadlines: dict[Link, float] = {}
        self._ranks: dict[str, tuple[int, bool]] = {}
        self._late_links = LateLinks(components.counters)
        self.activity = _LinkActivity(components.clock)

    async def run(self) -> None:
        """Accept links, and dial those that are missing."""
        self._transport.listen(self._accept)
        dialler = self._components.dialler
        while True:
            for name, address in dialler.pop_due().items():
                self._components.tasks.spawn(self._dial(name, address))
            self._close_slow_handshakes()
            dialler.end_boot()
            pause_s = (
                _BOOT_DIAL_INTERVAL_S
                if dialler.is_booting
                else _DIAL_INTERVAL_S
            )
            await self._components.clock.sleep(pause_s)

    def prune_links(self) -> None:
        """Close idle links and those outside the topology; log late ones."""
        self._late_links.observe(self._router.links)
        for unwanted in self._components.dialler.pop_unwanted():
            self._components.counters.add('links_unwanted')
            self._router.links[unwanted].close()
        for link in list(self._router.links.values()):
            if self.activity.idle_time(link) > _IDLE_LINK_S:
                self._components.counters.add('links_silent')
                link.close(ErrorKind.LINK_CLOSED)

    async def stop(self) -> None:
        """Accept no more links, and close all."""
        for link in (*self._router.links.values(), *self._handshake_deadlines):
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
        self._handshake_deadlines[link] = (
            self._components.clock.now() + _HANDSHAKE_TIMEOUT_S
        )
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._clean_up, link, dialled)
            try:
                await self._run_link(link, is_dialler=bool(dialled))
            except LinkError as failure:
                link.close(failure.kind)

    async def _run_link(self, link: Link, *, is_dialler: bool) -> None:
        hello = await perform_handshake(
            link,
            self._make_hello(),
            self._options.key,
            is_dialler=is_dialler,
        )
        self._handshake_deadlines.pop(link, None)
        if not self._activate(link, hello, is_dialler=is_dialler):
            return
        async for body in link:
            self.activity.record(link)
            self._components.prober.record_contact(hello.name)
            self._callbacks.deliver(hello.name, body)

    def _activate(self, link: Link, hello: Hello, *, is_dialler: bool) -> bool:
        """Use an authenticated link; False if the pair has a better one."""
        is_lower = self._components.membership.local_name < hello.name
        rank = (process_of(hello.incarnation), is_lower == is_dialler)
        present = self._router.links.get(hello.name)
        if present is not None:
            if self._is_present_better(hello.name, present, rank):
                return False
            present.close()
        self._ranks[hello.name] = rank
        self._router.links[hello.name] = link
        self.activity.record(link)
        self._components.counters.add('links_opened')
        self._components.prober.record_contact(hello.name)
        self._callbacks.send_full_state(link, hello)
        return True

    def _is_present_better(
        self,
        name: str,
        present: Link,
        rank: tuple[int, bool],
    ) -> bool:
        # Both ends keep the link that the lower name dialled. A link to an
        # earlier process or an idle one is replaced.
        process, is_by_lower = self._ranks[name]
        if process != rank[0]:
            return False
        return (
            is_by_lower
            and self.activity.idle_time(present) < _REPLACEABLE_LINK_S
        )

    def _clean_up(self, link: Link, dialled: str) -> None:
        link.close()
        self._handshake_deadlines.pop(link, None)
        self.activity.forget(link)
        if link.close_reason is not None:
            reason = link.close_reason.value
            self._components.counters.add('link_failures', reason=reason)
        self._late_links.count_dropped(link)
        for name, present in list(self._router.links.items()):
            if present is link:
                self._router.links.pop(name)
                self._components.counters.add('links_closed')
        if dialled:
            is_linked = link.is_proven
            self._components.dialler.finish(dialled, is_linked=is_linked)

    def _close_slow_handshakes(self) -> None:
        now = self._components.clock.now()
        for link, deadline in list(self._handshake_deadlines.items()):
            if deadline < now:
                link.close(ErrorKind.LINK_CLOSED)

    def _make_hello(self) -> Hello:
        record = self._components.membership.local
        return Hello(
            version=PROTOCOL_MAJOR * VERSION_SCALE + PROTOCOL_MINOR,
            cluster=self._options.cluster,
            name=record.member.name,
            incarnation=record.member.incarnation,
            region=record.member.region,
            availability_zone=record.member.availability_zone,
            address=record.address,
            challenge=self._components.rng.randbytes(_CHALLENGE_BYTES),
        )
