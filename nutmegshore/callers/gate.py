"""Check of requests before each attempt, and record of the attempts."""

import abc

from nutmegshore.callers.request import CallerRequest
from nutmegshore.errors import ErrorKind

__all__ = ('OpenGate', 'RequestGate')


class RequestGate(abc.ABC):
    """Decides which upstreams may run a request, and records the runs.

    The quarantine of crash-causing requests implements it. Each `started` is
    followed by one `finished` for the same request and upstream.
    """

    @abc.abstractmethod
    def check(self, request: CallerRequest) -> None:
        """Raise `RequestError` if no upstream may run the request."""

    @abc.abstractmethod
    def allows(self, request: CallerRequest, upstream: str) -> bool:
        """Whether the named upstream may run the request now."""

    @abc.abstractmethod
    def started(self, request: CallerRequest, upstream: str) -> None:
        """Record that the request is sent to the named upstream."""

    @abc.abstractmethod
    def finished(
        self,
        request: CallerRequest,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Record the result; `failure` is None for a complete answer."""


class OpenGate(RequestGate):
    """Accepts every request at every upstream."""

    def check(self, request: CallerRequest) -> None:
        """Accept the request."""

    def allows(self, request: CallerRequest, upstream: str) -> bool:
        """Allow every upstream."""
        return True

    def started(self, request: CallerRequest, upstream: str) -> None:
        """Record nothing."""

    def finished(
        self,
        request: CallerRequest,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Record nothing."""
