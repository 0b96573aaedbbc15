"""Slots that the entries of a region own and lend to each other."""

import collections
from collections.abc import Iterable, Mapping

__all__ = ('SlotLedger',)

_Counts = collections.Counter


class SlotLedger:
    """Slots by upstream that this entry owns, has lent and has borrowed.

    No slot has two owners, so the requests that all entries have in flight
    within their quotas fit into the upstreams, even without load messages. A
    loan is for one request; the borrower's next load message corrects a loan
    whose message was lost.
    """

    def __init__(self) -> None:
        """Start without slots."""
        self.owned: dict[str, int] = {}
        self.borrowed: dict[str, _Counts] = collections.defaultdict(_Counts)
        self._lent: dict[str, _Counts] = {}
        self._net_borrowed: _Counts[str] = _Counts()

    def quota(self, name: str) -> int:
        """Requests that this entry may have in flight at an upstream."""
        return self.owned.get(name, 0) + self._net_borrowed[name]

    def lend(
        self,
        borrower: str,
        count: int,
        spare: Mapping[str, int],
    ) -> dict[str, int]:
        """Lend up to `count` spare slots, from the upstream with most first."""
        loan: dict[str, int] = {}
        for name in sorted(spare, key=spare.__getitem__, reverse=True):
            lendable = min(spare[name], self._lendable(name), count)
            if lendable > 0:
                loan[name] = lendable
                count -= lendable
        self._lent.setdefault(borrower, _Counts()).update(loan)
        self._net_borrowed.subtract(loan)
        return loan

    def borrow(self, lender: str, loan: Mapping[str, int]) -> None:
        """Add borrowed slots to the quota."""
        self.borrowed[lender].update(loan)
        self._net_borrowed.update(loan)

    def record_return(self, borrower: str, loan: Mapping[str, int]) -> None:
        """Add returned slots to the quota, at most as many as were lent."""
        lent = self._lent.get(borrower, _Counts())
        returned = {name: min(loan[name], lent[name]) for name in loan}
        lent.subtract(returned)
        self._net_borrowed.update(returned)

    def return_one(self, name: str) -> str:
        """Remove one borrowed slot and return its lender, or ''."""
        for lender, slots in self.borrowed.items():
            if slots[name] > 0:
                slots[name] -= 1
                self._net_borrowed[name] -= 1
                return lender
        return ''

    def correct(self, borrower: str, loan: Mapping[str, int]) -> None:
        """Replace the loan to a borrower by the one that it reports."""
        self._net_borrowed.update(self._lent.get(borrower, _Counts()))
        self._lent[borrower] = _Counts(loan)
        self._net_borrowed.subtract(loan)

    def forget(self, live: Iterable[str]) -> None:
        """Drop the loans to and from entries that are not live."""
        for entry in set(self._lent) - set(live):
            self._net_borrowed.update(self._lent.pop(entry))
        for entry in set(self.borrowed) - set(live):
            self._net_borrowed.subtract(self.borrowed.pop(entry))

    def borrowed_from(self) -> dict[str, dict[str, int]]:
        """Borrowed slots by lender, for the load message."""
        return {
            lender: {name: count for name, count in slots.items() if count}
            for lender, slots in self.borrowed.items()
        }

    def _lendable(self, name: str) -> int:
        lent = sum(slots[name] for slots in self._lent.values())
        return self.owned.get(name, 0) - lent
