"""Precedence of urgent requests while callers are refused."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('RankReservations',)

#: Seconds for which the requests of a refused caller's rank go first: refused
#: callers return within this time.
_RESERVED_S = 2


@attrs.frozen
class _Reservation:
    """Requests less urgent than `rank` wait until `until`."""

    rank: int
    until: float


class RankReservations:
    """Lets the rank of a refused caller, and more urgent ones, go first.

    reservations.record_refusal('orders', rank=0)
    reservations.left_s('orders', rank=1)  # 2
    """

    def __init__(self, clock: Clock) -> None:
        """Start without reservations."""
        self._clock = clock
        self._by_service: dict[str, _Reservation] = {}

    def record_refusal(self, service: str, rank: int) -> None:
        """Let the requests of this rank and of more urgent ones go first."""
        now = self._clock.now()
        found = self._by_service.get(service)
        if found is None or found.until <= now or rank <= found.rank:
            reservation = _Reservation(rank, now + _RESERVED_S)
            self._by_service[service] = reservation

    def left_s(self, service: str, rank: int) -> float:
        """Return the seconds for which more urgent requests go first."""
        found = self._by_service.get(service)
        if found is None or found.rank >= rank:
            return 0
        return max(found.until - self._clock.now(), 0)
