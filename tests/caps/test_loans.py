"""Tests of the rules for lenders and borrowers."""

from nutmegshore.caps.clock_drift import WINDOW_S
from nutmegshore.caps.holding import Holding
from nutmegshore.caps.ledger import Share
from nutmegshore.caps.loans import Borrower, Lender

_UNITS = 20


def _lender(lease_ends=600):
    holding = Holding()
    share = Share('a', '1', _UNITS, _UNITS, 600, 1)
    holding.renew(0, share, lease_ends)
    return holding, Lender('cap', 'lender', holding)


def _borrower():
    holding = Holding()
    return holding, Borrower('cap', 'borrower', holding)


def _lend(lender, borrower, now, units=10):
    sent = borrower.requests(now, units, {'a': _UNITS})
    return lender.answer(now + 0.1, 'b', sent[0][1], 0)


def test_units_used_within_the_window_are_not_lent():
    """Guards against one unit used at both ends within a second."""
    holding, lender = _lender()
    holding.usage.record(0, _UNITS - 3)
    _, borrower = _borrower()
    assert _lend(lender, borrower, 0).units == 3


def test_the_borrower_counts_from_before_its_request():
    """Guards against a slow answer that lengthens the loan."""
    _, lender = _lender()
    holding, borrower = _borrower()
    loan = _lend(lender, borrower, 0)
    borrower.accept('a', loan)
    assert holding.limit(loan.seconds - 0.01) == loan.units
    assert holding.limit(loan.seconds) == 0


def test_the_lender_waits_for_end_window_and_drift():
    """Guards against units used while a slow borrower still has them."""
    holding, lender = _lender()
    _, borrower = _borrower()
    loan = _lend(lender, borrower, 0)
    end = 0.1 + (loan.seconds + 1) * 1.005 / 0.995
    assert holding.limit(end) == _UNITS - loan.units


def test_a_loan_ends_before_the_lease_of_its_lender():
    """Guards against a borrower that outlives the lender's share."""
    _, lender = _lender(lease_ends=3)
    _, borrower = _borrower()
    loan = _lend(lender, borrower, 0)
    assert 0.1 + loan.seconds / 0.995 < 3 / 1.005


def test_returned_units_wait_for_a_window():
    """Guards against use right after the borrower's last use."""
    holding, lender = _lender()
    _, borrower = _borrower()
    loan = _lend(lender, borrower, 0)
    borrower.accept('a', loan)
    returned = borrower.return_units(loan.units)[0][1]
    lender.handle_return(1, 'b', returned)
    assert holding.limit(0.9 + WINDOW_S) == _UNITS - loan.units
    assert holding.limit(1.1 + WINDOW_S) == _UNITS


def test_an_answer_from_before_a_return_does_not_count():
    """Guards against units that lender and borrower both use."""
    _, lender = _lender()
    holding, borrower = _borrower()
    borrower.accept('a', _lend(lender, borrower, 0))
    late = _lend(lender, borrower, 1, units=4)
    borrower.return_units(5)
    borrower.accept('a', late)
    assert holding.borrowed.units(1.2) < 10


def test_a_repeated_return_does_not_free_a_later_loan():
    """Guards against a return that arrives again after a new loan."""
    lent, lender = _lender()
    _, borrower = _borrower()
    loan = _lend(lender, borrower, 0)
    borrower.accept('a', loan)
    returned = borrower.return_units(loan.units)[0][1]
    lender.handle_return(1, 'b', returned)
    again = _lend(lender, borrower, 3)
    borrower.accept('a', again)
    lender.handle_return(4, 'b', returned)
    assert lent.lent.units(4 + WINDOW_S) >= again.units


def test_a_loan_of_another_process_is_not_accepted():
    """Guards against a restarted borrower that uses an earlier loan."""
    _, lender = _lender()
    _, earlier = _borrower()
    loan = _lend(lender, earlier, 0)
    holding = Holding()
    Borrower('cap', 'later', holding).accept('a', loan)
    assert holding.limit(0.2) == 0
