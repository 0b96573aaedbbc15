"""Tests of the delivery of messages whose handlers fail."""

import pytest

from nutmegshore.counters import Counters
from nutmegshore.peers.message_failures import GuardedDelivery


class _Odd:
    """A message that no handler can read."""


def _fail(sender, body):
    raise ArithmeticError('of a test')


@pytest.fixture
def counters():
    """Counters of one process."""
    return Counters()


def test_a_message_that_fails_is_logged_with_its_place(counters, log_lines):
    """Guards against a fault without a stack, which nobody can mend."""
    deliver = GuardedDelivery(_fail, counters)
    deliver('g2', _Odd())
    line = log_lines[0]
    assert (line['log_level'], line['event']) == ('error', 'message failed')
    assert (line['sender'], line['type']) == ('g2', '_Odd')
    assert line['error'] == "ArithmeticError('of a test')"
    assert 'in _fail' in line['stack']


def test_each_failure_counts_and_one_of_a_type_is_logged(counters, log_lines):
    """Guards against a log that a peer can fill."""
    deliver = GuardedDelivery(_fail, counters)
    for body in (_Odd(), _Odd(), 'text'):
        deliver('g2', body)
    assert counters.total('message_failures', type='_Odd') == 2
    assert counters.total('message_failures') == 3
    assert [line['type'] for line in log_lines] == ['_Odd', 'str']
