"""A stream of messages to one other entry."""

import abc
import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.codec import encode
from nutmegshore.peers.queue_rules import NO_RULE, QueueRule, queue_rule
from nutmegshore.peers.send_queue import SendQueue

__all__ = ('HELLO_BYTES', 'SEND_QUEUE_BYTES', 'Accept', 'Link', 'Transport')

#: Frames before the proof of the key are at most this large, so that an
#: unauthenticated peer cannot make an entry buffer 4 MiB.
HELLO_BYTES = 4096
#: Bytes that may wait to be sent on one link before it is closed.
SEND_QUEUE_BYTES = 8 * 1024 * 1024


class Link(abc.ABC):
    """An ordered, reliable stream of messages until it closes.

    `is_proven` is set after the handshake and raises the frame limit from
    `HELLO_BYTES` to 4 MiB; `reads_compressed` says whether the other side reads
    `CompressedFrame`. `close_reason` is the error kind for which the
    local side closed the link, or None. `queue` holds what waits to be sent.

        link.send(Ping())
        async for body in link:
            handle(body)
    """

    def __init__(self) -> None:
        """Start open and unproven."""
        self.is_proven = False
        self.reads_compressed = False
        self.is_closed = False
        self.close_reason: ErrorKind | None = None
        self.queue = SendQueue()

    def send(self, body: Any) -> bool:
        """Queue a message; False if the link is or gets closed."""
        return self.send_frame(encode(body), queue_rule(body))

    def send_frame(self, frame: bytes, rule: QueueRule = NO_RULE) -> bool:
        """Queue an encoded message; a full queue closes the link.

        It takes the place of an earlier one of its slot that still waits.
        """
        if self.is_closed:
            return False
        self.queue.put(frame, rule, _now())
        self.write_queue()
        if self.queue.size > SEND_QUEUE_BYTES:
            self.abort()
        return not self.is_closed

    @property
    def waiting_s(self) -> float:
        """Seconds for which the oldest message has waited to be sent."""
        return self.queue.oldest_s(_now())

    def pop_frame(self) -> bytes:
        """Remove the next message from the queue, b'' if there is none."""
        return self.queue.pop(_now())

    @abc.abstractmethod
    def write_queue(self) -> None:
        """Send queued messages until the connection takes no more now."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the stream at once; what is queued may be lost."""

    @abc.abstractmethod
    async def read(self) -> Any:
        """Next message; None for an unknown type, `LinkError` at the end."""

    @abc.abstractmethod
    def close(self, reason: ErrorKind | None = None) -> None:
        """Close the stream after what is queued; repeats do nothing."""

    def __aiter__(self) -> 'Link':
        """Iterate over received messages until the link closes."""
        return self

    async def __anext__(self) -> Any:
        """Return the next message of a known type."""
        body = None
        while body is None:
            body = await self._read_or_stop()
        return body

    async def _read_or_stop(self) -> Any:
        try:
            return await self.read()
        except LinkError as failure:
            if failure.kind is ErrorKind.LINK_CLOSED:
                raise StopAsyncIteration from failure
            raise


def _now() -> float:
    return asyncio.get_running_loop().time()


#: Called with each link that another entry opens; it owns the link.
Accept = Callable[[Link], None]


class Transport(abc.ABC):
    """Opens links to addresses and accepts them at its own."""

    address: str

    @abc.abstractmethod
    def listen(self, accept: Accept) -> None:
        """Call `accept` with each link that another member opens."""

    @abc.abstractmethod
    def dial(self, address: str) -> Awaitable[Link]:
        """Open a link, or raise `LinkError`."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Accept no more links."""
