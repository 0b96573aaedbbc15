"""Check of requests before and around their runs in upstreams."""

import abc

from nutmegshore.callers.request import CallerRequest
from nutmegshore.errors import ErrorKind

__all__ = ('OpenGate', 'RequestGate')


class RequestGate(abc.ABC):
    """Decides which requests may run where, and follows their runs.

    The quarantine of crash-causing requests is one. Each `started` is
    followed by one `finished` for the same request and upstream.
    """

    @abc.abstractmethod
    def check(self, request: CallerRequest) -> None:
        """Raise `RequestError` if the request must not run anywhere."""

    @abc.abstractmethod
    def allows(self, request: CallerRequest, upstream: str) -> bool:
        """Whether the request may run in the named upstream now."""

    @abc.abstractmethod
    def started(self, request: CallerRequest, upstream: str) -> None:
        """Note that the request goes to the named upstream."""

    @abc.abstractmethod
    def finished(
        self,
        request: CallerRequest,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Note how the run ended; `failure` is None for a whole answer."""


class OpenGate(RequestGate):
    """Lets every request pass."""

    def check(self, request: CallerRequest) -> None:
        """Pass."""

    def allows(self, request: CallerRequest, upstream: str) -> bool:
        """Allow every upstream."""
        return True

    def started(self, request: CallerRequest, upstream: str) -> None:
        """Note nothing."""

    def finished(
        self,
        request: CallerRequest,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Note nothing."""
