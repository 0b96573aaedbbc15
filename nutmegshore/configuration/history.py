"""Digests that the table had, and what each of them contains."""

import collections
from collections.abc import Iterable

import attrs

from nutmegshore.resources import Envelope

__all__ = ('DigestHistory',)

_KEPT_DIGESTS = 4096
_KEPT_STANDINGS = 64


@attrs.define
class _Standing:
    """Positions that a member was known to have reached, with the times."""

    process: int
    reached: collections.deque[tuple[int, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=_KEPT_STANDINGS),
    )


class DigestHistory:
    """Tells what a member has from the digest that it sends.

    Each change of the local table is a position. A digest that the local
    table had stands for all entries up to its position, so a member that
    sends it has them too.
    """

    def __init__(self, digest: bytes) -> None:
        """Start at the digest of the table as it is."""
        self._positions: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict({digest: 0})
        )
        self._position = 0
        self._by_key: dict[str, tuple[int, int, float]] = {}
        self._standings: dict[str, _Standing] = {}

    def record(self, digest: bytes, newer: Iterable[Envelope], now: float):
        """Add the digest after a merge of these entries."""
        self._position += 1
        self._positions[digest] = self._position
        if len(self._positions) > _KEPT_DIGESTS:
            self._positions.popitem(last=False)
        for envelope in newer:
            place = (envelope.generation, self._position, now)
            self._by_key[envelope.key] = place

    def covers(self, digest: bytes) -> bool:
        """Whether the local table has all that this digest stands for."""
        return digest in self._positions

    def record_standing(
        self,
        name: str,
        process: int,
        digest: bytes,
        now: float,
    ) -> None:
        """Note the digest that a member sent."""
        standing = self._standings.get(name)
        if standing is None or standing.process != process:
            standing = _Standing(process)
            self._standings[name] = standing
        position = self._positions.get(digest)
        reached = standing.reached
        if position is None or (reached and reached[-1][0] >= position):
            return
        reached.append((position, now))

    def confirmations(
        self,
        key: str,
        generation: int,
        live: dict[str, int],
    ) -> dict[str, float]:
        """Since when each live member is known to have an entry.

        `live` gives the process of each member: what an earlier process of
        the same name had does not count.
        """
        found, position, _ = self._by_key.get(key, (0, 0, 0))
        if found < generation:
            return {}
        reached = {
            name: self._reached_at(name, process, position)
            for name, process in live.items()
        }
        return {name: at for name, at in reached.items() if at is not None}

    def merged_at(self, key: str, generation: int) -> float | None:
        """When the local table took a key at this generation or above."""
        found, _, at = self._by_key.get(key, (0, 0, 0))
        return at if found >= generation else None

    def _reached_at(
        self,
        name: str,
        process: int,
        position: int,
    ) -> float | None:
        standing = self._standings.get(name)
        if standing is None or standing.process != process:
            return None
        times = (at for place, at in standing.reached if place >= position)
        return next(times, None)
