"""Tests of the command that lists faults in logs."""

import pytest

_FAULT = (
    '{"instance": "%s", "time": 1.5, "part": "callers", "request": "r1",'
    ' "error": "E()", "stack": "last frame", "level": "error",'
    ' "event": "internal_fault"}\n'
)


@pytest.fixture
def log(tmp_path):
    """Function that writes a log; returns its path."""

    def write(name, text):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write


def test_faults_of_several_logs_are_counted_together(session, log):
    """Guards against a fleet's fault that looks like one of each gateway."""
    first = log('g1.log', _FAULT % 'g1')
    second = log('g2.log', _FAULT % 'g2')
    assert session.run(f'faults {first} {second}') == 1
    assert session.output.splitlines() == [
        '1.5 g1 callers r1 internal_fault: E()',
        '    last frame',
        '1.5 g2 callers r1 internal_fault: E()',
        '    last frame',
        '       2 callers E()',
    ]


def test_a_log_without_a_fault_passes(session, log):
    """Guards against a check that no run passes."""
    path = log('g1.log', '{"instance": "g1", "event": "started"}\n')
    assert session.run(f'faults {path}') == 0
    assert session.output == 'no fault\n'


def test_a_log_that_is_missing_is_no_pass(session, tmp_path):
    """Guards against a check of nothing that looks like a clean one."""
    missing = tmp_path / 'g1.log'
    assert session.run(f'faults {missing}') == 2
