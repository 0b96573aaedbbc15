"""Withdraws an era that the store does not name any more."""

from nutmegshore.clock import Clock
from nutmegshore.store import StoreEras

__all__ = ('EraDoubts',)

#: Seconds for which all answers must name an earlier era. A call takes 2 s at
#: most, so that these are not late answers from before a restore.
_DOUBT_S = 2.5


class EraDoubts:
    """Notices that the newest era of a store was wrong.

    The store's answers are in order: after one of an era, no later call gets
    one of an earlier era. If all answers name an earlier era for longer than a
    call may take, the one that named the newest era was wrong.

        EraDoubts(store.eras, clock).follow()
    """

    def __init__(self, eras: StoreEras, clock: Clock) -> None:
        """Start without doubts."""
        self._eras = eras
        self._clock = clock
        self._doubted_since: float | None = None

    def follow(self) -> None:
        """Compare the era of each answer with the newest one."""
        self._eras.on_answer.append(self._handle_answer)

    def _handle_answer(self, era: int) -> None:
        if era >= self._eras.newest:
            self._doubted_since = None
            return
        now = self._clock.now()
        if self._doubted_since is None:
            self._doubted_since = now
        is_steady = now - self._doubted_since >= _DOUBT_S
        # Era 0 stands for a store without eras, which no other one becomes.
        if is_steady and era:
            self._doubted_since = None
            self._eras.withdraw(era)
