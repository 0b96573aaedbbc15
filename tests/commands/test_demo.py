"""Tests of the demonstration's command line."""

import pytest

from nutmegshore.commands.base import ExitCode


@pytest.mark.parametrize(
    'line',
    ['--deployment nowhere', '--seconds 0', '--callers 9999', '--seed x'],
)
def test_a_wrong_option_starts_nothing(session, line):
    """Guards against a run without bounds and against a wrong exit code."""
    assert session.run(f'demo {line}') == ExitCode.INVALID
    assert 'expected' in session.errors
