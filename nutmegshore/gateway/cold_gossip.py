"""Cold upstreams, as gateways pass them on to each other."""

from collections.abc import Iterable, Mapping

from nutmegshore.clock import Clock
from nutmegshore.gateway.cold_starts import ColdSource, ColdStatement
from nutmegshore.gateway.state import FleetState

__all__ = ('MAX_TOLD', 'ColdGossip')

#: Upstreams in one message; those of which the latest is known go first.
MAX_TOLD = 64
#: Sent in place of the time that an upstream stays cold while it is unknown.
_UNKNOWN = -1
#: Decimal places of seconds in messages.
_DIGITS = 2

_Packed = dict[str, list[float]]


class ColdGossip:
    """Packs what a gateway knows of cold upstreams, and applies it to a state.

    A message holds, by upstream, its start in milliseconds since 1970, the
    seconds since something was heard of it, and the seconds for which it stays
    cold (-1 while it may have started again). Gateways report what they found
    themselves; aggregators pass on all that they know.
    """

    def __init__(self, state: FleetState, clock: Clock) -> None:
        """Exchange what `state` knows of cold upstreams."""
        self._state = state
        self._clock = clock

    def own(self) -> _Packed:
        """Return what this gateway found itself."""
        return self._pack(
            statement
            for statement in self._state.cold_starts.iter_news()
            if statement.is_own
        )

    def known(self) -> _Packed:
        """Return what any gateway found."""
        return self._pack(self._state.cold_starts.iter_news())

    def adopt(
        self, packed: Mapping[str, list[float]], transit_s: float = 0
    ) -> None:
        """Apply what a peer knew of registered upstreams `transit_s` ago.

        A later start than the registered one is that of an incarnation whose
        registration has not arrived yet; an earlier one is over.
        """
        sent_at = self._clock.now() - transit_s
        for instance, (born_ms, age_s, left_s, *_) in packed.items():
            upstream = self._state.by_id.get(instance)
            if upstream is None or born_ms < upstream.born_ms:
                continue
            statement = ColdStatement(
                upstream,
                sent_at - max(age_s, 0),
                float('inf') if left_s == _UNKNOWN else sent_at + left_s,
                ColdSource.PEER,
            )
            self._state.cold_starts.handle_peer(statement)

    def _pack(self, statements: Iterable[ColdStatement]) -> _Packed:
        newest = sorted(statements, key=_stated_at, reverse=True)[:MAX_TOLD]
        now = self._clock.now()
        return {
            statement.upstream.instance: [
                statement.upstream.born_ms,
                round(now - statement.stated_at, _DIGITS),
                _left_s(statement, now),
            ]
            for statement in newest
        }


def _stated_at(statement: ColdStatement) -> float:
    return statement.stated_at


def _left_s(statement: ColdStatement, now: float) -> float:
    if statement.is_open:
        return _UNKNOWN
    return round(max(statement.warm_at - now, 0), _DIGITS)
