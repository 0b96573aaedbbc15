"""Rate limits of upstreams, as gateways pass them on to each other."""

from collections.abc import Mapping

from nutmegshore.balancing.candidate_builder import CandidateBuilder
from nutmegshore.balancing.limit_table import LimitStatement
from nutmegshore.clock import Clock

__all__ = ('LimitGossip',)

#: Sent in place of the limit of an upstream that names none any more.
_NO_LIMIT = -1
#: Decimal places of ages in messages.
_DIGITS = 2

_Packed = dict[str, list[float]]


class LimitGossip:
    """Packs the limits that a gateway knows, and applies those of its peers.

    A message holds, by upstream, the requests per second that it accepts (-1:
    no limit any more) and the seconds since an answer said so. Gateways report
    what their own answers said; aggregators pass on all that they know.
    """

    def __init__(
        self, candidate_builder: CandidateBuilder, clock: Clock
    ) -> None:
        """Exchange the limits that `candidate_builder` keeps to."""
        self._candidate_builder = candidate_builder
        self._limits = candidate_builder.limits
        self._clock = clock

    def own(self) -> _Packed:
        """Return what answers to this gateway said."""
        return {
            instance: self._pack(statement)
            for instance, statement in self._limits.statements()
            if statement.is_own
        }

    def known(self) -> _Packed:
        """Return what answers to any gateway said."""
        return {
            instance: self._pack(statement)
            for instance, statement in self._limits.statements()
        }

    def adopt(
        self, packed: Mapping[str, list[float]], transit_s: float = 0
    ) -> None:
        """Apply what a peer knew of registered upstreams `transit_s` ago."""
        for instance, (max_rate, age_s, *_) in packed.items():
            if self._candidate_builder.is_registered(instance):
                known_rate = None if max_rate == _NO_LIMIT else max_rate
                self._limits.handle_peer(
                    instance, known_rate, age_s + transit_s
                )

    def _pack(self, statement: LimitStatement) -> list[float]:
        age_s = self._clock.now() - statement.stated_at
        max_rate = statement.max_rate
        return [
            _NO_LIMIT if max_rate is None else max_rate,
            round(age_s, _DIGITS),
        ]
