"""Log of configuration changes for the watches of operators."""

import asyncio
import collections
import contextlib

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, ObjectError
from nutmegshore.resources import Envelope

__all__ = ('ChangeLog', 'TableChanges')

_DEFAULT_KEPT = 4096
_DEFAULT_WATCHES = 64
_WAIT_S = 30
_SEPARATOR = ':'


@attrs.frozen
class TableChanges:
    """Changes since a position, and the position to continue from.

    With `is_complete` the list contains every object in force instead,
    because the changes since the position are not known here.
    """

    position: str
    envelopes: tuple[Envelope, ...]
    is_complete: bool = False


class ChangeLog:
    """The latest changes of a configuration table, in order.

    Positions contain the name of this run of the process (`epoch`), so a
    position from before a restart or from another entry is recognised and
    answered with all objects.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        epoch: str,
        max_watches: int = _DEFAULT_WATCHES,
        max_kept: int = _DEFAULT_KEPT,
    ) -> None:
        """Record changes of the table from now on."""
        self._table = table
        self._epoch = epoch
        self._max_watches = max_watches
        self._watches = 0
        self._last = 0
        self._kept: collections.deque[Envelope] = collections.deque(
            maxlen=max_kept,
        )
        self._changed = asyncio.Event()
        table.subscribe(self._record)

    async def wait(self, after: str, wait_s: float = _WAIT_S) -> TableChanges:
        """Changes after a position; waits up to `wait_s` for the first.

        Raises `ObjectError` of kind overloaded when too many watches wait.
        """
        number = self._parse_position(after)
        if number is None:
            envelopes = tuple(self._table.iter_all())
            return TableChanges(self._position, envelopes, is_complete=True)
        if self._watches >= self._max_watches:
            raise ObjectError(ErrorKind.OVERLOADED, 'too many watches')
        with contextlib.ExitStack() as stack:
            self._watches += 1
            stack.callback(self._end_watch)
            await self._wait_until_after(number, wait_s)
        return self._since(number)

    @property
    def _position(self) -> str:
        return f'{self._epoch}{_SEPARATOR}{self._last}'

    def _end_watch(self) -> None:
        self._watches -= 1

    async def _wait_until_after(self, number: int, wait_s: float) -> None:
        if self._last > number:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), wait_s)

    def _since(self, number: int) -> TableChanges:
        missed = self._last - number
        if missed > len(self._kept):
            envelopes = tuple(self._table.iter_all())
            return TableChanges(self._position, envelopes, is_complete=True)
        skipped = len(self._kept) - missed
        envelopes = tuple(self._kept)[skipped:]
        return TableChanges(self._position, envelopes)

    def _parse_position(self, after: str) -> int | None:
        epoch, _, number = after.rpartition(_SEPARATOR)
        if epoch != self._epoch or not number.isdecimal():
            return None
        return int(number) if int(number) <= self._last else None

    def _record(self, newer: list[Envelope]) -> None:
        self._kept.extend(newer)
        self._last += len(newer)
        self._changed.set()
        self._changed = asyncio.Event()
