"""Slots that the entries of a region own and lend to each other."""

import collections
from collections.abc import Iterable, Mapping

__all__ = ('SlotLedger',)

_Counts = collections.Counter


class SlotLedger:
    """Slots by upstream that this entry owns, has lent and has borrowed.

    The parts of all entries are disjoint, so that what each entry has in
    flight within its quota fits into the upstreams without any exchange of
    load. A loan is for one request; a loan message that is lost is corrected
    by the borrower's next load message.
    """

    def __init__(self) -> None:
        """Start without slots."""
        self.owned: dict[str, int] = {}
        self.borrowed: dict[str, _Counts] = collections.defaultdict(_Counts)
        self._lent: dict[str, _Counts] = {}
        self._net: _Counts[str] = _Counts()

    def quota(self, name: str) -> int:
        """Requests that this entry may have in flight at an upstream."""
        return self.owned.get(name, 0) + self._net[name]

    def lend(
        self,
        borrower: str,
        count: int,
        spare: Mapping[str, int],
    ) -> dict[str, int]:
        """Lend up to `count` of the spare slots, the most spare first."""
        loan: dict[str, int] = {}
        for name in sorted(spare, key=spare.__getitem__, reverse=True):
            lendable = min(spare[name], self._lendable(name), count)
            if lendable > 0:
                loan[name] = lendable
                count -= lendable
        self._lent.setdefault(borrower, _Counts()).update(loan)
        self._net.subtract(loan)
        return loan

    def borrow(self, lender: str, loan: Mapping[str, int]) -> None:
        """Take a loan."""
        self.borrowed[lender].update(loan)
        self._net.update(loan)

    def take_back(self, borrower: str, loan: Mapping[str, int]) -> None:
        """Use returned slots again."""
        lent = self._lent.get(borrower, _Counts())
        returned = {name: min(loan[name], lent[name]) for name in loan}
        lent.subtract(returned)
        self._net.update(returned)

    def return_one(self, name: str) -> str:
        """Give one borrowed slot back; returns its lender, or nothing."""
        for lender, slots in self.borrowed.items():
            if slots[name] > 0:
                slots[name] -= 1
                self._net[name] -= 1
                return lender
        return ''

    def correct(self, borrower: str, loan: Mapping[str, int]) -> None:
        """Set what a borrower says that it has."""
        self._net.update(self._lent.get(borrower, _Counts()))
        self._lent[borrower] = _Counts(loan)
        self._net.subtract(loan)

    def forget(self, live: Iterable[str]) -> None:
        """Drop the loans from and to entries that are not live."""
        for gone in set(self._lent) - set(live):
            self._net.update(self._lent.pop(gone))
        for gone in set(self.borrowed) - set(live):
            self._net.subtract(self.borrowed.pop(gone))

    def borrowed_from(self) -> dict[str, dict[str, int]]:
        """Borrowed slots by lender, for the load message."""
        return {
            lender: {name: count for name, count in slots.items() if count}
            for lender, slots in self.borrowed.items()
        }

    def _lendable(self, name: str) -> int:
        lent = sum(slots[name] for slots in self._lent.values())
        return self.owned.get(name, 0) - lent
