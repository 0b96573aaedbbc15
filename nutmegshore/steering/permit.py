"""Requests to steering, and the permits that it grants."""

from collections.abc import Callable

import attrs

from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Envelope, Service, Upstream
from nutmegshore.steering.plan import Origin

__all__ = ('Pending', 'Permit', 'RouteRequest')

#: Kind and name of the object whose cap admits a request.
Unit = tuple[str, str]


def _is_any_allowed(name: str) -> bool:
    return True


@attrs.frozen
class RouteRequest:
    """The properties of a request that steering depends on.

    `deadline` is a clock reading in seconds. `excluded` names upstreams that
    earlier attempts used and that may not have the request again; `attempts`
    counts the earlier attempts, and `failed_with` is how the last one failed.
    `is_allowed` can rule out further upstreams. `body_bytes` is the length of
    the body if known, otherwise 0; it bounds uploads between regions.
    """

    service: str
    deadline: float
    excluded: frozenset[str] = frozenset()
    is_allowed: Callable[[str], bool] = _is_any_allowed
    failed_with: ErrorKind | None = None
    body_bytes: int = 0
    attempts: int = attrs.field(
        default=attrs.Factory(
            lambda request: len(request.excluded), takes_self=True
        )
    )

    @property
    def is_restricted(self) -> bool:
        """Whether some upstreams are ruled out for this request."""
        is_filtered = self.is_allowed is not _is_any_allowed
        return bool(self.excluded) or is_filtered

    def may_use(self, name: str) -> bool:
        """Whether the request may use an upstream."""
        return name not in self.excluded and self.is_allowed(name)


@attrs.define
class Pending:
    """A request that is not placed yet, and the shift drawn for it, if any."""

    request: RouteRequest
    shift: Envelope | None = None

    @property
    def deadline(self) -> float:
        """Deadline of the request."""
        return self.request.deadline


@attrs.define(eq=False)
class Permit:
    """The right to send one request to one upstream.

    `origins` are the declared objects that led to the decision. The holder
    calls `release` once, with the kind of the failure or None; further calls
    do nothing. `units` name the caps that admitted the request.
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
        """Release the slot and report how the request ended."""
        self._end(failure, is_sent=True)

    def abandon(self) -> None:
        """Release the slot of a request that was never sent."""
        self._end(None, is_sent=False)

    def _end(self, failure: ErrorKind | None, *, is_sent: bool) -> None:
        if not self.is_released:
            self.is_released = True
            self.on_release(self, failure, is_sent)
