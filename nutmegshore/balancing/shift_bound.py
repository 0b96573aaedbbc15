"""Limit on how fast a region's requests move to or from other regions."""

import random
from collections.abc import Iterable

import attrs

from nutmegshore.balancing.sliding_counts import WINDOW_S, SlidingCounts
from nutmegshore.clock import Clock

__all__ = ('ShiftBound',)

#: Fraction of the bound that one gateway uses. The rest covers chance in the
#: few requests of a window, and windows that are not aligned with these.
_USED_FRACTION = 0.65
#: Below this many requests in a window the fraction is not meaningful.
_MIN_WINDOW_REQUESTS = 6
#: Windows whose requests are kept, the last one included.
_WINDOWS = 4
#: The same for the requests of a whole region.
_MIN_REGION_REQUESTS = 16
#: Credit, in requests, that a gateway may save up while its region moves any.
_MAX_CREDIT = 2
#: Seconds for which the region's sums are valid.
_REGION_MAX_AGE_S = 1.5
#: Fraction of the bound by which one request may exceed the sums of the region.
#: These are a second old or more, so that what runs elsewhere changes by up to
#: twice this value in a window.
_REGION_USED_FRACTION = 0.4


@attrs.define
class _Sent:
    """Requests that were sent within the region and elsewhere."""

    home: int = 0
    away: int = 0


@attrs.frozen
class _RegionSums:
    """Fraction of the region's requests that ran elsewhere, and its time."""

    received_at: float
    away_fraction: float


class ShiftBound:
    """Limits the change of the fraction of requests that run elsewhere.

    The fraction in the last 2 s may differ from that in the 2 s before by at
    most the bound, up or down. With too few requests in the earlier windows, as
    at the start of traffic, there is no limit. A gateway whose part of the
    bound is less than one request saves up fractions of it.

    A gateway of a large fleet sends too few requests for that, and receives the
    sums of its region's last 2 s instead. It then moves the fraction that runs
    elsewhere now, plus or minus the bound, and accumulates fractions of
    requests: the region's fraction changes by the bound in 2 s, however many
    requests each gateway sends. `max_change_per_s` is the fraction that may
    move in one second.

        if bound.try_away():
            bound.record(is_away=True)
    """

    def __init__(
        self,
        clock: Clock,
        max_shift: float,
        rng: random.Random,
    ) -> None:
        """Limit the change of the fraction between two windows."""
        self._clock = clock
        self._region: _RegionSums | None = None
        # With equal initial credits, all gateways would move at once.
        self._initial_credit = rng.random()
        self._away_credit = self._initial_credit
        self._away_debt = self._initial_credit
        self._denied_at = float('-inf')
        self._sent = SlidingCounts(clock, _Sent, windows=_WINDOWS)
        self.set_max_shift(max_shift)

    @property
    def region_away_fraction(self) -> float | None:
        """Fraction of the region's requests that ran elsewhere, or None.

        None means that the region's sums are missing, too small or too old.
        """
        region = self._region
        if (
            region is None
            or self._clock.now() - region.received_at > _REGION_MAX_AGE_S
        ):
            return None
        return region.away_fraction

    def set_max_shift(self, max_shift: float) -> None:
        """Replace the bound on the change of the fraction between windows."""
        self._max_step = max_shift * _USED_FRACTION
        self.max_change_per_s = max_shift * _USED_FRACTION / WINDOW_S
        self._max_region_step = max_shift * _REGION_USED_FRACTION

    def window_counts(self) -> tuple[int, int]:
        """Return own requests of the last window, at home and elsewhere."""
        return _sum_sent(self._sent.window())

    def handle_region(self, home: int, away: int) -> None:
        """Record the requests of all gateways of the region in the last 2 s."""
        if home + away < _MIN_REGION_REQUESTS:
            self._region = None
            return
        self._region = _RegionSums(self._clock.now(), away / (home + away))

    def record(self, *, is_away: bool, is_moving: bool = False) -> None:
        """Count a request that is sent.

        `is_moving` says whether the region moves any requests elsewhere.
        """
        current = self._sent.current()
        if is_away:
            current.away += 1
        else:
            current.home += 1
        credit = self._credit()
        if credit is not None and is_away:
            self._away_credit += credit - 1
        elif credit is not None:
            self._add_credit(credit, is_moving=is_moving)
        away_fraction = self.region_away_fraction
        if away_fraction is None:
            return
        debt = self._away_debt + max(away_fraction - self._max_region_step, 0)
        self._away_debt = max(debt - is_away, 0)

    def try_away(self) -> bool:
        """Return whether one more request may run elsewhere.

        If not, the gateway saves up credit for it.
        """
        is_allowed = self._allows_away()
        if not is_allowed:
            self._denied_at = self._clock.now()
        return is_allowed

    def allows_home(self) -> bool:
        """Return whether one more request may run at home."""
        if self.region_away_fraction is not None:
            return self._away_debt < 1
        previous = self._previous_away_fraction()
        if previous is None:
            return True
        home, away = self.window_counts()
        return away / (home + away + 1) >= previous - self._max_step

    def _add_credit(self, added: float, *, is_moving: bool) -> None:
        """Add the credit of one request.

        Unless the region moves requests or some were held back lately, credit
        above the initial one is not saved up: all gateways would spend it at
        once when the first one comes.
        """
        was_denied = self._clock.now() - self._denied_at <= WINDOW_S
        is_needed = is_moving or was_denied
        max_credit = _MAX_CREDIT if is_needed else self._initial_credit
        saved = min(self._away_credit + added, max_credit)
        self._away_credit = max(self._away_credit, saved)

    def _allows_away(self) -> bool:
        credit = self._credit()
        if credit is not None:
            return self._away_credit + credit >= 1
        previous = self._previous_away_fraction()
        if previous is None:
            return True
        home, away = self.window_counts()
        return (away + 1) / (home + away + 1) <= previous + self._max_step

    def _credit(self) -> float | None:
        """Return the credit of one request, or None if windows are counted.

        In a window of a few requests the bound is less than one of them.
        """
        away_fraction = self.region_away_fraction
        if away_fraction is not None:
            return away_fraction + self._max_region_step
        previous = self._previous_away_fraction()
        if previous is None or sum(self.window_counts()) * self._max_step >= 1:
            return None
        return previous + self._max_step

    def _previous_away_fraction(self) -> float | None:
        """Return the fraction moved in the window before the last.

        With too few requests in it, those of the windows before it count too.
        """
        counts: list[_Sent] = []
        for windows_ago in range(1, _WINDOWS):
            counts.extend(self._sent.window(windows_ago))
            home, away = _sum_sent(counts)
            if home + away >= _MIN_WINDOW_REQUESTS:
                return away / (home + away)
        return None


def _sum_sent(sent: Iterable[_Sent]) -> tuple[int, int]:
    counts = tuple(sent)
    return sum(one.home for one in counts), sum(one.away for one in counts)
