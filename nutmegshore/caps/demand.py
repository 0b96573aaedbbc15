"""Demand for the units of a cap, local and by peer."""

import collections
import math

import attrs

__all__ = (
    'Demand',
    'PeerDemand',
    'PeerDemands',
    'fair_split',
    'reduced_demand',
)

_SLOT_S = 0.25
_SLOTS_PER_S = 4
_SLOTS = 12
_MAX_DEMAND_AGE_S = 3
_RISE_DEVIATIONS = 4
_SCARCE_DEVIATIONS = 2


class Demand:
    """Units per second that local callers asked for, granted or not."""

    def __init__(self) -> None:
        """Start without demand."""
        self._by_slot: collections.Counter[int] = collections.Counter()

    def record(self, now: float, units: int) -> None:
        """Count units that a caller asks for."""
        self._by_slot[int(now / _SLOT_S)] += units

    def units_needed(self, now: float) -> int:
        """Units per second: the mean of three seconds, or of a clear rise.

        If the last second is further above the mean than random arrivals
        explain, it counts alone, so that a jump shows at once and noise does
        not.
        """
        last = int(now / _SLOT_S)
        self._drop_before(last - _SLOTS)
        mean = -(-self._sum_from(last - _SLOTS) * _SLOTS_PER_S // _SLOTS)
        latest = self._sum_from(last - _SLOTS_PER_S)
        is_rise = latest > mean + _RISE_DEVIATIONS * math.sqrt(mean)
        return latest if is_rise else mean

    def _drop_before(self, oldest: int) -> None:
        for slot in tuple(self._by_slot):
            if slot < oldest:
                self._by_slot.pop(slot)

    def _sum_from(self, start: int) -> int:
        return sum(
            units for slot, units in self._by_slot.items() if slot >= start
        )


@attrs.frozen
class PeerDemand:
    """Units that a peer asked for, and when its request arrived."""

    units: int
    received_at: float


class PeerDemands:
    """Latest demand of each peer of this owner, until it is outdated."""

    def __init__(self) -> None:
        """Start without demand."""
        self._by_name: dict[str, PeerDemand] = {}

    def record(self, now: float, name: str, units: int) -> None:
        """Record the latest demand of a peer."""
        self._by_name[name] = PeerDemand(units, now)

    def by_name(self, now: float) -> dict[str, int]:
        """Demand in units by peer name; drops outdated entries."""
        self._by_name = {
            name: demand
            for name, demand in self._by_name.items()
            if now - demand.received_at < _MAX_DEMAND_AGE_S
        }
        return {name: demand.units for name, demand in self._by_name.items()}


def fair_split(units: int, demands: dict[str, int]) -> dict[str, int]:
    """Split whole units max-min fairly: smallest demands are met first.

    fair_split(10, {'a': 2, 'b': 9, 'c': 9})  # a 2, b 4, c 4
    """
    shares = {}
    remaining = units
    ordered = sorted((demand, name) for name, demand in demands.items())
    for index, (demand, name) in enumerate(ordered):
        shares[name] = min(demand, remaining // (len(ordered) - index))
        remaining -= shares[name]
    return shares


def reduced_demand(demand: int) -> int:
    """Units to hold for a demand while other instances lack units.

    Random arrivals leave part of the held units idle. Holding two standard
    deviations less refuses more requests and leaves fewer units idle.

        reduced_demand(100)  # 80
    """
    return max(demand - _SCARCE_DEVIATIONS * math.isqrt(demand), 0)
