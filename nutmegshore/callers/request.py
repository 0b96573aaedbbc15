"""A caller's request after its checks."""

import attrs

from nutmegshore.byte_budget import ByteBudget, HeldBytes
from nutmegshore.upstreams import BodySource, Headers

__all__ = ('CallerRequest',)


@attrs.frozen
class CallerRequest:
    """A checked request of a caller.

    `deadline` is a reading of the process's clock, or None for the service's
    default. `body_start` holds the first 64 KiB of the body, or all of a
    shorter one, whatever the sizes of the chunks that arrived. It is set before
    the request reaches a gate or a record. `held` counts the bytes that are
    kept of the body.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: Headers
    body: BodySource | None = None
    deadline: float | None = None
    idempotency_key: str = ''
    body_start: bytes = b''
    held: HeldBytes = attrs.field(factory=lambda: ByteBudget().hold())
