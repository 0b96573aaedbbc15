"""Entries of the store that cannot be read, logged once and counted."""

from collections.abc import Collection

from nutmegshore.balancing.token_bucket import TokenBucket
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.events import EntryRejected
from nutmegshore.gateway.log import EventLog
from nutmegshore.store import StoredObject
from nutmegshore.store.base import Unnamed

__all__ = ('RejectedEntries',)

#: Lines that may be logged at once, and per second after that.
_BURST = 20
_LINES_PER_S = 0.2


class RejectedEntries:
    """The entries of one gateway that are rejected now.

    A version of an entry is logged once. Many odd entries cost few lines: the
    counter `entries_rejected` counts those that are not logged as well.

        rejected.add(stored, 'Addr: 7')
        rejected.discard(stored.key)
    """

    def __init__(self, log: EventLog, counters: Counters, clock: Clock) -> None:
        """Start without rejected entries."""
        self._log = log
        self._counters = counters
        self._clock = clock
        self._versions: dict[str, int] = {}
        self._unnamed: dict[str, tuple[str, ...]] = {}
        self._lines = TokenBucket(_BURST, clock.now())

    def add(self, stored: StoredObject, reason: str) -> None:
        """Record that a version of an entry cannot be read."""
        if self._versions.get(stored.key) == stored.version:
            return
        self._versions[stored.key] = stored.version
        self._record(stored.key, stored.version, reason)

    def discard(self, key: str) -> None:
        """Record that an entry was read, or is gone."""
        self._versions.pop(key, None)

    def retain(self, prefix: str, keys: Collection[str]) -> None:
        """Drop the entries below a prefix that a listing does not have."""
        for key in tuple(self._versions):
            if key.startswith(prefix) and key not in keys:
                self.discard(key)

    def handle_unnamed(self, prefix: str, unnamed: Unnamed) -> None:
        """Record entries below a prefix whose names cannot be read."""
        known = self._unnamed.get(prefix, ())
        added = () if unnamed.is_listing else known
        self._unnamed[prefix] = (*added, *unnamed.reasons)
        for reason in set(unnamed.reasons) - set(known):
            self._record(prefix, 0, reason)

    def counts(self) -> dict[str, int]:
        """Return the number of rejected entries by kind."""
        counts = {
            prefix: len(reasons) for prefix, reasons in self._unnamed.items()
        }
        for key in self._versions:
            prefix = _prefix(key)
            counts[prefix] = counts.get(prefix, 0) + 1
        return counts

    def _record(self, key: str, version: int, reason: str) -> None:
        self._counters.add('entries_rejected', kind=_prefix(key))
        self._lines.refill(self._clock.now(), _LINES_PER_S, _BURST)
        if self._lines.tokens >= 1:
            self._lines.take()
            self._log.write(EntryRejected(key, version, reason))


def _prefix(key: str) -> str:
    kind = key.partition('/')[0]
    return f'{kind}/'
