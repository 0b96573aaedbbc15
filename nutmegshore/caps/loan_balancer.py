"""Loans of one cap, driven by local and peer demand."""

import functools
import math
from collections.abc import Callable, Iterable
from typing import Any

from nutmegshore.caps.demand import Demand, reduced_demand
from nutmegshore.caps.holding import Holding
from nutmegshore.caps.loans import (
    Borrower,
    Lender,
    Loan,
    LoanRequest,
    LoanReturn,
)

__all__ = ('LoanBalancer',)

#: Borrowed units are returned when the limit exceeds the demand by this
#: factor, and requested below the demand; the gap prevents flapping.
_RETURN_MARGIN = 1.05
#: Seconds for which an owner's report of scarce units counts.
_SCARCE_S = 4

Send = Callable[[str, Any], bool]


class LoanBalancer:
    """Lends and borrows the units of one holding."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Balance a holding; each process draws a new token."""
        self._holding = holding
        self._lender = Lender(cap, token, holding)
        self._borrower = Borrower(cap, token, holding)
        self._demand = Demand()
        self._scarce_until = -math.inf

    def record(self, now: float, units: int, *, is_allowed: bool) -> None:
        """Record a caller's demand; granted concurrency counts as in use."""
        if self._holding.usage.is_rate or not is_allowed:
            self._demand.record(now, units)

    def units_needed(self, now: float) -> int:
        """Units that local callers need at most."""
        return self._demand.units_needed(now) + self._holding.usage.in_use

    def balance(
        self,
        now: float,
        declared: int,
        lenders: dict[str, int],
        send: Send,
    ) -> None:
        """Return surplus units, request missing ones, renew loans."""
        units_needed = min(self.units_needed(now), declared)
        if now < self._scarce_until:
            units_needed = reduced_demand(units_needed)
        limit = self._holding.limit(now)
        needed = max(
            math.ceil(units_needed * _RETURN_MARGIN) + 1,
            self._holding.usage.count(now),
        )
        _send_all(self._borrower.return_units(limit - needed), send)
        missing = units_needed - max(limit, self._holding.owned(now))
        _send_all(self._borrower.requests(now, missing, lenders), send)

    def return_all(self, now: float, send: Send) -> None:
        """Stop using all borrowed units and notify the lenders."""
        units = self._holding.borrowed.units(now)
        _send_all(self._borrower.return_units(units), send)

    @functools.singledispatchmethod
    def handle_message(self, body: Any, now: float, sender: str) -> Any:
        """Handle a message; returns the answer to its sender, if any."""
        raise TypeError(type(body))

    @handle_message.register
    def _(self, body: LoanRequest, now: float, sender: str) -> Loan | None:
        return self._lender.answer(now, sender, body, self.units_needed(now))

    @handle_message.register
    def _(self, body: Loan, now: float, sender: str) -> LoanReturn | None:
        if body.is_scarce:
            self._scarce_until = now + _SCARCE_S
        return self._borrower.accept(sender, body)

    @handle_message.register
    def _(self, body: LoanReturn, now: float, sender: str) -> None:
        self._lender.handle_return(now, sender, body)


def _send_all(messages: Iterable[tuple[str, Any]], send: Send) -> None:
    for name, body in messages:
        send(name, body)
