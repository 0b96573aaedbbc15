"""Interface of the client that sends requests to upstreams."""

import abc
from collections.abc import AsyncIterator

import attrs

from nutmegshore.resources import Upstream

__all__ = (
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'UpstreamClient',
    'UpstreamRequest',
)

Headers = tuple[tuple[str, str], ...]


class BodySource(abc.ABC):
    """A request body that is read once, piece by piece.

    `length` is the number of bytes if it is known in advance, else None.
    `is_started` says whether any piece has been taken; a request whose body
    was started cannot be sent to another upstream.
    """

    length: int | None = None
    is_started: bool = False

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the pieces; raises `RequestError` if the caller ends."""


@attrs.frozen
class UpstreamRequest:
    """A request as it goes to an upstream.

    `deadline` is a reading of the process's clock. `may_run_twice` permits
    the use of a kept-alive connection, on which the HTTP library may repeat
    the request by itself.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: Headers
    deadline: float
    may_run_twice: bool
    body: BodySource | None = None


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer."""

    status: int
    headers: Headers


class AnswerReceiver(abc.ABC):
    """Takes an upstream's answer while it arrives."""

    @abc.abstractmethod
    async def begin(self, head: AnswerHead) -> None:
        """Take the head, once, before the first piece."""

    @abc.abstractmethod
    async def receive(self, chunk: bytes) -> None:
        """Take one piece of the body; slowness here slows the upstream."""


class UpstreamClient(abc.ABC):
    """Sends one request to one upstream, exactly once.

    `send` returns the head after the whole answer was received. It raises
    `RequestError` with kind `UPSTREAM_UNREACHABLE` (nothing was sent),
    `UPSTREAM_REFUSED` (the upstream said that it did not run it),
    `UPSTREAM_LOST` or `DEADLINE_AFTER_SEND` (it may have run). Cancelling the
    call cancels the upstream's work.
    """

    @abc.abstractmethod
    async def send(
        self,
        name: str,
        upstream: Upstream,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Send the request to the named upstream."""
