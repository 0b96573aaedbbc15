"""Admission of requests within the quotas of their customers."""

import contextlib
import random
from collections.abc import Iterator

from nutmegshore.balancing.customer_quotas import CustomerQuotas, QuotaChange
from nutmegshore.balancing.quota_rule import QuotaBounds
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.gateway.caller_events import CustomerQuotaChanged
from nutmegshore.gateway.customer import Customer
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.platform.bounds import Bounds

__all__ = ('QuotaGate',)

_DEFAULT_BOUNDS = Bounds()
_DIGITS = 3


class QuotaGate:
    """Takes the credit of a request once, and gives it back if it did not run.

    with gate.admit(routed):
        await send(routed)

    Raises `RefusedError` beyond the quota. A refusal is counted; a log line is
    written only as a customer begins or ceases to be limited.
    """

    def __init__(
        self, quotas: CustomerQuotas, log: EventLog, counters: Counters
    ) -> None:
        """Log the changes of `quotas`."""
        self.quotas = quotas
        self._log = log
        self._counters = counters
        quotas.on_change = self._log_change

    @classmethod
    def make(
        cls,
        members: RecentMembers,
        sources: tuple[Clock, random.Random],
        log: EventLog,
        counters: Counters,
        bounds: Bounds = _DEFAULT_BOUNDS,
    ) -> 'QuotaGate':
        """Build the gate and its quotas, from a clock and a random source."""
        quotas = CustomerQuotas(*sources, members, _quota_bounds(bounds))
        return cls(quotas, log, counters)

    def resize(self, bounds: Bounds) -> None:
        """Apply the bounds of reloaded settings."""
        self.quotas.resize(_quota_bounds(bounds))

    @contextlib.contextmanager
    def admit(self, routed: RoutedRequest) -> Iterator[None]:
        """Take the credit of a request for as long as it may run."""
        customer = routed.customer
        if customer is None or not customer.has_quota:
            yield
            return
        self._acquire(customer)
        try:
            yield
        finally:
            if not (routed.may_have_run or routed.runs):
                self.quotas.release(customer, routed.incoming.arrived_at)
                self._counters.add(
                    'customer_credits_returned', customer=customer.name
                )

    def _acquire(self, customer: Customer) -> None:
        wait_s = self.quotas.acquire(customer)
        if not wait_s:
            return
        self._counters.add('customer_quota_refusals', customer=customer.name)
        raise RefusedError(ErrorKind.QUOTA_EXCEEDED, customer.name, wait_s)

    def _log_change(self, change: QuotaChange) -> None:
        event = CustomerQuotaChanged(
            change.customer.name,
            'limited' if change.is_limited else 'free',
            change.customer.max_rate,
            change.customer.burst,
            round(change.state.asked_rate, _DIGITS),
            round(change.state.permitted_rate, _DIGITS),
            round(change.state.sent, _DIGITS),
            round(change.visible_fraction, _DIGITS),
        )
        self._log.write(event)


def _quota_bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(
        bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
    )
