"""Services that callers ask for."""

import attrs

from nutmegshore.resources.fields import declared, flag, integer, number

__all__ = ('Service',)

_LOWEST_PRIORITY = 9
_MAX_MILLISECONDS = 3_600_000
_DEFAULT_DEADLINE_MS = 10_000
_DEFAULT_QUEUE_TARGET_MS = 50
_DEFAULT_PRIORITY = 5
_DEFAULT_WEIGHT = 0.5


@attrs.frozen
class Service:
    """How requests of one service are treated.

    `priority` 0 is served first when there is not enough for all. A request
    without a deadline of its own gets `deadline_ms`. `idempotent` says that a
    request may run twice, which permits retries and, with `hedge`, hedging.
    """

    idempotent: bool = declared(flag(), default=False)
    priority: int = declared(
        integer(0, _LOWEST_PRIORITY),
        default=_DEFAULT_PRIORITY,
    )
    latency_weight: float = declared(number(0, 1), default=_DEFAULT_WEIGHT)
    headroom_weight: float = declared(number(0, 1), default=_DEFAULT_WEIGHT)
    deadline_ms: int = declared(
        integer(1, _MAX_MILLISECONDS),
        default=_DEFAULT_DEADLINE_MS,
    )
    queue_target_ms: int = declared(
        integer(1, _MAX_MILLISECONDS),
        default=_DEFAULT_QUEUE_TARGET_MS,
    )
    hedge: bool = declared(flag(), default=False)
