"""Faults in the model of quotas, and which gateways each one sees."""

from collections.abc import Callable, Iterable

import attrs

__all__ = ('Cut', 'Fault', 'Kill', 'Pause', 'Views')

_NEVER = float('inf')


@attrs.frozen
class Kill:
    """Gateways that die, and come back without any knowledge."""

    names: frozenset[str]
    start_s: float
    end_s: float = _NEVER


@attrs.frozen
class Pause:
    """Gateways that stand still: messages and requests wait for them."""

    names: frozenset[str]
    start_s: float
    end_s: float


@attrs.frozen
class Cut:
    """Messages from some gateways to some others that are lost.

    If `is_noticed`, the two sides take each other for dead after a while, as
    those of a partition do.
    """

    senders: frozenset[str]
    receivers: frozenset[str]
    start_s: float
    end_s: float
    is_noticed: bool = False

    def separates(self, one: str, other: str) -> bool:
        """Return whether two gateways are on different sides."""
        return (one in self.senders and other in self.receivers) or (
            other in self.senders and one in self.receivers
        )


Fault = Kill | Pause | Cut


def is_active(fault: Fault, now: float) -> bool:
    """Return whether a fault lasts at a time."""
    return fault.start_s <= now < fault.end_s


class Views:
    """Tells which gateways a gateway takes for alive, and what is lost."""

    def __init__(
        self,
        names: Iterable[str],
        faults: Iterable[Fault],
        now: Callable[[], float],
        notice_s: float,
    ) -> None:
        """Notice faults after `notice_s`; a longer pause counts as a death."""
        self._names = tuple(names)
        self._faults = tuple(faults)
        self._now = now
        self._notice_s = notice_s

    def is_dead(self, name: str) -> bool:
        """Return whether a gateway does not run now."""
        return any(
            isinstance(fault, Kill) and name in fault.names
            for fault in self._active(self._now())
        )

    def paused_until(self, name: str) -> float:
        """Return when a gateway goes on; a time in the past if it runs."""
        return max(
            (
                fault.end_s
                for fault in self._active(self._now())
                if isinstance(fault, Pause) and name in fault.names
            ),
            default=float(0),
        )

    def is_lost(self, sender: str, receiver: str) -> bool:
        """Return whether a message that is sent now does not arrive."""
        return any(
            isinstance(fault, Cut)
            and sender in fault.senders
            and receiver in fault.receivers
            for fault in self._active(self._now())
        )

    def seen(self, observer: str) -> list[str]:
        """Return the gateways that one takes for alive."""
        now = self._now()
        noticed = [
            fault
            for fault in self._active(now)
            if now - fault.start_s >= self._notice_s
        ]
        if not noticed:
            return list(self._names)
        return [
            name
            for name in self._names
            if name == observer
            or not any(_hides(fault, observer, name) for fault in noticed)
        ]

    def _active(self, now: float) -> list[Fault]:
        return [fault for fault in self._faults if is_active(fault, now)]


def _hides(fault: Fault, observer: str, name: str) -> bool:
    if isinstance(fault, Cut):
        return fault.is_noticed and fault.separates(observer, name)
    return name in fault.names
