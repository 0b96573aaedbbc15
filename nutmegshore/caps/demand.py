"""Who needs how many units of a cap."""

import collections
import math

import attrs

__all__ = ('Demand', 'PeerDemand', 'PeerDemands', 'fair_split', 'tight')

_SLOT_S = 0.25
_SLOTS_PER_S = 4
_SLOTS = 12
_WISH_AGE_S = 3
_RISE_DEVIATIONS = 4
_TIGHT_DEVIATIONS = 2


class Demand:
    """Units that the own callers asked for, granted or not, per second."""

    def __init__(self) -> None:
        """Start without demand."""
        self._by_slot: collections.Counter[int] = collections.Counter()

    def record(self, now: float, units: int) -> None:
        """Count units that a caller asks for."""
        self._by_slot[int(now / _SLOT_S)] += units

    def wanted(self, now: float) -> int:
        """Units per second: the mean of three seconds, or a clear rise.

        The last second counts alone once it is too far above the mean for
        random arrivals, so that a jump is seen at once and noise is not.
        """
        last = int(now / _SLOT_S)
        self._forget(last - _SLOTS)
        mean = -(-self._sum_from(last - _SLOTS) * _SLOTS_PER_S // _SLOTS)
        latest = self._sum_from(last - _SLOTS_PER_S)
        is_rise = latest > mean + _RISE_DEVIATIONS * math.sqrt(mean)
        return latest if is_rise else mean

    def _forget(self, oldest: int) -> None:
        for slot in tuple(self._by_slot):
            if slot < oldest:
                self._by_slot.pop(slot)

    def _sum_from(self, start: int) -> int:
        return sum(
            units for slot, units in self._by_slot.items() if slot >= start
        )


@attrs.frozen
class PeerDemand:
    """Units that another instance asked for and when it was heard."""

    units: int
    received_at: float


class PeerDemands:
    """What other instances asked this owner for, aged."""

    def __init__(self) -> None:
        """Start without wishes."""
        self._by_name: dict[str, PeerDemand] = {}

    def record(self, now: float, name: str, units: int) -> None:
        """Remember the latest wish of an instance."""
        self._by_name[name] = PeerDemand(units, now)

    def by_name(self, now: float) -> dict[str, int]:
        """Units wished for by name; old wishes are forgotten."""
        self._by_name = {
            name: wish
            for name, wish in self._by_name.items()
            if now - wish.received_at < _WISH_AGE_S
        }
        return {name: wish.units for name, wish in self._by_name.items()}


def fair_split(units: int, wanted: dict[str, int]) -> dict[str, int]:
    """Split whole units so that the smallest wishes are met first.

    fair_split(10, {'a': 2, 'b': 9, 'c': 9})  # a 2, b 4, c 4
    """
    parts = {}
    left = units
    ordered = sorted((wish, name) for name, wish in wanted.items())
    for index, (wish, name) in enumerate(ordered):
        parts[name] = min(wish, left // (len(ordered) - index))
        left -= parts[name]
    return parts


def tight(wanted: int) -> int:
    """Units to hold for a demand while others lack units.

    Random arrivals leave part of their units idle; two standard deviations
    less are refused more often and leave fewer idle.

        tight(100)  # 80
    """
    return max(wanted - _TIGHT_DEVIATIONS * math.isqrt(wanted), 0)
