"""Loans of units between instances."""

import itertools
import math
import zlib

import attrs

from nutmegshore.caps.demand import PeerDemands, fair_split, tight
from nutmegshore.caps.drift import WINDOW_S
from nutmegshore.caps.holding import Holding, LoanedUnits
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
#: Lent units above the fair part by less than this factor stay lent, and
#: borrowers ask for this many times their need over all lenders.
_SLACK = 1.25
#: Fewer lenders are asked rather than each for fewer units than this.
_SMALLEST_PART = 8


@message(_LOAN_REQUEST)
@attrs.frozen
class LoanRequest:
    """Asks an owner to lend `units` in all, those already lent included.

    `token` names the process that asks, `number` rises with each request of
    it, and `owned` are the units that it owns itself.
    """

    cap: str
    token: str
    number: int
    units: int
    owned: int


@message(_LOAN)
@attrs.frozen
class Loan:
    """Lends `units` in all for some seconds, counted from the request.

    `lender` names the process that lends; `token` and `number` are those of
    the request. `is_scarce` says that others ask for more than there is.
    """

    cap: str
    lender: str
    token: str
    number: int
    units: int
    seconds: float
    is_scarce: bool = False


@message(_LOAN_RETURN)
@attrs.frozen
class LoanReturn:
    """Says that the borrower uses only the units in `kept` from now on.

    `number` is the last request that the borrower had sent; it accepts no
    answer to a request up to this one any more.
    """

    cap: str
    lender: str
    token: str
    number: int
    kept: int


@attrs.frozen
class _Split:
    allowed: int
    keep: int
    is_scarce: bool


class Lender:
    """Answers the loan requests for one cap."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Lend from a holding; the token is new for each process."""
        self._cap = cap
        self._token = token
        self._holding = holding
        self._rests = itertools.count(1)
        self._granted: dict[str, int] = {}
        self._wishes = PeerDemands()

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
        split = self._split(now, sender, request, wanted)
        key = f'{sender}/{request.token}'
        present = holding.lent.by_key.get(key)
        if present is None or now >= present.ends:
            present = LoanedUnits(sender, 0, now)
        units = self._size(now, present.units, request.units, split)
        if units <= 0:
            return None
        self._keep_rest(key, present, units)
        ends = max(present.ends, holding.loan_ends(now, seconds))
        holding.lend(now, key, LoanedUnits(sender, units, ends), present.units)
        self._granted[key] = max(request.number, self._granted.get(key, 0))
        return Loan(
            self._cap,
            self._token,
            request.token,
            request.number,
            units,
            seconds,
            split.is_scarce,
        )

    def take_back(self, now: float, sender: str, returned: LoanReturn) -> None:
        """Use returned units again after one window.

        The borrower uses no more than it says, so that what earlier, larger
        grants left out of use comes back too.
        A return that was sent before the last request that was granted is a
        late or repeated one: the borrower may use more again.
        """
        key = f'{sender}/{returned.token}'
        present = self._holding.lent.by_key.get(key)
        if present is None or returned.lender != self._token:
            return
        if returned.number < self._granted.get(key, 0):
            return
        units = min(returned.kept, present.units)
        self._keep_rest(key, present, units)
        present.units = units
        for rest_key, rest in self._holding.lent.by_key.items():
            if rest_key.startswith(f'{key}/'):
                rest.ends = min(rest.ends, now + WINDOW_S)

    def _split(
        self,
        now: float,
        sender: str,
        request: LoanRequest,
        wanted: int,
    ) -> '_Split':
        """Units that this borrower may have and those to keep here.

        An owner only gets what the lender does not need itself, since its
        own share is its fair part. Others share evenly with the lender.
        """
        self._wishes.record(now, sender, request.units)
        wishes = self._wishes.by_name(now)
        units = self._holding.owned(now)
        is_scarce = sum(wishes.values()) > units - wanted
        keep = tight(wanted) if is_scarce else wanted
        if not request.owned:
            keep = fair_split(units, {**wishes, '': keep})['']
        allowed = fair_split(max(units - keep, 0), wishes)[sender]
        return _Split(allowed, keep, is_scarce)

    def _size(self, now: float, lent: int, asked: int, split: '_Split') -> int:
        """New size of a loan; lowered only when far above the fair part."""
        if lent > math.ceil(split.allowed * _SLACK) + 1:
            return min(split.allowed, asked)
        holding = self._holding
        left = holding.owned(now) - holding.lent.units(now) - split.keep
        more = min(asked - lent, split.allowed - lent, left)
        if more <= 0:
            return min(lent, asked)
        lendable = holding.lendable(now)
        if lendable < more:
            holding.reserve(now, more)
        return lent + min(more, lendable)

    def _keep_rest(self, key: str, present: LoanedUnits, units: int) -> None:
        """Keep what a smaller loan leaves out of use until it ends."""
        if units < present.units:
            number = next(self._rests)
            rest = attrs.evolve(present, units=present.units - units)
            self._holding.lent.by_key[f'{key}/{number}'] = rest


