"""Tests of interning ranked lists."""

import pytest

from nutmegshore.blocks import Rankings, rankings
from nutmegshore.errors import ObjectError


def test_equal_lists_share_a_number_and_read_back():
    """Guards against lists that overlap or are stored twice."""
    interned = Rankings()
    lists = [(3, 1), (3,), (1, 3), (65_535,)]
    numbers = [interned.intern(sites) for sites in lists]
    assert [interned.intern(sites) for sites in lists] == numbers
    assert [interned.get_sites(number) for number in numbers] == lists
    assert len(interned) == len(lists)


def test_too_many_lists_are_refused(monkeypatch):
    """Guards against a number that would mark a block as removed."""
    monkeypatch.setattr(rankings, 'MAX_RANKINGS', 1)
    interned = Rankings()
    interned.intern((1,))
    with pytest.raises(ObjectError, match='distinct rankings'):
        interned.intern((2,))
    assert interned.intern((1,)) == 0
