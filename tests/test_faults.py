"""Tests of the reports of faults in the program's own code."""

import pytest

from nutmegshore.counters import Counters
from nutmegshore.faults import CURRENT_REQUEST, Faults


@pytest.fixture
def counters():
    """Counters of one process."""
    return Counters()


def _fail():
    raise ArithmeticError('of a test')


@pytest.mark.expects_faults
def test_a_fault_names_its_request_and_its_place(counters):
    """Guards against a fault that cannot be traced: without request or
    stack."""
    found = []
    faults = Faults(counters, found.append)
    CURRENT_REQUEST.set('r7')
    with faults.contain('retry_times'):
        _fail()
    assert [(fault.part, fault.request) for fault in found] == [
        ('retry_times', 'r7')
    ]
    assert found[0].error == "ArithmeticError('of a test')"
    assert 'in _fail' in found[0].stack
    assert counters.total('internal_faults', part='retry_times') == 1


@pytest.mark.expects_faults
def test_a_fault_in_the_log_is_still_reported(counters, capsys):
    """Guards against a second fault that hides the first."""
    faults = Faults(counters, lambda fault: _fail())
    faults.report('listener', ValueError('first'), 'r8')
    assert counters.total('internal_faults') == 1
    written = capsys.readouterr().out
    assert 'first' in written
    assert 'r8' in written


def test_work_without_a_fault_is_not_reported(counters):
    """Guards against counting what did not fail."""
    done = []
    with Faults(counters).contain('statistics'):
        done.append(1)
    assert done
    assert not counters.total('internal_faults')