@attrs.frozen
class _Asked:
    lender: str
    sent_at: float


class Borrower:
    """Asks owners for units of one cap and keeps what it was lent."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Borrow into a holding; the token is new for each process."""
        self._cap = cap
        self._token = token
        self._holding = holding
        self._number = 0
        self._turn = _first_turn(token)
        self._asked: dict[int, _Asked] = {}
        self._asked_at: dict[str, float] = {}
        self._accepted: dict[str, int] = {}

    def requests(
        self,
        now: float,
        missing: int,
        lenders: dict[str, int],
    ) -> list[tuple[str, LoanRequest]]:
        """Requests to send now: for what is missing, or to go on.

        `lenders` are the owners with their units; each is asked for a part
        in proportion, a little more than needed.
        """
        self._forget(now)
        held = self._holding.borrowed.by_other(now)
        parts = _parts(missing, self._choose(missing, lenders))
        ending = {
            part.other
            for part in self._holding.borrowed.by_key.values()
            if part.ends - now < _EXTEND_S
        }
        return [
            (name, self._ask(now, name, held[name] + parts.get(name, 0)))
            for name in sorted(ending.union(parts))
            if now - self._asked_at.get(name, -math.inf) >= _ASK_EVERY_S
        ]

    def accept(self, sender: str, loan: Loan) -> LoanReturn | None:
        """Keep a loan that this process asked for and got no answer on.

        The loan counts from when the request was sent, so it ends here
        before the lender's count ends. A smaller loan than before is
        confirmed, so that the lender need not wait for the end of the rest.
        """
        asked = self._asked.get(loan.number)
        if asked is None or (loan.token, sender) != (self._token, asked.lender):
            return None
        self._asked.pop(loan.number)
        key = f'{sender}/{loan.lender}'
        if loan.number <= self._accepted.get(key, 0):
            return None
        self._accepted[key] = loan.number
        part = LoanedUnits(sender, loan.units, asked.sent_at + loan.seconds)
        present = self._holding.borrowed.by_key.get(key, part)
        self._holding.borrowed.by_key[key] = part
        if part.units >= present.units:
            return None
        self._forget_asked(sender)
        return self._return(key, part)

    def give_back(self, surplus: int) -> list[tuple[str, LoanReturn]]:
        """Stop using a surplus of borrowed units; returns what to send.

        Answers that are still under way do not count any more, since they
        were given before the lender knew of the return.
        """
        returned = []
        for key, part in sorted(self._holding.borrowed.by_key.items()):
            units = min(part.units, surplus)
            if units > 0:
                surplus -= units
                part.units -= units
                returned.append((part.other, self._return(key, part)))
        for lender, _ in returned:
            self._forget_asked(lender)
        return returned

    def _choose(self, missing: int, lenders: dict[str, int]) -> dict[str, int]:
        """Pick as many lenders as the missing units are worth, in turn."""
        if missing <= 0 or not lenders:
            return {}
        count = math.ceil(missing / _SMALLEST_PART)
        if count >= len(lenders):
            return lenders
        names = sorted(lenders)
        start = self._turn % len(names)
        self._turn += 1
        chosen = (names[start:] + names[:start])[:count]
        return {name: lenders[name] for name in chosen}

    def _return(self, key: str, part: LoanedUnits) -> LoanReturn:
        return LoanReturn(
            cap=self._cap,
            lender=key.rpartition('/')[-1],
            token=self._token,
            number=self._number,
            kept=part.units,
        )

    def _ask(self, now: float, name: str, units: int) -> LoanRequest:
        self._number += 1
        self._asked_at[name] = now
        self._asked[self._number] = _Asked(name, now)
        owned = self._holding.owned(now)
        return LoanRequest(self._cap, self._token, self._number, units, owned)

    def _forget_asked(self, lender: str) -> None:
        self._asked = {
            number: asked
            for number, asked in self._asked.items()
            if asked.lender != lender
        }

    def _forget(self, now: float) -> None:
        self._asked = {
            number: asked
            for number, asked in self._asked.items()
            if now - asked.sent_at < _REQUEST_AGE_S
        }


def _first_turn(token: str) -> int:
    """Where a process begins in the list of lenders; spreads them."""
    return zlib.crc32(token.encode())


def _parts(missing: int, lenders: dict[str, int]) -> dict[str, int]:
    total = sum(lenders.values())
    if not total:
        return {}
    return {
        name: math.ceil(missing * _SLACK * units / total)
        for name, units in lenders.items()
    }
