"""Quotas of customers, which all gateways keep together."""

import collections
import random
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

import attrs

from nutmegshore.balancing.fleet_counts import FleetCounts, Told
from nutmegshore.balancing.quota_counts import (
    ASKED_S,
    NOTHING,
    Count,
    OwnCounts,
)
from nutmegshore.balancing.quota_rule import (
    DELAY_S,
    FleetUse,
    QuotaBounds,
    QuotaPlan,
)
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.clock import Clock
from nutmegshore.gateway.customer import Customer

__all__ = ('CustomerQuotas', 'QuotaChange', 'QuotaState')

#: Gateways that there may be while this one knows no other. Each then uses a
#: part that is small enough for all of them to start at once.
_MAX_GATEWAYS = 300
#: Seconds without a refusal after which a customer is not limited any more.
_LIMITED_S = 5
#: Seconds after which the sums are computed anew without a report.
_REFRESH_S = 0.5
#: Requests by which a gateway may always exceed its usual number: so many come
#: by chance.
_MIN_RISE = 3
#: Fraction of the headroom that all gateways have in equal parts; the rest is
#: divided as the demand is.
_EVEN_FRACTION = 0.3
#: Aggregators that a gateway reports to, with some that were replaced lately.
_RECEIVERS = 4
#: Most requests that may be admitted beyond the permitted fraction, because as
#: many were given back.
_MAX_CREDIT = 2

_DEFAULT_BOUNDS = QuotaBounds()

_Counts = dict[str, Count]
_NONE: Mapping[str, Count] = MappingProxyType({})


@attrs.frozen
class QuotaState:
    """The use of a quota by all gateways, as this one knows it.

    `asked_rate` is the demand and `permitted_rate` what may be sent, in
    requests per second; `sent` is the number sent in the window. This gateway
    has room for `own_room` more requests.
    """

    asked_rate: float
    permitted_rate: float
    sent: float
    own_room: float

    @property
    def fraction(self) -> float:
        """The part of the requests that is admitted."""
        if self.asked_rate <= self.permitted_rate:
            return 1
        return self.permitted_rate / self.asked_rate

    def wait_s(self, window_s: float) -> float:
        """Return the seconds after which there is room.

        The window has to turn over in the measure of what is refused.
        """
        if not self.permitted_rate:
            return window_s
        turn_s = (1 - self.fraction) * window_s
        return min(max(turn_s, 1 / self.permitted_rate), window_s)


@attrs.frozen
class QuotaChange:
    """A customer began to be limited at this gateway, or ceased to be."""

    customer: Customer
    is_limited: bool
    state: QuotaState
    visible_fraction: float


@attrs.define
class _Own:
    """A customer at this gateway.

    `credit` is the part of a request that was permitted and not used. Its first
    value is random, so that the gateways do not admit their first request of
    many all at once, or none of them.
    """

    customer: Customer
    counts: OwnCounts
    credit: float
    refused_at: float | None = None


