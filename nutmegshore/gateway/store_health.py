"""Tracks whether the store is reachable, for one kind of object."""

import random

from nutmegshore.clock import Clock
from nutmegshore.errors import PlatformError
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.store_events import (
    ListingOutdated,
    StoreLost,
    StoreRegained,
)
from nutmegshore.gateway.store_outages import StoreOutages
from nutmegshore.store import StorePosition

__all__ = ('StoreHealth',)

#: Bounds of the exponential backoff after failed calls, in seconds.
_MIN_BACKOFF_S = 0.15
_MAX_BACKOFF_S = 0.8
_MAX_DOUBLINGS = 8
_DIGITS = 3


class StoreHealth:
    """Counts consecutive failed calls and logs when outages begin and end.

    `outages` knows of the answers to other gateways as well.

    health.record_failure(failure)
    await clock.sleep(health.backoff_s(rng))
    """

    def __init__(self, kind: str, clock: Clock, log: EventLog) -> None:
        """Start unreachable, before the first call."""
        self.is_store_reachable = False
        self.has_failed_check = False
        self.outages = StoreOutages(clock)
        self._kind = kind
        self._clock = clock
        self._log = log
        self._failures = 0
        self._is_outdated = False
        self._lost_at: float | None = None

    def backoff_s(self, rng: random.Random) -> float:
        """Seconds to wait before the next call, with jitter."""
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        backoff_s = min(_MIN_BACKOFF_S * 2**doublings, _MAX_BACKOFF_S)
        return backoff_s * (0.5 + rng.random())

    def record_answer(self, waited_s: float = 0) -> None:
        """Record a successful call, whose answer took `waited_s`."""
        self.is_store_reachable = True
        self.has_failed_check = False
        self._failures = 0
        self.outages.record_answer(waited_s=waited_s)
        self.end_outage()

    def record_failure(self, failure: PlatformError) -> None:
        """Record a failed call."""
        self.is_store_reachable = False
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._clock.now()
            self._log.write(StoreLost(self._kind, str(failure)))

    def record_outdated(
        self, listed_at: StorePosition, known_at: StorePosition
    ) -> None:
        """Log the first in a row of listings that are older than known."""
        if self._is_outdated:
            return
        self._is_outdated = True
        event = ListingOutdated(
            self._kind,
            listed_at.era,
            listed_at.revision,
            known_at.era,
            known_at.revision,
        )
        self._log.write(event)

    def record_current(self) -> None:
        """Record a listing that is as new as what is known."""
        self._is_outdated = False

    def end_outage(self) -> None:
        """End the outage: the store or an aggregator is the source again."""
        if self._lost_at is None:
            return
        outage_s = self._clock.now() - self._lost_at
        self._lost_at = None
        self._log.write(StoreRegained(self._kind, round(outage_s, _DIGITS)))
