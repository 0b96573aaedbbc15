"""Whole entries under seeded faults keep every promise."""

import pytest

from bench.whole_faults import run_schedule
from bench.whole_judge import MEASURES
from bench.whole_rules import without

_RUN_S = 16
_KEPT = dict.fromkeys(MEASURES, 0)


@pytest.mark.parametrize('seed', [0, 1, 5])
def test_a_schedule_of_faults_breaks_no_promise(seed):
    """Guards against parts that keep their promises only apart."""
    verdict = run_schedule(seed, _RUN_S)
    assert verdict.breaches == _KEPT
    assert not verdict.failures
    assert verdict.answered > verdict.calls / 2


def test_the_ledgers_see_a_request_that_runs_twice():
    """Guards against a judge that stays green whatever happens."""
    with without('doubled'):
        verdict = run_schedule(0, _RUN_S)
    assert verdict.breaches['doubled']
