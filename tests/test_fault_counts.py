"""Tests of what counters tell of faults."""

import pytest

from nutmegshore.counters import Counters
from nutmegshore.fault_counts import FAULT_METRICS, list_fault_counts


@pytest.fixture
def counters():
    """Counters of one process."""
    return Counters()


def test_each_kind_of_fault_is_listed_with_its_labels(counters):
    """Guards against a kind of fault that nobody hears of."""
    for metric in FAULT_METRICS:
        counters.add(metric, 2, part='log')
    assert list_fault_counts(counters) == [
        'internal_faults part=log: 2',
        'message_failures part=log: 2',
        'task_failures part=log: 2',
        'task_restarts part=log: 2',
    ]


def test_other_counters_are_no_faults(counters):
    """Guards against refusals and outages that count as faults."""
    counters.add('requests_refused', reason='overloaded')
    counters.add('store_failures', kind='servers/')
    counters.add('internal_faults', 0, part='log')
    assert not list_fault_counts(counters)
