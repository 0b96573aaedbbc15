"""Tests of interning ranked lists."""

import pytest

from nutmegshore.blocks import Rankings, rankings
from nutmegshore.errors import ObjectError


def test_equal_lists_share_a_number_and_read_back():
    """Guards against lists that mix at their borders or are kept twice."""
    kept = Rankings()
    lists = [(3, 1), (3,), (1, 3), (65_535,)]
    numbers = [kept.intern(sites) for sites in lists]
    assert [kept.intern(sites) for sites in lists] == numbers
    assert [kept.get_sites(number) for number in numbers] == lists
    assert len(kept) == len(lists)


def test_too_many_lists_are_refused(monkeypatch):
    """Guards against a number that would read as the mark of a removal."""
    monkeypatch.setattr(rankings, 'MAX_RANKINGS', 1)
    kept = Rankings()
    kept.intern((1,))
    with pytest.raises(ObjectError, match='distinct rankings'):
        kept.intern((2,))
    assert kept.intern((1,)) == 0
