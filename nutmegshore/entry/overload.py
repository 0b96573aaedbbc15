"""Detection of entries too overloaded to appear in look-up answers."""

import asyncio

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.logs import get_logger
from nutmegshore.peers import Peers, message

__all__ = ('OverloadWatch',)

_MESSAGE_NUMBER = 70
_CHECK_INTERVAL_S = 0.25
#: Timer delay, in seconds, above which the process is short of CPU time.
_MAX_DELAY_S = 0.1
#: Consecutive checks before the state changes, so that one slow callback
#: does not move callers.
_CHECKS_TO_CHANGE = 4
#: Time after which a peer's state expires unless the peer repeats it.
_REPORT_TTL_S = 3


@message(_MESSAGE_NUMBER)
@attrs.frozen
class EntryOverloaded:
    """Overload state of the sender, repeated while it is overloaded."""

    is_overloaded: bool


class OverloadWatch:
    """Measures the delay of the event loop and reports overload to peers.

    watch.start()
    watch.overloaded()  # names of overloaded entries, also the local one
    await watch.stop()
    """

    def __init__(self, peers: Peers, clock: Clock, counters: Counters) -> None:
        """Subscribe to reports of peers; nothing is sent before `start`."""
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._log = get_logger('overload')
        self._reported_at_by_name: dict[str, float] = {}
        self._is_overloaded = False
        self._contrary_checks = 0
        self._task: asyncio.Task | None = None
        peers.subscribe(EntryOverloaded, self._handle_report)

    def start(self) -> None:
        """Start the periodic check."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def overloaded(self) -> set[str]:
        """Names of the entries of this region that are overloaded now."""
        now = self._clock.now()
        names = {
            name
            for name, reported_at in self._reported_at_by_name.items()
            if now - reported_at <= _REPORT_TTL_S
        }
        if self._is_overloaded:
            names.add(self._peers.local.name)
        return names

    def record_delay(self, delay_s: float) -> None:
        """Record a timer's delay in seconds and send overload to the region."""
        is_late = delay_s > _MAX_DELAY_S
        if is_late == self._is_overloaded:
            self._contrary_checks = 0
        else:
            self._contrary_checks += 1
        is_changed = self._contrary_checks >= _CHECKS_TO_CHANGE
        if is_changed:
            self._is_overloaded = is_late
            self._contrary_checks = 0
            self._log.warning('overload changed', is_overloaded=is_late)
        if is_changed or self._is_overloaded:
            self._counters.add('overloaded_checks')
            self._peers.send_region(EntryOverloaded(self._is_overloaded))

    def _handle_report(self, sender: str, state: EntryOverloaded) -> None:
        if state.is_overloaded:
            self._reported_at_by_name[sender] = self._clock.now()
        else:
            self._reported_at_by_name.pop(sender, None)

    async def _run(self) -> None:
        while True:
            due = self._clock.now() + _CHECK_INTERVAL_S
            await self._clock.sleep(_CHECK_INTERVAL_S)
            self.record_delay(self._clock.now() - due)
