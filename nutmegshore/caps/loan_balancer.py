"""Loans of one cap, driven by the demand here and elsewhere."""

import functools
import math
from collections.abc import Callable, Iterable
from typing import Any

from nutmegshore.caps.demand import Demand, tight
from nutmegshore.caps.holding import Holding
from nutmegshore.caps.loans import (
    Borrower,
    Lender,
    Loan,
    LoanRequest,
    LoanReturn,
)

__all__ = ('LoanBalancer',)

#: Borrowed units are given back when the limit exceeds the demand by this
#: factor, and asked for below the demand; the gap prevents flapping.
_RETURN_MARGIN = 1.05
#: How long an owner's word counts that others lack units.
_SCARCE_S = 4

Send = Callable[[str, Any], bool]


class LoanBalancer:
    """Lends and borrows the units of one holding."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Trade for a holding; the token is new for each process."""
        self._holding = holding
        self._lender = Lender(cap, token, holding)
        self._borrower = Borrower(cap, token, holding)
        self._demand = Demand()
        self._scarce_until = -math.inf

    def record(self, now: float, units: int, *, is_allowed: bool) -> None:
        """Count a caller's wish; units in use until released count once."""
        if self._holding.usage.is_rate or not is_allowed:
            self._demand.record(now, units)

    def wanted(self, now: float) -> int:
        """Units that the own callers need at most."""
        return self._demand.wanted(now) + self._holding.usage.busy

    def balance(
        self,
        now: float,
        declared: int,
        lenders: dict[str, int],
        send: Send,
    ) -> None:
        """Give back what is over, ask for what is missing or ends soon."""
        wanted = min(self.wanted(now), declared)
        if now < self._scarce_until:
            wanted = tight(wanted)
        limit = self._holding.limit(now)
        needed = max(
            math.ceil(wanted * _RETURN_MARGIN) + 1,
            self._holding.usage.count(now),
        )
        _send_all(self._borrower.give_back(limit - needed), send)
        missing = wanted - max(limit, self._holding.owned(now))
        _send_all(self._borrower.requests(now, missing, lenders), send)

    def give_back_all(self, now: float, send: Send) -> None:
        """Stop using all borrowed units and say so."""
        units = self._holding.borrowed.units(now)
        _send_all(self._borrower.give_back(units), send)

    @functools.singledispatchmethod
    def receive(self, body: Any, now: float, sender: str) -> Any:
        """Handle a message; returns the answer to its sender, if any."""
        raise TypeError(type(body))

    @receive.register
    def _(self, body: LoanRequest, now: float, sender: str) -> Loan | None:
        return self._lender.answer(now, sender, body, self.wanted(now))

    @receive.register
    def _(self, body: Loan, now: float, sender: str) -> LoanReturn | None:
        if body.is_scarce:
            self._scarce_until = now + _SCARCE_S
        return self._borrower.accept(sender, body)

    @receive.register
    def _(self, body: LoanReturn, now: float, sender: str) -> None:
        self._lender.take_back(now, sender, body)


def _send_all(messages: Iterable[tuple[str, Any]], send: Send) -> None:
    for name, body in messages:
        send(name, body)
