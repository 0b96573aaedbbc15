"""What a request asks of steering and what it gets."""

from collections.abc import Callable

import attrs

from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Envelope, Service, Upstream
from nutmegshore.steering.plan import Origin

__all__ = ('Pending', 'Permit', 'RouteRequest')

Unit = tuple[str, str]


def _is_any_allowed(name: str) -> bool:
    return True


@attrs.frozen
class RouteRequest:
    """What steering needs to know of a request.

    `excluded` names upstreams that this request must not go to, because they
    were tried before; `failed_with` is how the last of them failed.
    `is_allowed` can rule out further upstreams. `body_bytes` is the length of
    the body where it is known, which bounds uploads between regions.
    """

    service: str
    deadline: float
    excluded: frozenset[str] = frozenset()
    is_allowed: Callable[[str], bool] = _is_any_allowed
    failed_with: ErrorKind | None = None
    body_bytes: int = 0

    @property
    def is_restricted(self) -> bool:
        """Whether some upstreams are ruled out for this request."""
        is_filtered = self.is_allowed is not _is_any_allowed
        return bool(self.excluded) or is_filtered

    def may_use(self, name: str) -> bool:
        """Whether the request may go to an upstream."""
        return name not in self.excluded and self.is_allowed(name)


@attrs.define
class Pending:
    """A request that is not placed yet, with the shift drawn for it."""

    request: RouteRequest
    shift: Envelope | None = None

    @property
    def deadline(self) -> float:
        """Deadline of the request."""
        return self.request.deadline


@attrs.define(eq=False)
class Permit:
    """The right to send one request to one upstream.

    `origins` are the declared objects behind the decision. The holder calls
    `release` exactly once, with the kind of the failure or None. `units` are
    the (kind, name) pairs of the caps that the request was admitted by.
    """

    name: str
    upstream: Upstream
    service: Service
    origins: tuple[Origin, ...]
    on_release: Callable[['Permit', ErrorKind | None, bool], None]
    started_at: float = 0
    units: tuple[Unit, ...] = ()
    is_released: bool = False

    def release(self, failure: ErrorKind | None = None) -> None:
        """Give the slot back and report how the request ended."""
        self._end(failure, is_sent=True)

    def abandon(self) -> None:
        """Give the slot back for a request that was never sent."""
        self._end(None, is_sent=False)

    def _end(self, failure: ErrorKind | None, *, is_sent: bool) -> None:
        if not self.is_released:
            self.is_released = True
            self.on_release(self, failure, is_sent)