class CustomerQuotas:
    """Keeps the requests of each customer at all gateways within its quota.

    Gateways report how much each customer asked for in the last half second
    and how much was sent in the window. From the sums, each computes the same
    rate that all may send together, and the part of the demand that this is.
    It admits that part of its own requests, so that it does not matter to
    which gateways callers connect. Only what has changed within the delay of
    the reports is not known.

        wait_s = quotas.acquire(customer)
        if wait_s:
            refuse(wait_s)

    `release` returns one that was admitted and then did not run. `on_change` is
    called when a customer begins or ceases to be limited.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        members: RecentMembers,
        bounds: QuotaBounds = _DEFAULT_BOUNDS,
    ) -> None:
        """Keep the bounds together with the gateways of `members`."""
        self.on_change: Callable[[QuotaChange], None] | None = None
        self.bounds = bounds
        self._clock = clock
        self._rng = rng
        self._members = members
        self._fleet = FleetCounts(bounds.window_s)
        self._by_name: dict[str, _Own] = {}
        self._told: dict[str, _Counts] = {}

    def acquire(self, customer: Customer) -> float:
        """Admit a request and return 0, or return the seconds until room."""
        if not customer.has_quota:
            return 0
        own = self._own(customer)
        now = self._clock.now()
        state = self._state(own, is_asking=True)
        own.credit = min(own.credit + state.fraction, _MAX_CREDIT)
        is_admitted = own.credit >= 1 and state.own_room >= 1
        own.counts.record(now, is_sent=is_admitted)
        if is_admitted:
            own.credit -= 1
            return 0
        if own.refused_at is None:
            self._report_change(own, is_limited=True)
        own.refused_at = now
        return state.wait_s(self.bounds.window_s)

    def release(self, customer: Customer, admitted_at: float) -> None:
        """Return the credit of a request that did not run.

        `admitted_at` is the clock's time of its admission.
        """
        own = self._by_name.get(customer.name)
        if own is None:
            return
        own.counts.give_back(self._clock.now(), admitted_at)
        own.credit = min(own.credit + 1, _MAX_CREDIT)

    def states(self) -> dict[str, QuotaState]:
        """Return the use of each quota that was used here lately."""
        return {
            name: self._state(own, is_asking=False)
            for name, own in self._by_name.items()
        }

    def resize(self, bounds: QuotaBounds) -> None:
        """Replace the bounds.

        Another length of the window begins without counts, so that the first
        window may exceed the quota.
        """
        if bounds.window_s != self.bounds.window_s:
            self._by_name.clear()
            self._fleet = FleetCounts(bounds.window_s)
        self.bounds = bounds

    def visible_fraction(self) -> float:
        """Return the part of the gateways that reported lately."""
        known = self._members.count('')
        if self._members.is_joining:
            known = max(known, self._fleet.known or _MAX_GATEWAYS)
        return min((1 + self._fleet.gateways) / max(known, 1), 1)

    def known_gateways(self) -> int:
        """Return how many gateways were seen lately, 0 if it is not known."""
        return 0 if self._members.is_joining else self._members.count('')

    def own(self, receiver: str = '') -> _Counts:
        """Return this gateway's counts, as they are reported.

        What `receiver` was told last is subtracted from the sums that it sends.
        """
        now = self._clock.now()
        self._forget_idle(now)
        counts = {
            name: own.counts.report(now) for name, own in self._by_name.items()
        }
        if receiver:
            self._told = _put_last(self._told, receiver, counts)
        self._fleet.refresh(now)
        return counts

    def sum_sources(self, sources: Iterable[str]) -> tuple[_Counts, float]:
        """Return the counts of this gateway and of some sources.

        These are gateways or regions that have reported. The number of gateways
        that the counts cover comes second.
        """
        now = self._clock.now()
        summed, gateways = self._fleet.sum_sources(sources, now)
        for name, own in self._by_name.items():
            others = summed.get(name, NOTHING)
            summed[name] = others.plus(own.counts.report(now))
        return summed, gateways + 1

    def adopt(
        self,
        source: str,
        counts: _Counts,
        gateways: float,
        known: int,
        age_s: float,
    ) -> None:
        """Record the report of a gateway, or of all gateways of a region."""
        at = self._clock.now() - age_s
        self._fleet.record(source, Told(counts, gateways, at, known))

    def adopt_summary(
        self,
        source: str,
        counts: _Counts,
        gateways: float,
        known: int,
        age_s: float,
    ) -> None:
        """Record the sum over all gateways, of an aggregator."""
        now = self._clock.now()
        own = self._told.get(source, _NONE)
        self._fleet.record_summary(
            source, Told(counts, gateways, now - age_s, known, own)
        )
        self._fleet.refresh(now)

    def _own(self, customer: Customer) -> _Own:
        own = self._by_name.get(customer.name)
        if own is None:
            counts = OwnCounts(self.bounds.window_s)
            own = _Own(customer, counts, self._rng.random())
            self._by_name[customer.name] = own
        own.customer = customer
        return own

    def _state(self, own: _Own, *, is_asking: bool) -> QuotaState:
        now = self._clock.now()
        if now - self._fleet.refreshed_at > _REFRESH_S:
            self._fleet.refresh(now)
        use = self._use(own, now, is_asking=is_asking)
        customer = own.customer
        plan = QuotaPlan(self.bounds, customer.max_rate, customer.burst, use)
        return QuotaState(
            use.asked_rate,
            plan.permitted_rate,
            use.sent_or_held,
            _own_room(own.counts, plan, 1 + self._fleet.gateways, now),
        )

    def _use(self, own: _Own, now: float, *, is_asking: bool) -> FleetUse:
        """Return what is known of the use of a quota.

        If this gateway's demand has just risen, so has that of the others.
        """
        total = self._fleet.total(own.customer.name)
        count = own.counts.report(now)
        own_asked = count.asked + is_asking
        asked = own_asked + total.count.asked * own.counts.rise(now)
        return FleetUse(
            count,
            total.count,
            asked / ASKED_S,
            own_asked / max(asked, 1),
            total.left(now, self.bounds.window_s),
            self.visible_fraction(),
        )

    def _forget_idle(self, now: float) -> None:
        """Drop customers without requests, and report ends of limits."""
        for name, own in tuple(self._by_name.items()):
            refused_at = own.refused_at
            if refused_at is not None and now - refused_at >= _LIMITED_S:
                own.refused_at = None
                self._report_change(own, is_limited=False)
            if own.counts.is_empty(now) and own.refused_at is None:
                self._by_name.pop(name)

    def _report_change(self, own: _Own, *, is_limited: bool) -> None:
        if self.on_change is not None:
            self.on_change(
                QuotaChange(
                    own.customer,
                    is_limited,
                    self._state(own, is_asking=False),
                    self.visible_fraction(),
                )
            )


def _own_room(
    counts: OwnCounts, plan: QuotaPlan, gateways: float, now: float
) -> float:
    """Return how many more requests one of some gateways may send.

    The others do not know yet what it sent in the last second. That may exceed
    its usual number by its part of the headroom.
    """
    demand_part = (1 - _EVEN_FRACTION) * plan.use.own_part
    part = _EVEN_FRACTION / gateways + demand_part
    lately = counts.sent_lately(now, DELAY_S)
    extra = max(part * (plan.headroom + lately), _MIN_RISE)
    return counts.usual(now, DELAY_S) + extra - lately


def _put_last(
    told: dict[str, _Counts], receiver: str, counts: _Counts
) -> dict[str, _Counts]:
    """Add what a receiver was told, and drop what others were long ago."""
    others = [(name, old) for name, old in told.items() if name != receiver]
    kept = collections.deque(others, maxlen=_RECEIVERS - 1)
    return dict([*kept, (receiver, counts)])
