"""Tests of what a gateway does when the store is restored."""

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.store_restores import StoreRestores
from nutmegshore.store import StoreEras


@pytest.fixture
def eras(make_log):
    """Eras that are followed, after a first answer of era 1."""
    tracked = StoreEras()
    StoreRestores(make_log(SystemClock(), Counters()), Counters()).follow(
        tracked
    )
    tracked.observe(1)
    return tracked


def test_a_restore_is_logged(eras, lines):
    """Guards against an incident in which nobody sees that the store was
    restored."""
    eras.observe(2)
    restored = lines.named('store_restored')
    assert [(one['era'], one['previous']) for one in restored] == [(2, 1)]


def test_an_unreadable_era_is_logged_once(eras, lines):
    """Guards against a line for each answer of a store with an odd header."""
    for text in ('x', 'x', 'y'):
        eras.reject(text)
    texts = [line['text'] for line in lines.named('store_era_rejected')]
    assert texts == ['x', 'y']
