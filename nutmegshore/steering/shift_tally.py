"""How often declared shifts moved a request, and why they did not."""

import collections
import enum

import attrs

from nutmegshore.counters import Counters

__all__ = ('ShiftResult', 'ShiftTally')


class ShiftResult(enum.Enum):
    """How a shift treated one request that was drawn for it."""

    MOVED = 'moved'
    #: The target region has no free slots to offer, or starts slowly.
    NO_ROOM = 'no_room'
    #: This entry may use no unit of the cap now.
    NO_UNIT = 'no_unit'


@attrs.frozen
class ShiftTally:
    """Counts results by shift, and keeps the latest one of each.

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
        """Why the latest drawn request was not moved, or ''."""
        latest = self.latest_by_name.get(name, ShiftResult.MOVED)
        return '' if latest is ShiftResult.MOVED else latest.value
