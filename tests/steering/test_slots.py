"""Tests of owned, lent and borrowed slots."""

from nutmegshore.steering.slots import SlotLedger


def _ledger(**owned):
    ledger = SlotLedger()
    ledger.owned = owned
    return ledger


def test_a_lent_slot_is_not_used_by_its_owner():
    """Guards against one slot that two entries use at once."""
    lender, borrower = _ledger(u=3), _ledger()
    loan = lender.lend('b', 2, {'u': 3})
    borrower.borrow('a', loan)
    assert (lender.quota('u'), borrower.quota('u')) == (1, 2)
    assert borrower.return_one('u') == 'a'
    lender.record_return('b', {'u': 1})
    assert (lender.quota('u'), borrower.quota('u')) == (2, 1)


def test_a_borrowed_slot_is_not_lent_on():
    """Guards against a loan that never comes back to its owner."""
    ledger = _ledger(u=1)
    ledger.borrow('a', {'u': 2, 'v': 1})
    assert ledger.lend('b', 5, {'u': 3, 'v': 1}) == {'u': 1}


def test_a_repeated_return_adds_no_slot():
    """Guards against a quota that grows with repeated messages."""
    ledger = _ledger(u=3)
    ledger.lend('b', 1, {'u': 3})
    ledger.record_return('b', {'u': 1})
    ledger.record_return('b', {'u': 1})
    assert ledger.quota('u') == 3


def test_a_lost_message_is_corrected_by_the_load_message():
    """Guards against slots that stay unused after a lost message."""
    ledger = _ledger(u=3)
    ledger.lend('b', 2, {'u': 3})
    ledger.correct('b', {'u': 1})
    assert ledger.quota('u') == 2
    ledger.correct('b', {})
    assert ledger.quota('u') == 3


def test_loans_end_when_either_entry_is_gone():
    """Guards against loans that remain after an entry died."""
    ledger = _ledger(u=3)
    ledger.lend('b', 2, {'u': 3})
    ledger.borrow('c', {'v': 1})
    ledger.forget(['b', 'c'])
    assert (ledger.quota('u'), ledger.quota('v')) == (1, 1)
    ledger.forget([])
    assert (ledger.quota('u'), ledger.quota('v')) == (3, 0)
