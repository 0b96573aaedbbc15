"""History of the table's digests and of the entries that each covers."""

import collections
from collections.abc import Iterable

import attrs

from nutmegshore.resources import Envelope

__all__ = ('DigestHistory',)

_MAX_DIGESTS = 4096
_MAX_POSITIONS = 64


@attrs.define
class _MemberProgress:
    """Positions that a member has reached, with the time of each."""

    process: int
    reached: collections.deque[tuple[int, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_POSITIONS),
    )


class DigestHistory:
    """Derives the entries that a member has from the digest that it sends.

    Each change of the local table has a position. A digest that the local
    table had covers all entries up to its position, so a member that sends
    this digest has them too.
    """

    def __init__(self, digest: bytes) -> None:
        """Start at the current digest of the table."""
        self._positions: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict({digest: 0})
        )
        self._position = 0
        self._by_key: dict[str, tuple[int, int, float]] = {}
        self._progress_by_name: dict[str, _MemberProgress] = {}

    def record(self, digest: bytes, newer: Iterable[Envelope], now: float):
        """Add the digest that results from a merge of newer entries."""
        self._position += 1
        self._positions[digest] = self._position
        if len(self._positions) > _MAX_DIGESTS:
            self._positions.popitem(last=False)
        for envelope in newer:
            merged = (envelope.generation, self._position, now)
            self._by_key[envelope.key] = merged

    def covers(self, digest: bytes) -> bool:
        """Whether the local table has every entry that a digest covers."""
        return digest in self._positions

    def record_digest(
        self,
        name: str,
        process: int,
        digest: bytes,
        now: float,
    ) -> None:
        """Record the digest that a member sent."""
        progress = self._progress_by_name.get(name)
        if progress is None or progress.process != process:
            progress = _MemberProgress(process)
            self._progress_by_name[name] = progress
        position = self._positions.get(digest)
        reached = progress.reached
        if position is None or (reached and reached[-1][0] >= position):
            return
        reached.append((position, now))

    def confirmations(
        self,
        key: str,
        generation: int,
        live: dict[str, int],
    ) -> dict[str, float]:
        """Time at which each live member confirmed an entry.

        `live` maps each member to its process: confirmations by an earlier
        process of the same name do not count.
        """
        latest, position, _ = self._by_key.get(key, (0, 0, 0))
        if latest < generation:
            return {}
        reached = {
            name: self._find_reached_at(name, process, position)
            for name, process in live.items()
        }
        return {
            name: reached_at
            for name, reached_at in reached.items()
            if reached_at is not None
        }

    def merged_at(self, key: str, generation: int) -> float | None:
        """Time at which the table merged this generation or a later one."""
        latest, _, merged_time = self._by_key.get(key, (0, 0, 0))
        return merged_time if latest >= generation else None

    def _find_reached_at(
        self,
        name: str,
        process: int,
        position: int,
    ) -> float | None:
        progress = self._progress_by_name.get(name)
        if progress is None or progress.process != process:
            return None
        times = (
            reached_at
            for reached_position, reached_at in progress.reached
            if reached_position >= position
        )
        return next(times, None)
