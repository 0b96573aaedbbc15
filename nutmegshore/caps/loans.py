"""Loans of units between instances."""

import itertools
import math
import zlib

import attrs

from nutmegshore.caps.demand import PeerDemands, fair_split, reduced_demand
from nutmegshore.caps.clock_drift import WINDOW_S
from nutmegshore.caps.holding import Holding, LoanedUnits
from nutmegshore.peers import message

__all__ = ('Borrower', 'Lender', 'Loan', 'LoanRequest', 'LoanReturn')

_LOAN_REQUEST = 40
_LOAN = 41
_LOAN_RETURN = 42
_MAX_LOAN_S = 6
_RENEW_BELOW_S = 3
_MIN_REQUEST_INTERVAL_S = 0.4
_MAX_REQUEST_AGE_S = 2
_MIN_LOAN_S = 0.5
#: A loan stays as large as it is up to this factor above its fair share, and
#: borrowers request this factor of their need over all lenders.
_SLACK = 1.25
#: A borrower asks fewer lenders rather than fewer units than this of each.
_MIN_REQUEST_UNITS = 8


@message(_LOAN_REQUEST)
@attrs.frozen
class LoanRequest:
    """Asks an owner to lend `units` in total, including those already lent.

    `token` identifies the requesting process, `number` rises with each of its
    requests, and `owned` are the units that it owns itself.
    """

    cap: str
    token: str
    number: int
    units: int
    owned: int


@message(_LOAN)
@attrs.frozen
class Loan:
    """Lends `units` in total for `seconds`, counted from the request.

    `lender` identifies the lending process; `token` and `number` are those of
    the request. `is_scarce` says that demand exceeds the lender's units.
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
    """Reports that the borrower uses only `retained` units from now on.

    `number` is the last request that the borrower had sent; the borrower no
    longer accepts an answer to a request up to this one.
    """

    cap: str
    lender: str
    token: str
    number: int
    retained: int


@attrs.frozen
class _Split:
    allowed: int
    reserved: int
    is_scarce: bool


class Lender:
    """Answers the loan requests for one cap."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Lend from a holding; each process draws a new token."""
        self._cap = cap
        self._token = token
        self._holding = holding
        self._remainder_numbers = itertools.count(1)
        self._granted: dict[str, int] = {}
        self._peer_demands = PeerDemands()

    def answer(
        self,
        now: float,
        sender: str,
        request: LoanRequest,
        demand: int,
    ) -> Loan | None:
        """Lend units beyond the local `demand`; None for no loan."""
        holding = self._holding
        seconds = holding.loan_seconds(now, _MAX_LOAN_S)
        if holding.target < holding.units or seconds < _MIN_LOAN_S:
            return None
        split = self._split(now, sender, request, demand)
        key = f'{sender}/{request.token}'
        current = holding.lent.by_key.get(key)
        if current is None or now >= current.ends:
            current = LoanedUnits(sender, 0, now)
        units = self._size(now, current.units, request.units, split)
        if units <= 0:
            return None
        self._retain_remainder(key, current, units)
        ends = max(current.ends, holding.loan_ends(now, seconds))
        holding.lend(now, key, LoanedUnits(sender, units, ends), current.units)
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

    def handle_return(
        self, now: float, sender: str, returned: LoanReturn
    ) -> None:
        """Use returned units again after one window.

        The borrower uses no more than it reports, so that the remainders of
        earlier, larger grants become usable too.
        A return sent before the last granted request is late or repeated and
        is ignored, since the borrower may use more units again.
        """
        key = f'{sender}/{returned.token}'
        current = self._holding.lent.by_key.get(key)
        if current is None or returned.lender != self._token:
            return
        if returned.number < self._granted.get(key, 0):
            return
        units = min(returned.retained, current.units)
        self._retain_remainder(key, current, units)
        current.units = units
        for remainder_key, remainder in self._holding.lent.by_key.items():
            if remainder_key.startswith(f'{key}/'):
                remainder.ends = min(remainder.ends, now + WINDOW_S)

    def _split(
        self,
        now: float,
        sender: str,
        request: LoanRequest,
        demand: int,
    ) -> '_Split':
        """Units that the borrower may have and those reserved here.

        A borrower that is an owner gets only what the lender does not need,
        since its own share is its fair share. Others share evenly with the
        lender.
        """
        self._peer_demands.record(now, sender, request.units)
        peer_demands = self._peer_demands.by_name(now)
        units = self._holding.owned(now)
        is_scarce = sum(peer_demands.values()) > units - demand
        reserved = reduced_demand(demand) if is_scarce else demand
        if not request.owned:
            reserved = fair_split(units, {**peer_demands, '': reserved})['']
        allowed = fair_split(max(units - reserved, 0), peer_demands)[sender]
        return _Split(allowed, reserved, is_scarce)

    def _size(
        self, now: float, lent: int, requested: int, split: '_Split'
    ) -> int:
        """New size of a loan; lowered only if far above the fair share."""
        if lent > math.ceil(split.allowed * _SLACK) + 1:
            return min(split.allowed, requested)
        holding = self._holding
        remaining = (
            holding.owned(now) - holding.lent.units(now) - split.reserved
        )
        more = min(requested - lent, split.allowed - lent, remaining)
        if more <= 0:
            return min(lent, requested)
        lendable = holding.lendable(now)
        if lendable < more:
            holding.reserve(now, more)
        return lent + min(more, lendable)

    def _retain_remainder(
        self, key: str, current: LoanedUnits, units: int
    ) -> None:
        """Keep the units that a smaller loan drops out of use until it ends."""
        if units < current.units:
            number = next(self._remainder_numbers)
            remainder = attrs.evolve(current, units=current.units - units)
            self._holding.lent.by_key[f'{key}/{number}'] = remainder


