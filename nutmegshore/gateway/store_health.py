"""Whether the store answers this gateway, for one kind of objects."""

import random

from nutmegshore.clock import Clock
from nutmegshore.errors import PlatformError
from nutmegshore.gateway.events import StoreLost, StoreRegained
from nutmegshore.gateway.log import EventLog

__all__ = ('StoreHealth',)

#: First and longest pause after a failed call; the pause doubles between.
_FIRST_PAUSE_S = 0.15
_MAX_PAUSE_S = 0.8
_MAX_DOUBLINGS = 8
#: Seconds after the store's return in which entries may still be missing.
_RETURN_S = 2.2
_DIGITS = 3


class StoreHealth:
    """Counts failures of calls in a row, and logs when they begin and end.

    contact.record_failure(failure)
    await clock.sleep(contact.pause_s)
    """

    def __init__(self, kind: str, clock: Clock, log: EventLog) -> None:
        """Have called nothing yet."""
        self.is_in_touch = False
        self.has_failed_check = False
        self._kind = kind
        self._clock = clock
        self._log = log
        self._failures = 0
        self._lost_at: float | None = None
        self._regained_at = float('-inf')

    @property
    def is_after_outage(self) -> bool:
        """Whether the store came back so recently that entries may lack."""
        if self._lost_at is not None:
            return True
        return self._clock.now() - self._regained_at < _RETURN_S

    def pause_s(self, rng: random.Random) -> float:
        """Seconds to wait after the last failure."""
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        pause_s = min(_FIRST_PAUSE_S * 2**doublings, _MAX_PAUSE_S)
        return pause_s * (0.5 + rng.random())

    def record_answer(self) -> None:
        """Note that the store answered."""
        self.is_in_touch = True
        self.has_failed_check = False
        self._failures = 0
        self.end_outage()

    def record_failure(self, failure: PlatformError) -> None:
        """Note that a call failed."""
        self.is_in_touch = False
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._clock.now()
            self._log.write(StoreLost(self._kind, str(failure)))

    def end_outage(self) -> None:
        """Note that the objects are current again, from whomever."""
        if self._lost_at is None:
            return
        now = self._clock.now()
        away_s = now - self._lost_at
        self._lost_at = None
        self._regained_at = now
        self._log.write(StoreRegained(self._kind, round(away_s, _DIGITS)))
