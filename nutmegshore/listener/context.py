"""What the connections of one listener share."""

from collections.abc import Callable

import attrs

from nutmegshore.counters import Counters
from nutmegshore.faults import Faults
from nutmegshore.listener.answer import AnswerWriter
from nutmegshore.byte_budget import ByteBudget
from nutmegshore.listener.chunk_turns import ChunkTurns
from nutmegshore.listener.responder import Responder

__all__ = ('ListenerLimits', 'ListenerContext')


@attrs.frozen
class ListenerLimits:
    """What a caller may take: bytes of a head, and seconds of our patience.

    `idle_s` runs between requests, `head_s` from the first byte of a head to
    its end, `body_s` between two pieces of a body, `write_s` for one of our
    own answers, and `linger_s` after the last answer of a connection, until
    the caller has closed it; at most `linger_bytes` are read then. `body_bytes`
    bounds a body, 0 is no bound.
    """

    head_bytes: int = 32_768
    idle_s: float = 75
    head_s: float = 10
    body_s: float = 10
    write_s: float = 10
    linger_s: float = 2
    body_bytes: int = 0
    linger_bytes: int = 8_388_608


def _make_faults(context: 'ListenerContext') -> Faults:
    return Faults(context.counters)


@attrs.define
class ListenerContext:
    """What the connections of one listener share.

    `make_responder` builds the responder that answers one request. `limits` may
    be replaced while connections are open; each looks it up when it needs it.
    `faults` reports unexpected exceptions. `budget` counts what the process
    holds for its callers, and `max_connections` bounds the open connections,
    0 is no bound. `turns` spreads the decoding of small chunks.
    """

    make_responder: Callable[[AnswerWriter], Responder]
    counters: Counters
    limits: ListenerLimits = ListenerLimits()
    faults: Faults = attrs.field(
        default=attrs.Factory(_make_faults, takes_self=True)
    )
    budget: ByteBudget = attrs.field(factory=ByteBudget)
    max_connections: int = 0
    turns: ChunkTurns = attrs.field(factory=ChunkTurns)
