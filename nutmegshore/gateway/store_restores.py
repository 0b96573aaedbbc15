"""Reacts when the store is restored from an older copy."""

from collections.abc import Callable

from nutmegshore.counters import Counters
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.store_events import StoreEraRejected, StoreRestored
from nutmegshore.store import StoreEras

__all__ = ('StoreRestores',)

#: Characters of an unreadable era that are logged.
_MAX_LOGGED_TEXT = 60


class StoreRestores:
    """Logs the restores of the store, and has it read and written again.

    restores = StoreRestores(log, counters)
    restores.on_restore.append(registry.handle_restore)
    restores.follow(store.eras)
    """

    def __init__(self, log: EventLog, counters: Counters) -> None:
        """Start without restores."""
        self.on_restore: list[Callable[[], None]] = []
        self._log = log
        self._counters = counters
        self._rejected = ''

    def follow(self, eras: StoreEras) -> None:
        """React to each new era, and to texts that name none."""
        eras.on_restore.append(self._handle_restore)
        eras.on_unreadable.append(self._handle_unreadable)

    def _handle_restore(self, era: int, previous: int) -> None:
        self._counters.add('store_restores')
        self._log.write(StoreRestored(era, previous))
        for handle_restore in self.on_restore:
            handle_restore()

    def _handle_unreadable(self, text: str) -> None:
        """Count an unreadable era, and log it once while it stays the same."""
        self._counters.add('store_eras_rejected')
        if text == self._rejected:
            return
        self._rejected = text
        self._log.write(StoreEraRejected(text[:_MAX_LOGGED_TEXT]))