@attrs.frozen
class _PendingRequest:
    lender: str
    sent_at: float


class Borrower:
    """Requests loans of one cap from its owners and records them."""

    def __init__(self, cap: str, token: str, holding: Holding) -> None:
        """Borrow into a holding; each process draws a new token."""
        self._cap = cap
        self._token = token
        self._holding = holding
        self._number = 0
        self._next_lender = _first_lender(token)
        self._pending: dict[int, _PendingRequest] = {}
        self._requested_at: dict[str, float] = {}
        self._accepted: dict[str, int] = {}

    def requests(
        self,
        now: float,
        missing: int,
        lenders: dict[str, int],
    ) -> list[tuple[str, LoanRequest]]:
        """Requests to send now, for missing units or to renew loans.

        `lenders` maps owners to their units. Each is asked in proportion to
        its units, for a little more than needed in total.
        """
        self._drop_old_requests(now)
        held = self._holding.borrowed.by_peer(now)
        more = _split_request(missing, self._choose_lenders(missing, lenders))
        ending = {
            loaned.peer
            for loaned in self._holding.borrowed.by_key.values()
            if loaned.ends - now < _RENEW_BELOW_S
        }
        return [
            (name, self._request(now, name, held[name] + more.get(name, 0)))
            for name in sorted(ending.union(more))
            if now - self._requested_at.get(name, -math.inf)
            >= _MIN_REQUEST_INTERVAL_S
        ]

    def accept(self, sender: str, loan: Loan) -> LoanReturn | None:
        """Record a loan that answers a pending request of this process.

        The loan counts from when the request was sent, so that it ends here
        before it ends for the lender. A loan smaller than before is confirmed
        by a return, so that the lender can use the remainder before it ends.
        """
        requested = self._pending.get(loan.number)
        if requested is None or (loan.token, sender) != (
            self._token,
            requested.lender,
        ):
            return None
        self._pending.pop(loan.number)
        key = f'{sender}/{loan.lender}'
        if loan.number <= self._accepted.get(key, 0):
            return None
        self._accepted[key] = loan.number
        loaned = LoanedUnits(
            sender, loan.units, requested.sent_at + loan.seconds
        )
        current = self._holding.borrowed.by_key.get(key, loaned)
        self._holding.borrowed.by_key[key] = loaned
        if loaned.units >= current.units:
            return None
        self._drop_pending(sender)
        return self._return(key, loaned)

    def return_units(self, surplus: int) -> list[tuple[str, LoanReturn]]:
        """Stop using a surplus of borrowed units; returns what to send.

        Answers still in transit are ignored from now on, since the lender
        sent them before it received the return.
        """
        returned = []
        for key, loaned in sorted(self._holding.borrowed.by_key.items()):
            units = min(loaned.units, surplus)
            if units > 0:
                surplus -= units
                loaned.units -= units
                returned.append((loaned.peer, self._return(key, loaned)))
        for lender, _ in returned:
            self._drop_pending(lender)
        return returned

    def _choose_lenders(
        self, missing: int, lenders: dict[str, int]
    ) -> dict[str, int]:
        """Choose lenders in rotation, as many as the missing units need."""
        if missing <= 0 or not lenders:
            return {}
        count = math.ceil(missing / _MIN_REQUEST_UNITS)
        if count >= len(lenders):
            return lenders
        names = sorted(lenders)
        start = self._next_lender % len(names)
        self._next_lender += 1
        chosen = (names[start:] + names[:start])[:count]
        return {name: lenders[name] for name in chosen}

    def _return(self, key: str, loaned: LoanedUnits) -> LoanReturn:
        return LoanReturn(
            cap=self._cap,
            lender=key.rpartition('/')[-1],
            token=self._token,
            number=self._number,
            retained=loaned.units,
        )

    def _request(self, now: float, name: str, units: int) -> LoanRequest:
        self._number += 1
        self._requested_at[name] = now
        self._pending[self._number] = _PendingRequest(name, now)
        owned = self._holding.owned(now)
        return LoanRequest(self._cap, self._token, self._number, units, owned)

    def _drop_pending(self, lender: str) -> None:
        self._pending = {
            number: requested
            for number, requested in self._pending.items()
            if requested.lender != lender
        }

    def _drop_old_requests(self, now: float) -> None:
        self._pending = {
            number: requested
            for number, requested in self._pending.items()
            if now - requested.sent_at < _MAX_REQUEST_AGE_S
        }


def _first_lender(token: str) -> int:
    """Start of the rotation; differs by process to spread the requests."""
    return zlib.crc32(token.encode())


def _split_request(missing: int, lenders: dict[str, int]) -> dict[str, int]:
    total = sum(lenders.values())
    if not total:
        return {}
    return {
        name: math.ceil(missing * _SLACK * units / total)
        for name, units in lenders.items()
    }
