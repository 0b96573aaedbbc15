"""Interface of the client that sends requests to upstreams."""

import abc
from collections.abc import AsyncIterator, Callable
from types import MappingProxyType
from typing import Protocol

import attrs

from nutmegshore.errors import ErrorKind
from nutmegshore.upstreams.malformed_answer import MalformedAnswer

__all__ = (
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'Destination',
    'DestinationReportReceiver',
    'Dialect',
    'Headers',
    'MalformedAnswerReceiver',
    'ReportReceiver',
    'UpstreamClient',
    'UpstreamReport',
    'UpstreamRequest',
)

Headers = tuple[tuple[str, str], ...]

_CONNECT_TIMEOUT_S = 1


class Destination(Protocol):
    """Anything with the address of an upstream, as IP:port."""

    address: str


class BodySource(abc.ABC):
    """A request body that is read once, chunk by chunk.

    `length` is the number of bytes if it is known in advance, else None.
    `is_started` says whether any chunk has been read. A request whose body
    was started cannot be sent to another upstream, unless `can_replay` is set:
    then each call of `chunks` yields the whole body again.
    """

    length: int | None = None
    is_started: bool = False
    can_replay: bool = False

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks; a caller's failure raises `RequestError`."""


@attrs.frozen
class UpstreamRequest:
    """A request as sent to an upstream.

    `deadline` is a reading of the process's clock. `may_run_twice` permits
    the use of a kept-alive connection, whose close may leave open whether the
    request was read; `needs_new_connection` forbids it all the same. A
    connection that is not open after `connect_timeout_s` counts as unreachable.
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
    needs_new_connection: bool = False


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer."""

    status: int
    headers: Headers

    @property
    def fields(self) -> MappingProxyType[str, str]:
        """Headers by lower-case name; the last one wins if a name repeats."""
        named = {name.lower(): text for name, text in self.headers}
        return MappingProxyType(named)


@attrs.frozen
class UpstreamReport:
    """State that an upstream reports in the head of an answer.

    `busy` is the number of its busy slots, or None if the answer does not tell.
    `work_percent` says how long work takes there at this moment, in percent of
    the usual time, or None if the answer does not tell.
    `max_rate` is the number of requests per second that it accepts from all
    gateways together, or None if the answer names no limit. The text of a limit
    that cannot be read is in `malformed_limit`, and in `malformed_leaving` that
    of a flag which says neither that it is leaving nor that it is not.
    `is_refusal` says whether the upstream refused the request. `pause_s` is the
    number of seconds for which it wants no requests from this process, or None
    if it did not ask for a pause; the text of a time that cannot be read is in
    `malformed_pause`.
    """

    is_leaving: bool = False
    busy: int | None = None
    max_rate: float | None = None
    malformed_limit: str | None = None
    is_refusal: bool = False
    pause_s: float | None = None
    malformed_pause: str | None = None
    malformed_leaving: str | None = None
    work_percent: int | None = None


#: Called with an upstream's name and the state that it reports.
ReportReceiver = Callable[[str, UpstreamReport], None]
#: Called with the destination of a request and the state that its answer
#: reports.
DestinationReportReceiver = Callable[[Destination, UpstreamReport], None]

#: Called with the destination of a request and the seconds in which a new
#: connection to it opened.
ConnectionReceiver = Callable[[Destination, float], None]

#: Called with an upstream's name, a request, and why its answer was refused.
MalformedAnswerReceiver = Callable[
    [str, UpstreamRequest, MalformedAnswer], None
]


class Dialect(abc.ABC):
    """The headers that this system and its upstreams exchange.

    `accepts_unframed` says whether the close of the connection may end an
    answer instead of a length or a last chunk, `always_echoes_id` whether every
    answer names its request.
    """

    accepts_unframed: bool = False
    always_echoes_id: bool = False

    @abc.abstractmethod
    def request_headers(
        self,
        request: UpstreamRequest,
        remaining_ms: int,
    ) -> Headers:
        """Headers that this system sets, with the remaining time."""

    @abc.abstractmethod
    def read_request_id(self, head: AnswerHead) -> str | None:
        """Id of the request that an answer belongs to, or None without one."""

    @abc.abstractmethod
    def read_refusal(self, head: AnswerHead) -> ErrorKind | None:
        """Error kind if the upstream refused the request without running it."""

    @abc.abstractmethod
    def read_report(self, head: AnswerHead) -> UpstreamReport | None:
        """State that an answer reports, or None if it tells nothing."""


class AnswerReceiver(abc.ABC):
    """Receives an upstream's answer while it arrives."""

    @abc.abstractmethod
    async def begin(self, head: AnswerHead) -> None:
        """Receive the head, once, before the first chunk of the body."""

    @abc.abstractmethod
    async def receive(self, chunk: bytes) -> None:
        """Receive one chunk of the body; a slow receiver slows the upstream."""


class UpstreamClient(abc.ABC):
    """Sends one request to one upstream, exactly once.

    `send` returns the head after the whole answer was received. It raises
    `RequestError` with kind `UPSTREAM_UNREACHABLE` (nothing was sent),
    `UPSTREAM_REFUSED` (the upstream said that it did not run it),
    `UPSTREAM_LOST` or `DEADLINE_AFTER_SEND` (it may have run). The loss is a
    `ConnectionClosed` if the upstream may have closed a kept connection before
    it read the request. Cancelling the call closes the connection, which
    cancels the upstream's work. An error
    that the body's `chunks` raises is passed on.

    `on_report` is called with the state that each answer reports:

        upstreams.on_report = reports.record

    `on_destination_report` gets the same state with the destination that was
    passed to `send`. It tells the incarnations of an upstream apart.
    `on_connected` is called with the destination and the seconds in which a new
    connection to it opened, once a request on it is answered. `on_malformed` is
    called with each answer that breaks the grammar of HTTP/1.1. It is lost, and
    nothing that it says is reported.
    """

    on_report: ReportReceiver | None = None
    on_destination_report: DestinationReportReceiver | None = None
    on_connected: ConnectionReceiver | None = None
    on_malformed: MalformedAnswerReceiver | None = None
    dialect: Dialect

    def report(
        self, name: str, upstream: Destination, head: AnswerHead
    ) -> None:
        """Pass the upstream's state in an answer's head to the receivers."""
        found = self.dialect.read_report(head)
        if found is None:
            return
        if self.on_report is not None:
            self.on_report(name, found)
        if self.on_destination_report is not None:
            self.on_destination_report(upstream, found)

    @abc.abstractmethod
    async def send(
        self,
        name: str,
        upstream: Destination,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Send the request to the named upstream."""
