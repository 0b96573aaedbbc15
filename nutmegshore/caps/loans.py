"""Loans of units between instances."""

import itertools
import math

import attrs

from nutmegshore.caps.demand import Wishes, fair_split
from nutmegshore.caps.drift import WINDOW_S
from nutmegshore.caps.holding import Holding, Part
from nutmegshore.peers import message

__all__ = ('Borrower', 'Lender', 'Loan', 'LoanRequest', 'LoanReturn')

_LOAN_REQUEST = 40
_LOAN = 41
_LOAN_RETURN = 42
_LOAN_S = 6
_EXTEND_S = 3
_ASK_EVERY_S = 0.4
_REQUEST_AGE_S = 2
_SHORTEST_LOAN_S = 0.5
#: A loan above its fair part by less than this is left alone.
_SLACK = 1.25


@message(_LOAN_REQUEST)
@attrs.frozen
class LoanRequest:
    """Asks an owner for units, or to go on with a loan (`extends`).

    `wanted` are all units that the sender wants of this owner, those of its
    present loans included; `owned` are the units that it owns itself.
    """

    cap: str
    request: str
    units: int
    wanted: int
    owned: int
    extends: str = ''


@message(_LOAN)
@attrs.frozen
class Loan:
    """Lends units for some seconds, counted from before the request."""

    cap: str
    request: str
    loan: str
    units: int
    seconds: float


@message(_LOAN_RETURN)
@attrs.frozen
class LoanReturn:
    """Says that the borrower has stopped using the units of a loan."""

    cap: str
    loan: str


class Lender:
    """Answers the loan requests for one cap."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Lend from a holding; the token makes loan ids unique."""
        self._cap = cap
        self._token = token
        self._holding = holding
        self._numbers = itertools.count(1)
        self._wishes = Wishes()

    def answer(
        self,
        now: float,
        sender: str,
        request: LoanRequest,
        wanted: int,
    ) -> Loan | None:
        """Lend what the own demand (`wanted`) leaves; None for nothing."""
        holding = self._holding
        seconds = holding.loan_seconds(now, _LOAN_S)
        if holding.target < holding.units or seconds < _SHORTEST_LOAN_S:
            return None
        allowed = self._allowed(now, sender, request, wanted)
        present = holding.lent.by_key.get(request.extends)
        if present is not None and present.is_open(now, sender):
            return self._extend(now, request, seconds, allowed)
        if request.extends:
            return None
        return self._lend(now, sender, request, (seconds, allowed))

    def take_back(self, now: float, sender: str, returned: LoanReturn) -> None:
        """Use the units of a returned loan again after one window."""
        loan = self._holding.lent.by_key.get(returned.loan)
        if loan is not None and loan.other == sender:
            loan.ends = min(loan.ends, now + WINDOW_S)

    def _allowed(
        self,
        now: float,
        sender: str,
        request: LoanRequest,
        wanted: int,
    ) -> int:
        """Units that this borrower may have in all.

        An owner only gets what the lender does not need itself, since its
        own share is its fair part. Others share evenly with the lender.
        """
        self._wishes.note(now, sender, request.wanted)
        wishes = self._wishes.by_name(now)
        units = self._holding.owned(now)
        if request.owned:
            return fair_split(max(units - wanted, 0), wishes)[sender]
        return fair_split(units, {**wishes, '': wanted})[sender]

    def _lend(
        self,
        now: float,
        sender: str,
        request: LoanRequest,
        terms: tuple[float, int],
    ) -> Loan | None:
        seconds, allowed = terms
        holding = self._holding
        lent = holding.lent.by_other(now)[sender]
        asked = min(request.units, allowed - lent)
        units = min(asked, holding.lendable(now))
        if units < asked:
            holding.reserve(now, asked)
        if units <= 0:
            return None
        key = '{0}-{1}'.format(self._token, next(self._numbers))
        ends = holding.loan_ends(now, seconds)
        holding.lend(now, key, Part(sender, units, ends))
        return Loan(self._cap, request.request, key, units, seconds)

    def _extend(
        self,
        now: float,
        request: LoanRequest,
        seconds: float,
        allowed: int,
    ) -> Loan | None:
        """Go on with a loan; what exceeds the fair part ends as agreed."""
        present = self._holding.lent.by_key[request.extends]
        units = present.units
        if units > allowed * _SLACK + 1:
            units = allowed
        if units <= 0:
            return None
        if units < present.units:
            key = '{0}-{1}'.format(self._token, next(self._numbers))
            rest = attrs.evolve(present, units=present.units - units)
            self._holding.lent.by_key[key] = rest
        present.units = units
        present.ends = max(
            present.ends,
            self._holding.loan_ends(now, seconds),
        )
        return Loan(self._cap, request.request, request.extends, units, seconds)


