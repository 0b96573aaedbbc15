"""Units of one cap that an instance may use now."""

import collections
import math

import attrs

from nutmegshore.caps.clock_drift import WINDOW_S, add_drift_margin
from nutmegshore.caps.ledger import Share
from nutmegshore.caps.window import Usage

__all__ = ('Holding', 'LoanedUnits', 'LoanBook')

_RESERVATION_S = 2


@attrs.define
class LoanedUnits:
    """Units lent to or borrowed from a peer until `ends`."""

    peer: str
    units: int
    ends: float

    def is_open(self, now: float, peer: str) -> bool:
        """Whether this is a current loan with the given peer."""
        return self.peer == peer and now < self.ends


class LoanBook:
    """Loans in one direction, lent or borrowed, by key."""

    def __init__(self) -> None:
        """Start without loans."""
        self.by_key: dict[str, LoanedUnits] = {}

    def units(self, now: float) -> int:
        """Units of all current loans; drops those that have ended."""
        ended = [key for key, loan in self.by_key.items() if now >= loan.ends]
        for key in ended:
            self.by_key.pop(key)
        return sum(current.units for current in self.by_key.values())

    def by_peer(self, now: float) -> collections.Counter[str]:
        """Units of current loans by peer."""
        units: collections.Counter[str] = collections.Counter()
        for current in self.by_key.values():
            if now < current.ends:
                units[current.peer] += current.units
        return units


@attrs.define
class Holding:
    """Owned units minus lent ones plus borrowed ones, and their use.

    Every check compares the ends of lease and loans with the time of use, so
    that an instance that was paused cannot use units that expired meanwhile.
    `handover_s` is how long units stay out of use when their user changes.
    A lent loan ends when its units may be used here again.
    """

    usage: Usage = attrs.field(factory=lambda: Usage(is_rate=True))
    handover_s: float = WINDOW_S
    units: int = 0
    target: int = 0
    target_since: float = -math.inf
    lease_ends: float = -math.inf
    lent: LoanBook = attrs.field(factory=LoanBook)
    borrowed: LoanBook = attrs.field(factory=LoanBook)
    reserved: int = 0
    reserved_until: float = -math.inf

    def owned(self, now: float) -> int:
        """Units under the local lease, less those of a pending cut."""
        if now >= self.lease_ends:
            return 0
        return min(self.units, self.target)

    def limit(self, now: float) -> int:
        """Units that may be in use here now."""
        reserved_units = self.reserved if now < self.reserved_until else 0
        own = self.owned(now) - self.lent.units(now) - reserved_units
        return max(own, 0) + self.borrowed.units(now)

    def has_capacity(self, now: float, units: int) -> bool:
        """Whether this many more units may be used now."""
        return self.usage.count(now) + units <= self.limit(now)

    def lendable(self, now: float) -> int:
        """Owned units that nobody used within the last window.

        To be safe, every use counts as a use of owned units.
        """
        used = self.lent.units(now) + self.usage.count(now)
        return max(self.owned(now) - used, 0)

    def reserve(self, now: float, units: int) -> None:
        """Stop using some units, so that they can be lent after a window."""
        self.reserved = units
        self.reserved_until = now + _RESERVATION_S

    def lend(
        self, now: float, key: str, loan: LoanedUnits, previous_units: int
    ) -> None:
        """Take units out of use before the loan is sent.

        `previous_units` are those that the loan already had.
        """
        self.lent.by_key[key] = loan
        self.reserved = max(
            self.reserved - max(loan.units - previous_units, 0), 0
        )

    def loan_seconds(self, now: float, longest: float) -> float:
        """Seconds of a loan that ends before the local lease on any clock."""
        remaining_s = (self.lease_ends - now) / add_drift_margin(1)
        return min(longest, remaining_s)

    def loan_ends(self, now: float, seconds: float) -> float:
        """Local time at which lent units may be used again."""
        return now + add_drift_margin(seconds + self.handover_s)

    def unreleased(self, now: float) -> int:
        """Units that the ledger must still assign to this instance."""
        if now < self.target_since + WINDOW_S:
            return self.units
        in_use = 0 if self.usage.is_rate else self.usage.in_use
        return max(self.target, self.lent.units(now) + in_use)

    def apply_target(self, now: float, target: int) -> None:
        """Set the target; a cut can be confirmed one window later."""
        if target < self.target:
            self.target_since = now
        self.target = target

    def shrink(self, units: int) -> None:
        """Stop using units before a write gives them up."""
        self.units = min(self.units, units)

    def renew(self, now: float, share: Share, lease_ends: float) -> None:
        """Adopt the share that the ledger assigns under a new lease."""
        self.units = share.units
        self.apply_target(now, share.target)
        self.lease_ends = lease_ends

    def expire_lease(self) -> None:
        """Drop all units: the ledger has no share of this instance."""
        self.units = 0
        self.target = 0
        self.lease_ends = -math.inf
