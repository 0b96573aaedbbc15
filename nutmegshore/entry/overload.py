"""Entries that are too busy to be named in look-up answers."""

import asyncio

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.logs import get_logger
from nutmegshore.peers import Peers, message

__all__ = ('OverloadWatch',)

_NUMBER = 70
_CHECK_S = 0.25
#: The event loop runs a timer this late when the process lacks its core.
_LATE_S = 0.1
#: Checks in a row before the state changes, so that one slow callback does
#: not move callers.
_CHECKS = 4
#: A state that is not repeated within this time is forgotten.
_FORGET_S = 3


@message(_NUMBER)
@attrs.frozen
class EntryOverloaded:
    """The sender is too busy; repeated while that lasts."""

    is_overloaded: bool


class OverloadWatch:
    """Watches the delay of the own event loop, and tells the region.

    watch.start()
    watch.overloaded()  # names of busy entries, the local one included
    await watch.stop()
    """

    def __init__(self, peers: Peers, clock: Clock, counters: Counters) -> None:
        """Hear of busy peers; nothing is sent before `start`."""
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._log = get_logger('overload')
        self._seen_at_by_name: dict[str, float] = {}
        self._is_overloaded = False
        self._contrary = 0
        self._task: asyncio.Task | None = None
        peers.subscribe(EntryOverloaded, self._take)

    def start(self) -> None:
        """Begin to watch."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def overloaded(self) -> set[str]:
        """Names of the entries of this region that are too busy now."""
        now = self._clock.now()
        names = {
            name
            for name, seen_at in self._seen_at_by_name.items()
            if now - seen_at <= _FORGET_S
        }
        if self._is_overloaded:
            names.add(self._peers.local.name)
        return names

    def record_delay(self, late_s: float) -> None:
        """Take how late a timer ran, and tell the region of a change."""
        is_late = late_s > _LATE_S
        if is_late == self._is_overloaded:
            self._contrary = 0
        else:
            self._contrary += 1
        is_changed = self._contrary >= _CHECKS
        if is_changed:
            self._is_overloaded = is_late
            self._contrary = 0
            self._log.warning('overload changed', is_overloaded=is_late)
        if is_changed or self._is_overloaded:
            self._counters.add('overloaded_checks')
            self._peers.send_region(EntryOverloaded(self._is_overloaded))

    def _take(self, sender: str, state: EntryOverloaded) -> None:
        if state.is_overloaded:
            self._seen_at_by_name[sender] = self._clock.now()
        else:
            self._seen_at_by_name.pop(sender, None)

    async def _run(self) -> None:
        while True:
            due = self._clock.now() + _CHECK_S
            await self._clock.sleep(_CHECK_S)
            self.record_delay(self._clock.now() - due)
