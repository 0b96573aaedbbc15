"""Paths between the members of a network in memory."""

import itertools

from nutmegshore.peers.base import Member

__all__ = ('MemoryPaths',)


class MemoryPaths:
    """Delays and cuts between members, and counts of what they send.

    Delays are set between regions. `cut` stops one direction between two
    members or regions, `partition` both.
    """

    def __init__(self) -> None:
        """Start without delays and cuts."""
        self.sent_bytes: dict[str, int] = {}
        self.sent_messages: dict[str, int] = {}
        self._delays_s: dict[tuple[str, str], float] = {}
        self._cuts: set[tuple[str, str]] = set()

    def set_delay(self, one: str, other: str, seconds: float) -> None:
        """Set the one-way delay between two regions, both ways."""
        self._delays_s[one, other] = seconds
        self._delays_s[other, one] = seconds

    def delay_from(self, source: Member, target: Member) -> float:
        """One-way delay in seconds."""
        return self._delays_s.get((source.region, target.region), 0)

    def cut(self, source: str, target: str) -> None:
        """Drop messages from a member or region to another, one way."""
        self._cuts.add((source, target))

    def partition(self, one: str, other: str) -> None:
        """Cut both directions between two members or regions."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def is_cut(self, source: Member, target: Member) -> bool:
        """Whether messages from the source to the target are dropped."""
        if not self._cuts:
            return False
        ends = itertools.product(
            (source.name, source.region),
            (target.name, target.region),
        )
        return not self._cuts.isdisjoint(ends)

    def count(self, name: str, size: int) -> None:
        """Count a message that a member sends, and its bytes."""
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + size
        self.sent_messages[name] = self.sent_messages.get(name, 0) + 1
