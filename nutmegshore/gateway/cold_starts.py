"""What a gateway knows of upstreams that are cold."""

import collections
import enum
from collections.abc import Callable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('ColdSource', 'ColdStarts', 'ColdStatement')

#: Seconds over which sent requests are counted, and the most that are.
_COUNTED_S = 1
_MAX_COUNTED = 32


class ColdSource(enum.Enum):
    """What a statement is based on."""

    REGISTRATION = 'registration'


@attrs.frozen
class ColdStatement:
    """The latest that is known about the start of an upstream.

    `stated_at` and `warm_at` are readings of the gateway's clock.
    """

    upstream: RegisteredUpstream
    stated_at: float
    warm_at: float
    source: ColdSource


class ColdStarts:
    """Tells which upstreams are cold.

        cold_starts.register(upstream)
        cold_starts.left_s('u1')  # 1.5

    `on_change` is called with each statement that makes an upstream cold.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without statements."""
        self.on_change: Callable[[ColdStatement], None] | None = None
        self._clock = clock
        self._by_id: dict[str, ColdStatement] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def left_s(self, instance: str) -> float:
        """Return the seconds for which an upstream stays cold, or 0."""
        statement = self._by_id.get(instance)
        if statement is None:
            return 0
        return max(statement.warm_at - self._clock.now(), 0)

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self._by_id.pop(instance, None)
        self._sent.pop(instance, None)

    def record_sent(self, instance: str) -> None:
        """Note that a request is sent to an upstream."""
        times = self._sent.get(instance)
        if times is None:
            times = collections.deque(maxlen=_MAX_COUNTED)
            self._sent[instance] = times
        times.append(self._clock.now())

    def sent_lately(self, instance: str) -> int:
        """Return the requests sent to an upstream in the last second."""
        since = self._clock.now() - _COUNTED_S
        return sum(at > since for at in self._sent.get(instance, ()))

    def register(self, upstream: RegisteredUpstream) -> None:
        """Handle the registration of an upstream."""
        if not upstream.cold_left_s:
            return
        now = self._clock.now()
        self._put(
            ColdStatement(
                upstream,
                now,
                now + upstream.cold_left_s,
                ColdSource.REGISTRATION,
            )
        )

    def _put(self, statement: ColdStatement) -> None:
        instance = statement.upstream.instance
        was_cold = self.left_s(instance) > 0
        self._by_id[instance] = statement
        is_cold = self.left_s(instance) > 0
        if was_cold != is_cold and self.on_change is not None:
            self.on_change(statement)
