"""Interface through which an entry reaches the other entries."""

import abc
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from nutmegshore.peers.codec import decode
from nutmegshore.peers.compression import CompressedFrame, expand_frame

__all__ = ('PROCESS_BITS', 'Handler', 'Member', 'Peers', 'process_of')

#: Called with the sender's name and the decoded message.
Handler = Callable[[str, Any], None]

#: Low bits of an incarnation that name the process; the rest is a counter.
PROCESS_BITS = 20


def process_of(incarnation: int) -> int:
    """Process number of an incarnation, constant while the process lives.

    A refutation raises the counter above it; a restart under the same name
    draws a new process number too.
    """
    return incarnation % 2**PROCESS_BITS


@attrs.frozen
class Member:
    """An entry of the cluster.

    `incarnation` rises with each start under the same name, and whenever the
    member refutes a suspicion. `capacity` is the rate of its link in Mbit/s, or
    0 if it is not known.
    """

    name: str
    region: str
    availability_zone: str
    incarnation: int = 1
    capacity: int = 0


class Peers(abc.ABC):
    """Messages to and from the other live entries.

    Delivery is neither reliable nor ordered across reconnects: a component
    that needs an answer repeats its request. Handlers run on the event loop
    and must not block; a handler that has to wait starts a task that its
    component owns.
    """

    def __init__(self, local: Member) -> None:
        """Start without handlers."""
        self.local = local
        self._handlers: dict[type, list[Handler]] = {}

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call the handler with each received message of the type."""
        self._handlers.setdefault(message_type, []).append(handler)

    @abc.abstractmethod
    def live(self) -> dict[str, Member]:
        """Live members by name, the local one included."""

    @abc.abstractmethod
    def send(self, name: str, body: Any) -> bool:
        """Queue a message for one member; False if it is unreachable."""

    def serving(self) -> dict[str, Member]:
        """Live members that accept new work, by name."""
        return self.live()

    def leave(self) -> None:
        """Announce that this member accepts no new work."""

    def neighbours(self) -> list[str]:
        """Names of the members that one message reaches directly."""
        return sorted(set(self.live()) - {self.local.name})

    def aggregators(self, region: str = '') -> tuple[str, ...]:
        """Members that collect the reports of a region, by default the local.

        Empty while the cluster is small enough for a full mesh, in which each
        member reports to all others.
        """
        return ()

    def regions(self) -> list[str]:
        """Regions that have live members."""
        return sorted({member.region for member in self.live().values()})

    @property
    def is_settled(self) -> bool:
        """Whether every known member was dialled once since the start."""
        return True

    def broadcast(self, body: Any) -> None:
        """Send a message to every other live member."""
        for name in sorted(self.live()):
            if name != self.local.name:
                self.send(name, body)

    def send_region(self, body: Any, region: str = '') -> None:
        """Send to the other live members of a region, by default the local."""
        wanted = region or self.local.region
        for name, member in sorted(self.live().items()):
            is_near = member.region == wanted
            if is_near and name != self.local.name:
                self.send(name, body)

    def send_each(self, names: Iterable[str], body: Any) -> None:
        """Send a message to several members, except the local one."""
        for name in names:
            if name != self.local.name:
                self.send(name, body)

    def deliver(self, sender: str, body: Any) -> None:
        """Call the handlers of a received message.

        Raises `LinkError` for a compressed message that is malformed.
        """
        if isinstance(body, CompressedFrame):
            body = decode(expand_frame(body))
        for handler in self._handlers.get(type(body), ()):
            handler(sender, body)
