"""Spec of a service that callers send requests to."""

import attrs

from nutmegshore.resources.fields import flag, integer, number, spec_field

__all__ = ('Service',)

_LOWEST_PRIORITY = 9
_MAX_MILLISECONDS = 3_600_000
_DEFAULT_DEADLINE_MS = 10_000
_DEFAULT_QUEUE_TARGET_MS = 50
_DEFAULT_PRIORITY = 5
_DEFAULT_WEIGHT = 0.5


@attrs.frozen
class Service:
    """How the requests of one service are routed and queued.

    Priority 0 is served first when capacity is short. A request that carries no
    deadline gets `deadline_ms`. `idempotent` declares that a request may run
    twice, which permits retries and, with `hedge`, hedged requests.
    """

    idempotent: bool = spec_field(flag(), default=False)
    priority: int = spec_field(
        integer(0, _LOWEST_PRIORITY),
        default=_DEFAULT_PRIORITY,
    )
    latency_weight: float = spec_field(number(0, 1), default=_DEFAULT_WEIGHT)
    headroom_weight: float = spec_field(number(0, 1), default=_DEFAULT_WEIGHT)
    deadline_ms: int = spec_field(
        integer(1, _MAX_MILLISECONDS),
        default=_DEFAULT_DEADLINE_MS,
    )
    queue_target_ms: int = spec_field(
        integer(1, _MAX_MILLISECONDS),
        default=_DEFAULT_QUEUE_TARGET_MS,
    )
    hedge: bool = spec_field(flag(), default=False)
