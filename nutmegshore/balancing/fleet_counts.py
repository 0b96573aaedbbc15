"""Requests of each customer at the other gateways, from their reports."""

import operator
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

from nutmegshore.balancing.quota_counts import NOTHING, Count

__all__ = ('FleetCounts', 'Told', 'Total')

#: Age in seconds up to which a report counts in full, and from which on it does
#: not count. In between lies the time in which a dead aggregator is replaced.
_FRESH_S = 1.5
_STALE_S = 4

Counts = Mapping[str, Count]

#: Fraction of the gateways at which two reports cover about equally many.
_EQUAL = 0.95

_NONE: Counts = MappingProxyType({})


@attrs.frozen
class Told:
    """What one report says of some gateways.

    It covers `gateways` of them and was sent at `at`, by this gateway's clock.
    Of its counts, `own` is what this gateway had reported. `known` is how many
    gateways the sender saw lately, 0 if it does not know.
    """

    counts: Counts
    gateways: float
    at: float
    known: int = 0
    own: Counts = _NONE

    def weight(self, now: float) -> float:
        """Return the part of the report that still counts."""
        return min(
            max((_STALE_S - (now - self.at)) / (_STALE_S - _FRESH_S), 0), 1
        )


@attrs.define
class Total:
    """Requests of a customer at the other gateways.

    `held` is the last peak of what was sent, which falls to nothing within a
    window. It counts gateways whose reports have ended or begun anew.
    """

    count: Count = NOTHING
    held: float = 0
    held_at: float = 0

    def hold(self, now: float, window_s: float) -> None:
        """Keep the peak, or replace it by the present number."""
        if self.count.sent >= self.left(now, window_s):
            self.held = self.count.sent
            self.held_at = now

    def left(self, now: float, window_s: float) -> float:
        """Return the requests that may be in the window."""
        left = self.held * max(1 - (now - self.held_at) / window_s, 0)
        return max(left, self.count.sent)


class FleetCounts:
    """Adds up the reports of the other gateways.

    In a small fleet, and at aggregators, these are the reports of single
    gateways and of regions; elsewhere it is the last sum of an aggregator.
    Whichever covers more gateways counts.

        fleet.record('gateway-3', told)
        fleet.refresh(clock.now())
        fleet.total('acme').count.sent
    """

    def __init__(self, window_s: float) -> None:
        """Start without reports."""
        self.window_s = window_s
        self.gateways = float(0)
        self.refreshed_at = float('-inf')
        self._direct: dict[str, Told] = {}
        self._summaries: dict[str, Told] = {}
        self._totals: dict[str, Total] = {}

    @property
    def known(self) -> int:
        """How many gateways the others saw lately, 0 if none of them knows."""
        told = (*self._direct.values(), *self._summaries.values())
        return max((one.known for one in told), default=0)

    def record(self, source: str, told: Told) -> None:
        """Replace the report of a gateway or a region.

        An aggregator that has just started covers little of its region; what
        the other one reported is kept while it is fresh.
        """
        before = self._direct.get(source)
        if before is None or told is _choose((before, told), told.at):
            self._direct[source] = told

    def record_summary(self, aggregator: str, told: Told) -> None:
        """Replace the sum over the fleet that an aggregator sent."""
        self._summaries[aggregator] = told

    def total(self, customer: str) -> Total:
        """Return the requests of a customer at the others, by `refresh`."""
        return self._totals.get(customer) or Total()

    def refresh(self, now: float) -> None:
        """Add up what still counts; call this for each report."""
        self.refreshed_at = now
        self._drop_old(now)
        direct = tuple(self._direct.values())
        self.gateways = _count_gateways(direct, now)
        chosen = direct
        if self._summaries:
            summary = _choose(self._summaries.values(), now)
            summed = _count_gateways((summary,), now) - 1
            if summed > self.gateways:
                self.gateways = summed
                chosen = (summary,)
        self._add_up(chosen, now)

    def sum_sources(
        self, sources: Iterable[str], now: float
    ) -> tuple[dict[str, Count], float]:
        """Return the counts of some sources, and the gateways they cover."""
        told = [self._direct[name] for name in sources if name in self._direct]
        return _sum_counts(told, now), _count_gateways(told, now)

    def _drop_old(self, now: float) -> None:
        for by_source in (self._direct, self._summaries):
            for name, told in tuple(by_source.items()):
                if not told.weight(now):
                    by_source.pop(name)

    def _add_up(self, chosen: tuple[Told, ...], now: float) -> None:
        found = _sum_counts(chosen, now)
        for name in found.keys() | self._totals.keys():
            total = self._totals.setdefault(name, Total())
            total.count = found.get(name, NOTHING)
            total.hold(now, self.window_s)
            if not total.left(now, self.window_s):
                self._totals.pop(name)


def _choose(told: Iterable[Told], now: float) -> Told:
    """Return the newest of those that cover about the most gateways."""
    covered = [(one.gateways * one.weight(now), one) for one in told]
    most = max(gateways for gateways, _ in covered)
    return max(
        (one for gateways, one in covered if gateways >= _EQUAL * most),
        key=operator.attrgetter('at'),
    )


def _count_gateways(told: Iterable[Told], now: float) -> float:
    return sum(one.gateways * one.weight(now) for one in told)


def _sum_counts(told: Iterable[Told], now: float) -> dict[str, Count]:
    summed: dict[str, Count] = {}
    for one in told:
        weight = one.weight(now)
        for name, count in one.counts.items():
            part = count.part(one.own.get(name, NOTHING), weight)
            summed[name] = summed.get(name, NOTHING).plus(part)
    return summed
