"""Counts of requests that declared shifts moved, or why they did not."""

import collections
import enum

import attrs

from nutmegshore.counters import Counters

__all__ = ('ShiftResult', 'ShiftTally')


class ShiftResult(enum.Enum):
    """Result of a shift for one request that was drawn for it."""

    MOVED = 'moved'
    #: The target region offers no free slots, or its slow start bounds it.
    NO_ROOM = 'no_room'
    #: No unit of the cap is available to this entry.
    NO_UNIT = 'no_unit'


@attrs.frozen
class ShiftTally:
    """Counts results by shift and stores the latest one of each.

    tally.record('west-to-north', ShiftResult.NO_ROOM)
    """

    counters: Counters
    by_name: dict[str, collections.Counter[ShiftResult]] = attrs.field(
        factory=dict,
    )
    latest_by_name: dict[str, ShiftResult] = attrs.field(factory=dict)

    def record(self, name: str, result: ShiftResult) -> None:
        """Count the result of one request."""
        self.by_name.setdefault(name, collections.Counter())[result] += 1
        self.latest_by_name[name] = result
        self.counters.add('shift_requests', shift=name, result=result.value)

    def held_back_by(self, name: str) -> str:
        """Reason why the latest drawn request was not moved, or ''."""
        latest = self.latest_by_name.get(name, ShiftResult.MOVED)
        return '' if latest is ShiftResult.MOVED else latest.value
