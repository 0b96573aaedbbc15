"""What the connections of one listener share."""

from collections.abc import Callable

import attrs

from nutmegshore.callers.forward import Forwarder
from nutmegshore.callers.lookup import LookupAnswer
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters

__all__ = ('ListenerLimits', 'ListenerParts')


@attrs.frozen
class ListenerLimits:
    """What a caller may take: bytes of a head, and seconds of our patience.

    `idle_s` runs between requests, `head_s` from the first byte of a head to
    its end, `body_s` between two pieces of a body, `write_s` for one of our
    own answers, and `linger_s` after the last answer of a connection, until
    the caller has closed it.
    """

    head_bytes: int = 32_768
    idle_s: float = 75
    head_s: float = 10
    body_s: float = 10
    write_s: float = 10
    linger_s: float = 2


@attrs.frozen
class ListenerParts:
    """What the connections of one listener share.

    `lookup` answers a look-up for a service, or for all if it is empty.
    """

    forwarder: Forwarder
    lookup: Callable[[str], LookupAnswer]
    counters: Counters
    clock: Clock
    limits: ListenerLimits = ListenerLimits()
