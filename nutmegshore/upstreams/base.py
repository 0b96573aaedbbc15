"""Interface of the client that sends requests to upstreams."""

import abc
from collections.abc import AsyncIterator, Callable
from types import MappingProxyType
from typing import Protocol

import attrs

from nutmegshore.errors import ErrorKind

__all__ = (
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'Destination',
    'Dialect',
    'Headers',
    'ReportReceiver',
    'UpstreamClient',
    'UpstreamRequest',
)

Headers = tuple[tuple[str, str], ...]

#: Takes an upstream's name, whether it is leaving, and its busy slots, which
#: are None where the answer did not report them.
ReportReceiver = Callable[[str, bool, int | None], None]

_CONNECT_TIMEOUT_S = 1


class Destination(Protocol):
    """Anything with the address of an upstream, as IP:port."""

    address: str


class BodySource(abc.ABC):
    """A request body that is read once, piece by piece.

    `length` is the number of bytes if it is known in advance, else None.
    `is_started` says whether any piece has been taken; a request whose body
    was started cannot be sent to another upstream, unless `can_replay` says
    that `chunks` gives the whole body anew each time.
    """

    length: int | None = None
    is_started: bool = False
    can_replay: bool = False

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the pieces; raises `RequestError` if the caller ends."""


@attrs.frozen
class UpstreamRequest:
    """A request as it goes to an upstream.

    `deadline` is a reading of the process's clock. `may_run_twice` permits
    the use of a kept-alive connection, on which the HTTP library may repeat
    the request by itself. A connection that is not open after
    `connect_timeout_s` counts as unreachable.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: Headers
    deadline: float
    may_run_twice: bool
    body: BodySource | None = None
    connect_timeout_s: float = _CONNECT_TIMEOUT_S


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer."""

    status: int
    headers: Headers

    @property
    def fields(self) -> MappingProxyType[str, str]:
        """Headers by lower-case name; of repeated ones, the last."""
        named = {name.lower(): text for name, text in self.headers}
        return MappingProxyType(named)


class Dialect(abc.ABC):
    """The headers by which upstreams and this system talk to each other.

    `accepts_unframed` says whether an answer may end with its connection
    instead of a length or a last chunk.
    """

    accepts_unframed: bool = False

    @abc.abstractmethod
    def request_headers(
        self,
        request: UpstreamRequest,
        remaining_ms: int,
    ) -> Headers:
        """Headers that the system sets itself, with the time that is left."""

    @abc.abstractmethod
    def read_refusal(self, head: AnswerHead) -> ErrorKind | None:
        """Why an upstream says that it did not run the request, if so."""

    @abc.abstractmethod
    def read_report(self, head: AnswerHead) -> tuple[bool, int | None] | None:
        """Leaving flag and busy slots that an answer reports, if any."""


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
    call cancels the upstream's work. A body that fails raises the error of
    its `chunks`.

    `on_report` is called with what each answer reports of the upstream:

        upstreams.on_report = reports.record
    """

    on_report: ReportReceiver | None = None
    dialect: Dialect

    def report(self, name: str, head: AnswerHead) -> None:
        """Pass on what the head of an answer reports of the upstream."""
        found = self.dialect.read_report(head)
        if found is not None and self.on_report is not None:
            self.on_report(name, *found)

    @abc.abstractmethod
    async def send(
        self,
        name: str,
        upstream: Destination,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Send the request to the named upstream."""
