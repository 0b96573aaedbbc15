"""Tests of the ledgers that judge a demonstration."""

import attrs
import pytest

from nutmegshore.demo.callers import judge
from nutmegshore.demo.http_request import HttpResult
from nutmegshore.demo.ledgers import (
    Asked,
    CallerConclusion,
    CallerLedger,
    CallerResult,
    Run,
    RunLedger,
    count_over_cap,
    largest_in_window,
)
from nutmegshore.demo.report import Report, ShiftFigures

_RUN = Run('o1', 'orders', 'west', 'west', 'c1-1', 'k1', 0, is_idempotent=False)


def _write(*runs):
    return RunLedger([attrs.evolve(_RUN, **fields) for fields in runs])


def _asked(**fields):
    return CallerLedger([Asked('kill', 's', 'c1-1', '', 0, 1, **fields)])


def test_a_key_that_ran_at_two_upstreams_is_doubled():
    """Guards against a doubled order that the ledgers do not count."""
    assert _write({}, {'upstream': 'o2', 'request_id': 'c1-2'}).doubled == 1
    assert not _write({}, {'key': 'k2'}).doubled


def test_a_request_without_a_key_is_doubled_by_its_id():
    """Guards against an upload that runs twice without being counted."""
    assert _write({'key': ''}, {'key': '', 'at': 9}).doubled == 1
    repeated = {'key': '', 'is_idempotent': True}
    assert not _write(repeated, repeated).doubled


def test_runs_beyond_the_cap_are_counted_in_every_window():
    """Guards against windows aligned to whole seconds that miss a burst."""
    times = [0.5, 0.9, 1.1, 1.4, 1.5]
    assert largest_in_window(times) == 4
    assert count_over_cap(times, 4) == 0
    assert count_over_cap(times, 3) == 1
    assert count_over_cap(times, 0) == 5


@pytest.mark.parametrize(
    ('came', 'is_crashing_upstreams', 'is_cut'),
    [
        (HttpResult(200, {}, b'short'), False, True),
        (HttpResult(failure='reset'), False, True),
        (HttpResult(failure='reset'), True, False),
        (
            HttpResult(
                200,
                {'nutmegshore-outcome': 'upstream', 'demo-digest': 'other'},
                b'damaged',
                is_whole=True,
            ),
            True,
            True,
        ),
    ],
)
def test_a_cut_answer_is_counted(came, is_crashing_upstreams, is_cut):
    """Guards against a cut or damaged answer that counts as an answer."""
    verdict = judge(came, 'c1-1', b'', is_crashing_upstreams)
    assert verdict.told is CallerConclusion.UNKNOWN
    assert verdict.is_cut is is_cut
    assert _asked(verdict=verdict).cut == is_cut


@pytest.mark.parametrize(
    ('runs', 'callers', 'shift', 'failures'),
    [
        (_write({}, {}), CallerLedger(), ShiftFigures(), []),
        (
            RunLedger(),
            _asked(verdict=CallerResult(CallerConclusion.UNKNOWN, is_cut=True)),
            ShiftFigures(),
            [],
        ),
        (RunLedger(), CallerLedger(), ShiftFigures(over_cap=1), []),
        (RunLedger(), CallerLedger(), ShiftFigures(), ['hang']),
        (
            _write({'key': ''}),
            _asked(verdict=CallerResult(CallerConclusion.NOT_RUN)),
            ShiftFigures(),
            [],
        ),
    ],
)
def test_each_broken_promise_fails_the_run(runs, callers, shift, failures):
    """Guards against exit code 0 after a broken promise or a hang."""
    assert Report(RunLedger(), CallerLedger()).is_good
    assert not Report(runs, callers, shift, failures=failures).is_good