@attrs.frozen
class _Asked:
    lender: str
    sent_at: float
    extends: str


@attrs.frozen
class _Terms:
    lender: str
    units: int
    wanted: int
    extends: str


def _parts(missing: int, lenders: dict[str, int]) -> dict[str, int]:
    total = sum(lenders.values())
    if missing <= 0 or not total:
        return {}
    return {
        name: math.ceil(missing * _SLACK * units / total)
        for name, units in lenders.items()
    }


class Borrower:
    """Asks owners for units of one cap and keeps what it was lent."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Borrow into a holding; the token makes request ids unique."""
        self._cap = cap
        self._token = token
        self._holding = holding
        self._numbers = itertools.count(1)
        self._asked: dict[str, _Asked] = {}
        self._asked_at: dict[str, float] = {}

    def requests(
        self,
        now: float,
        missing: int,
        lenders: dict[str, int],
    ) -> list[tuple[str, LoanRequest]]:
        """Requests to send now: extensions, and shares of what is missing.

        `lenders` are the owners with their units; each is asked for a part
        in proportion, a little more than needed.
        """
        self._forget(now)
        held = self._holding.borrowed.by_other(now)
        parts = _parts(missing, lenders)
        asked = [
            (loan.other, loan.units, key)
            for key, loan in self._holding.borrowed.by_key.items()
            if loan.ends - now < _EXTEND_S
        ]
        asked.extend((name, units, '') for name, units in parts.items())
        return [
            (
                name,
                self._ask(
                    now,
                    _Terms(name, units, held[name] + parts.get(name, 0), key),
                ),
            )
            for name, units, key in asked
            if self._is_due(now, name + key)
        ]

    def accept(self, sender: str, loan: Loan) -> bool:
        """Keep a loan that this process asked for and got no answer on.

        The loan counts from when the request was sent, so it ends here
        before the lender's count ends. False if it is of no use.
        """
        asked = self._asked.pop(loan.request, None)
        if asked is None or asked.lender != sender:
            return False
        ends = asked.sent_at + loan.seconds
        if asked.extends and asked.extends not in self._holding.borrowed.by_key:
            return False
        self._holding.borrowed.by_key[loan.loan] = Part(
            sender, loan.units, ends
        )
        return True

    def give_back(self, surplus: int) -> list[tuple[str, LoanReturn]]:
        """Drop whole loans within the surplus; returns what to send."""
        returned = []
        for key, loan in sorted(self._holding.borrowed.by_key.items()):
            if loan.units <= surplus:
                surplus -= loan.units
                returned.append((loan.other, LoanReturn(self._cap, key)))
        for _, message_body in returned:
            self._holding.borrowed.by_key.pop(message_body.loan)
        return returned

    def _is_due(self, now: float, subject: str) -> bool:
        if now - self._asked_at.get(subject, -math.inf) < _ASK_EVERY_S:
            return False
        self._asked_at[subject] = now
        return True

    def _ask(self, now: float, terms: '_Terms') -> LoanRequest:
        request = '{0}-{1}'.format(self._token, next(self._numbers))
        self._asked[request] = _Asked(terms.lender, now, terms.extends)
        return LoanRequest(
            cap=self._cap,
            request=request,
            units=terms.units,
            wanted=terms.wanted,
            owned=self._holding.owned(now),
            extends=terms.extends,
        )

    def _forget(self, now: float) -> None:
        self._asked = {
            key: asked
            for key, asked in self._asked.items()
            if now - asked.sent_at < _REQUEST_AGE_S
        }
        self._asked_at = {
            key: asked_at
            for key, asked_at in self._asked_at.items()
            if now - asked_at < _LOAN_S
        }
