"""What an instance may use of one cap at this moment."""

import collections
import math

import attrs

from nutmegshore.caps.drift import WINDOW_S, outlast
from nutmegshore.caps.ledger import Share
from nutmegshore.caps.window import Usage

__all__ = ('Holding', 'LoanedUnits', 'LoanBook')

_SET_ASIDE_S = 2


@attrs.define
class LoanedUnits:
    """Units that are lent to or borrowed from another until `ends`."""

    other: str
    units: int
    ends: float

    def is_open(self, now: float, other: str) -> bool:
        """Whether the loan with this other instance has not ended."""
        return self.other == other and now < self.ends


class LoanBook:
    """Loans in one direction by their key."""

    def __init__(self) -> None:
        """Start without loans."""
        self.by_key: dict[str, LoanedUnits] = {}

    def units(self, now: float) -> int:
        """Units of all loans that have not ended; forgets the others."""
        ended = [key for key, loan in self.by_key.items() if now >= loan.ends]
        for key in ended:
            self.by_key.pop(key)
        return sum(part.units for part in self.by_key.values())

    def by_other(self, now: float) -> collections.Counter[str]:
        """Units by the other instance."""
        units: collections.Counter[str] = collections.Counter()
        for part in self.by_key.values():
            if now < part.ends:
                units[part.other] += part.units
        return units


@attrs.define
class Holding:
    """Owned units minus lent ones plus borrowed ones, and their use.

    Every check compares the ends with the time of use, so that an instance
    that was paused cannot use what lapsed while it slept. `hold_s` is how
    long units stay out of use when they change hands. A lent part ends when
    its units may be used here again.
    """

    usage: Usage = attrs.field(factory=lambda: Usage(is_rate=True))
    hold_s: float = WINDOW_S
    units: int = 0
    target: int = 0
    target_since: float = -math.inf
    lease_ends: float = -math.inf
    lent: LoanBook = attrs.field(factory=LoanBook)
    borrowed: LoanBook = attrs.field(factory=LoanBook)
    set_aside: int = 0
    set_aside_ends: float = -math.inf

    def owned(self, now: float) -> int:
        """Units under the own lease, less what is to be cut."""
        if now >= self.lease_ends:
            return 0
        return min(self.units, self.target)

    def limit(self, now: float) -> int:
        """Units that may be in use here now."""
        aside = self.set_aside if now < self.set_aside_ends else 0
        own = self.owned(now) - self.lent.units(now) - aside
        return max(own, 0) + self.borrowed.units(now)

    def has_room(self, now: float, units: int) -> bool:
        """Whether this many more units may be used now."""
        return self.usage.count(now) + units <= self.limit(now)

    def lendable(self, now: float) -> int:
        """Owned units that nobody used within the last window.

        All uses are taken for uses of owned units, the cautious reading.
        """
        taken = self.lent.units(now) + self.usage.count(now)
        return max(self.owned(now) - taken, 0)

    def reserve(self, now: float, units: int) -> None:
        """Stop using some units, so that they can be lent after a window."""
        self.set_aside = units
        self.set_aside_ends = now + _SET_ASIDE_S

    def lend(
        self, now: float, key: str, loan: LoanedUnits, before: int
    ) -> None:
        """Take units out of use for a loan that is about to be sent.

        `before` are the units that this loan already had.
        """
        self.lent.by_key[key] = loan
        self.set_aside = max(self.set_aside - max(loan.units - before, 0), 0)

    def loan_seconds(self, now: float, longest: float) -> float:
        """Length of a loan that ends before the own lease on any clock."""
        left = (self.lease_ends - now) / outlast(1)
        return min(longest, left)

    def loan_ends(self, now: float, seconds: float) -> float:
        """When lent units may be used again, on the own clock."""
        return now + outlast(seconds + self.hold_s)

    def kept(self, now: float) -> int:
        """Units that the ledger must go on assigning to this instance."""
        if now < self.target_since + WINDOW_S:
            return self.units
        busy = 0 if self.usage.is_rate else self.usage.busy
        return max(self.target, self.lent.units(now) + busy)

    def aim_at(self, now: float, target: int) -> None:
        """Follow a cut; it can be confirmed one window later."""
        if target < self.target:
            self.target_since = now
        self.target = target

    def shrink(self, units: int) -> None:
        """Stop using units that a write is about to give up."""
        self.units = min(self.units, units)

    def renew(self, now: float, share: Share, lease_ends: float) -> None:
        """Hold a share that the ledger assigns under a new lease."""
        self.units = share.units
        self.aim_at(now, share.target)
        self.lease_ends = lease_ends

    def expire_lease(self) -> None:
        """Own nothing, since the ledger has no share of this instance."""
        self.units = 0
        self.target = 0
        self.lease_ends = -math.inf
