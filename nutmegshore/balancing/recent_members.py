"""The gateways that share an allowance, with those that vanished lately."""

import math
from collections.abc import Callable, Collection

import attrs

from nutmegshore.clock import Clock

__all__ = ('RecentMembers',)

#: Seconds for which a gateway that vanished still counts: it may be alive on
#: the other side of a partition. Longer ones are repaired by an operator.
_REMEMBERED_S = 30
#: Seconds for which a list of gateways is used.
_REFRESH_S = 0.25
#: Seconds after its start in which a gateway may not know the others yet. They
#: may all have started together, while the store was away.
_JOINING_S = 3


@attrs.define
class _Region:
    names: tuple[str, ...]
    read_at: float
    last_seen: dict[str, float]
    recent: frozenset[str]


class RecentMembers:
    """Lists the gateways of a region, and counts those seen in the last 30 s.

    In a partition each side sees only its own gateways. If each side divided an
    allowance by the number of gateways that it sees, the sides together would
    use it twice. The fraction of the recent gateways that is still visible
    tells how much of the allowance one side may use:

        share = rate * members.visible_fraction('west')
    """

    def __init__(
        self, clock: Clock, gateways: Callable[[str], Collection[str]]
    ) -> None:
        """List members by `gateways`; an empty region stands for all."""
        self._clock = clock
        self._gateways = gateways
        self._by_region: dict[str, _Region] = {}
        self._started_at = clock.now()

    @property
    def is_joining(self) -> bool:
        """Whether this gateway has just started and may not know the others."""
        return self._clock.now() - self._started_at < _JOINING_S

    def observe(self, region: str) -> None:
        """Note the gateways of a region; call this every few seconds."""
        self._read(region)

    def names(self, region: str) -> tuple[str, ...]:
        """Return the gateways of a region, as seen at most 0.25 s ago."""
        return self._read(region).names

    def recent_names(self, region: str) -> frozenset[str]:
        """Return the gateways of a region that were seen in the last 30 s.

        Both sides of a partition return the same ones, but for those that one
        of them has not met before. The set is the same object until it changes.
        """
        return self._read(region).recent

    def count(self, region: str) -> int:
        """Return how many gateways were seen in the last 30 s."""
        return len(self._read(region).last_seen)

    def count_sharers(self) -> float:
        """Return how many gateways may share an allowance of the fleet.

        It is infinite while this gateway may not know the others: they may all
        have started together, and each would take the whole.
        """
        return math.inf if self.is_joining else self.count('')

    def sender_region(self, region: str) -> str:
        """Return the region whose gateways send to upstreams in a region.

        It is that region, or empty for all regions if it had no gateways
        lately: one that had some may be cut off from this one.
        """
        return region if self.count(region) else ''

    def visible_fraction(self, region: str) -> float:
        """Return the fraction of the recent gateways that is visible now."""
        found = self._read(region)
        return len(found.names) / max(len(found.last_seen), 1)

    def _read(self, region: str) -> _Region:
        now = self._clock.now()
        found = self._by_region.get(region)
        if found is not None and now - found.read_at < _REFRESH_S:
            return found
        names = tuple(self._gateways(region))
        last_seen = found.last_seen if found else {}
        last_seen.update(dict.fromkeys(names, now))
        kept = _drop_old(last_seen, now - _REMEMBERED_S)
        recent = found.recent if found else frozenset()
        if recent != kept.keys():
            recent = frozenset(kept)
        self._by_region[region] = _Region(names, now, kept, recent)
        return self._by_region[region]


def _drop_old(last_seen: dict[str, float], oldest: float) -> dict[str, float]:
    return {name: at for name, at in last_seen.items() if at >= oldest}
