"""Tests of the era that the store's answers name."""

import pytest
from tornado.httputil import HTTPHeaders

from nutmegshore.platform.era import read_era
from nutmegshore.store import StoreEras


@pytest.fixture
def eras():
    """Eras after answers of era 3, with what was reported in `seen`."""
    tracked = StoreEras()
    tracked.seen = []
    tracked.on_restore.append(lambda *numbers: tracked.seen.append(numbers))
    tracked.on_unreadable.append(tracked.seen.append)
    tracked.observe(3)
    return tracked


def test_a_later_era_is_reported_once(eras):
    """Guards against a restore that goes unnoticed."""
    for _ in range(2):
        assert read_era(HTTPHeaders({'Store-Era': '5'}), eras) == 5
    assert eras.seen == [(5, 3)]


def test_the_first_era_is_no_restore(eras):
    """Guards against a restore that each start of a gateway reports."""
    assert not eras.seen


def test_an_answer_of_an_older_era_keeps_its_era(eras):
    """Guards against a late answer of the lost history that passes for one of
    the present."""
    assert read_era(HTTPHeaders({'Store-Era': '2'}), eras) == 2
    assert eras.newest == 3
    assert not eras.seen


@pytest.mark.parametrize(
    'text', ['', '-4', '4.5', 'four', '\xb2', '1' * 16, '4, 4', 'nan']
)
def test_an_unreadable_era_counts_for_the_newest(eras, text):
    """Guards against a store that is not followed any more because of one odd
    header."""
    headers = HTTPHeaders()
    headers.add('Store-Era', text)
    assert read_era(headers, eras) == 3
    assert eras.seen == [text]


def test_a_missing_era_counts_for_the_newest(eras):
    """Guards against a store without eras that is never followed."""
    assert read_era(HTTPHeaders(), eras) == 3
    assert read_era(HTTPHeaders(), StoreEras()) == 0
    assert not eras.seen
