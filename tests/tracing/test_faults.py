"""Tests of the search for faults in logs."""

import json

import pytest

from nutmegshore.tracing import read_faults

_TRACEBACK = (
    'Traceback (most recent call last):',
    '  File "a.py", line 3, in choose',
    '    return 1 / work_s',
    '           ~~^~~~~~~~',
    'ZeroDivisionError: division by zero',
)


def _event(**fields):
    return json.dumps({'instance': 'g1', 'time': 2.5, **fields})


@pytest.fixture
def find():
    """Function that lists the faults of some lines."""

    def found(*lines):
        return list(read_faults(lines, 'file'))

    return found


@pytest.fixture
def find_one(find):
    """Function that returns the only fault of some lines."""

    def found(*lines):
        faults = find(*lines)
        assert len(faults) == 1
        return faults[0]

    return found


def test_a_fault_of_a_gateway_has_all_that_its_line_tells(find_one):
    """Guards against a fault that cannot be traced to its request."""
    line = _event(
        level='error',
        request='r1',
        part='callers',
        error='ZeroDivisionError()',
        stack='one\ntwo',
        event='internal_fault',
    )
    fault = find_one(line)
    assert fault.time == '2.5'
    assert fault.instance == 'g1'
    assert (fault.part, fault.request) == ('callers', 'r1')
    assert (fault.event, fault.error) == (
        'internal_fault',
        'ZeroDivisionError()',
    )
    assert fault.stack == ('one', 'two')


def test_a_prefix_names_the_time_and_the_instance(find_one):
    """Guards against logs of many machines whose faults have no place."""
    fault = find_one(
        '  18.1928 edge-west-c-2 {"part": "callers", "exc_info": "E()", '
        '"event": "answer failed", "level": "error"}',
    )
    assert (fault.time, fault.instance) == ('18.1928', 'edge-west-c-2')
    assert (fault.part, fault.error) == ('callers', 'E()')


def test_a_line_without_an_instance_is_of_its_file(find_one):
    """Guards against faults of a plain log that name no place."""
    fault = find_one('{"level": "critical", "event": "task failed"}')
    assert fault.instance == 'file'
    assert fault.error == 'task failed'


@pytest.mark.parametrize(
    'line',
    [
        _event(level='info', event='request_served'),
        _event(event='request_failed', reason='error'),
        _event(level='warning', event='e', stack='\n'.join(_TRACEBACK)),
        '  0.3 g1 nonsense',
        'File "a.py", line 3, in choose',
        '',
    ],
)
def test_other_lines_are_no_faults(find, line):
    """Guards against refusals of ours that look like faults."""
    assert not find(line, line)


def test_tracebacks_of_two_instances_are_told_apart(find):
    """Guards against frames that are mixed where lines alternate."""
    lines = [
        f'  {time_s} {name} {text}'
        for text in _TRACEBACK
        for time_s, name in ((-1.5, 'g1'), (2.25, 'g2'))
    ]
    faults = find(*lines)
    assert [one.instance for one in faults] == ['g1', 'g2']
    assert [one.time for one in faults] == ['-1.5', '2.25']
    for one in faults:
        assert one.error == _TRACEBACK[-1]
        assert one.stack == _TRACEBACK[:-1]


@pytest.mark.parametrize('length', range(1, len(_TRACEBACK)))
def test_a_traceback_that_is_cut_off_counts(find, length):
    """Guards against a fault that is lost as its process is killed."""
    started = _event(event='starting')
    assert len(find(*_TRACEBACK[:length])) == 1
    assert len(find(*_TRACEBACK[:length], started, *_TRACEBACK)) == 2


def test_each_traceback_of_a_chain_counts(find):
    """Guards against a cause that hides behind its consequence."""
    between = 'During handling of the above exception, another one occurred:'
    assert len(find(*_TRACEBACK, '', between, '', *_TRACEBACK)) == 2


def test_a_line_that_is_cut_off_counts(find_one):
    """Guards against a fault whose line a kill or a full pipe cut."""
    line = _event(level='error', event='internal_fault', request='r1')
    fault = find_one(line[:-5])
    assert fault.event == 'line cut off'
    assert 'internal_fault' in fault.error


def test_a_long_stack_keeps_its_innermost_lines(find_one):
    """Guards against the lines that tell the least."""
    stack = '\n'.join(str(number) for number in range(100))
    fault = find_one(_event(level='error', event='e', stack=stack))
    assert fault.stack[-1] == '99'
    assert len(fault.stack) < 20
