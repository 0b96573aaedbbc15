"""Other ways to keep a quota over all gateways, to compare in the model."""

import random
from types import MappingProxyType

from nutmegshore.balancing.affinity import rank_by_hash
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.balancing.quota_counts import ASKED_S, OwnCounts
from nutmegshore.balancing.quota_rule import QuotaBounds
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.balancing.token_bucket import TokenBucket
from nutmegshore.clock import Clock
from nutmegshore.gateway.customer import Customer

__all__ = ('WAYS', 'Counting', 'DemandShares', 'EqualShares', 'Loans')

#: Fraction of the bound that is used.
_USED_FRACTION = 0.95
#: Fraction of a quota that is divided evenly, beside the demand.
_EVEN_FRACTION = 0.1
_DELAY_S = 0.6
#: Seconds for which lent units are valid, and between two requests for some.
_LOAN_S = 1
_LOAN_PAUSE_S = 0.15
#: Seconds of its demand that a gateway borrows.
_BORROWED_S = 0.5


class _Way(CustomerQuotas):
    """Counts and reports as the chosen way does, and admits otherwise.

    `outbox` holds messages for other gateways: receiver, method and fields.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        members: RecentMembers,
        bounds: QuotaBounds,
    ) -> None:
        super().__init__(clock, rng, members, bounds)
        self.local = ''
        self.outbox: list[tuple[str, str, tuple]] = []
        self._bucket = TokenBucket(0, clock.now())

    def acquire(self, customer: Customer) -> float:
        """Admit a request and return 0, or return a second."""
        own = self._own(customer)
        now = self._clock.now()
        self._fleet.refresh(now)
        is_sent = self._may_send(customer, own.counts, now)
        own.counts.record(now, is_sent=is_sent)
        return 0 if is_sent else 1

    def _take(self, rate: float, depth: float) -> bool:
        self._bucket.refill(self._clock.now(), rate, burst=max(depth, 1))
        if self._bucket.tokens < 1:
            return False
        self._bucket.take()
        return True

    def _depth(self, customer: Customer) -> float:
        """Return how many requests may come at once beside the rate."""
        allowed = self.bounds.allowed(customer.max_rate, customer.burst)
        planned = customer.max_rate * self.bounds.window_s
        return _USED_FRACTION * allowed - planned


class EqualShares(_Way):
    """Each gateway has the same part of the rate, in a token bucket."""

    def _may_send(
        self, customer: Customer, counts: OwnCounts, now: float
    ) -> bool:
        count = max(self._members.count_sharers(), 1)
        return self._take(
            customer.max_rate / count, self._depth(customer) / count
        )


class DemandShares(_Way):
    """Each gateway has the part of the rate that it has of the demand."""

    def _may_send(
        self, customer: Customer, counts: OwnCounts, now: float
    ) -> bool:
        own = counts.asked(now) + 1
        asked = own + self._fleet.total(customer.name).count.asked
        count = max(self._members.count(''), 1)
        share = _EVEN_FRACTION / count + (1 - _EVEN_FRACTION) * own / asked
        return self._take(
            customer.max_rate * share, self._depth(customer) * share
        )


class Counting(_Way):
    """All is admitted until the window is full, as far as is known."""

    def _may_send(
        self, customer: Customer, counts: OwnCounts, now: float
    ) -> bool:
        total = self._fleet.total(customer.name)
        rise = total.count.latest / ASKED_S - (
            total.count.sent / self.bounds.window_s
        )
        known = counts.sent(now) + total.left(now, self.bounds.window_s)
        allowed = self.bounds.allowed(customer.max_rate, customer.burst)
        unseen = max(rise, 0) * _DELAY_S
        return known + unseen + 1 <= _USED_FRACTION * allowed


class Loans(_Way):
    """An owner lends units; a gateway without any refuses and asks for some."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        members: RecentMembers,
        bounds: QuotaBounds,
    ) -> None:
        super().__init__(clock, rng, members, bounds)
        self._units: list[tuple[float, float]] = []
        self._asked_at = float('-inf')
        self._lending = TokenBucket(0, clock.now())

    def handle_loan_request(
        self, borrower: str, units: float, customer: Customer, age_s: float
    ) -> None:
        """Lend what there is of the units that a gateway wants."""
        self._lending.refill(
            self._clock.now(),
            customer.max_rate,
            burst=max(self._depth(customer), 1),
        )
        lent = min(units, int(self._lending.tokens))
        if lent >= 1:
            self._lending.tokens -= lent
            self.outbox.append((borrower, 'handle_loan', (lent,)))

    def handle_loan(self, units: float, age_s: float) -> None:
        """Keep lent units for a second."""
        ends_at = self._clock.now() + _LOAN_S - age_s
        self._units.append((ends_at, units))

    def _may_send(
        self, customer: Customer, counts: OwnCounts, now: float
    ) -> bool:
        self._units = [one for one in self._units if one[0] > now]
        held = sum(units for _, units in self._units)
        wanted = max(counts.asked(now) / ASKED_S * _BORROWED_S, 1)
        if held <= wanted / 2 and now - self._asked_at >= _LOAN_PAUSE_S:
            self._asked_at = now
            self._borrow(int(wanted - held) + 1, customer)
        if not self._units:
            return False
        ends_at, units = self._units.pop(0)
        if units > 1:
            self._units.insert(0, (ends_at, units - 1))
        return True

    def _borrow(self, units: int, customer: Customer) -> None:
        owner = rank_by_hash(customer.name, self._members.names(''))[0]
        fields = (self.local, units, customer)
        if owner == self.local:
            self.handle_loan_request(*fields, age_s=0)
        else:
            self.outbox.append((owner, 'handle_loan_request', fields))


#: The ways by name; the last is the chosen one.
WAYS = MappingProxyType(
    {
        'equal shares': EqualShares,
        'demand shares': DemandShares,
        'loans': Loans,
        'counting': Counting,
        'part of the demand': CustomerQuotas,
    }
)
