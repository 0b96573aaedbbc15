"""Seeded fault schedules on complete entries, checked for invariants."""

import pytest

from bench.whole_faults import run_schedule
from bench.whole_judge import MEASURES
from bench.whole_rules import without

_RUN_S = 16
_KEPT = dict.fromkeys(MEASURES, 0)


@pytest.mark.parametrize('seed', [0, 1, 5])
def test_a_schedule_of_faults_breaks_no_invariant(seed):
    """Guards against invariants that hold only for each component alone."""
    verdict = run_schedule(seed, _RUN_S)
    assert verdict.breaches == _KEPT
    assert not verdict.failures
    assert verdict.answered > verdict.calls / 2


def test_the_ledgers_detect_a_request_that_runs_twice():
    """Guards against a check that passes whatever happens."""
    with without('doubled'):
        verdict = run_schedule(0, _RUN_S)
    assert verdict.breaches['doubled']


def test_the_counters_show_a_fault_that_breaks_nothing_else():
    """Guards against faults of our own code that no check fails on."""
    with without('internal_faults'):
        verdict = run_schedule(0, _RUN_S)
    assert verdict.breaches['internal_faults']
