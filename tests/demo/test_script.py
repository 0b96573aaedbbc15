"""Short runs of the demonstration over real sockets."""

import asyncio
import random
import re

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.demo import DemoOptions, Report, run_demo, script
from nutmegshore.demo.cluster import Cluster
from nutmegshore.demo.ledgers import CallerLedger, Run, CallerConclusion
from nutmegshore.examples import list_objects
from nutmegshore.steering.load_reporter import LoadReporter


_DEPLOYMENTS = ('vestfold', 'patelwadi')


@pytest.fixture(scope='module')
def reports():
    """Reports of short runs side by side, which mostly wait."""

    async def session():
        runs = [
            run_demo(
                DemoOptions(name, seed=7, seconds=1, callers=12),
                SystemClock(),
            )
            for name in _DEPLOYMENTS
        ]
        return await asyncio.gather(*runs)

    return dict(zip(_DEPLOYMENTS, asyncio.run(session()), strict=True))


@pytest.fixture(params=_DEPLOYMENTS)
def report(request, reports):
    """Report of a short run."""
    return reports[request.param]


def test_the_counts_of_a_run_add_up(report):
    """Guards against requests that no column of the last line counts."""
    asked = report.callers.asked
    assert asked
    assert sum(report.callers.count(told) for told in CallerConclusion) == len(
        asked
    )
    assert report.last_line.startswith(f'demo: requests={len(asked)} ')
    assert report.lines[-1] == report.last_line


def test_every_phase_gets_requests_in_order(report):
    """Guards against a script that skips a phase or swaps two."""
    ordered = sorted(report.callers.asked, key=lambda found: found.began)
    seen = list(dict.fromkeys(found.phase for found in ordered))
    assert seen == report.phases


def test_no_wait_of_the_script_ran_into_its_limit(report):
    """Guards against a hang and a drain that does not take effect."""
    assert not report.failures


def test_every_answer_belongs_to_a_run(report):
    """Guards against callers that are told of answers nobody gave."""
    ran = {run.request_id for run in report.runs.runs}
    keys = {run.key for run in report.runs.runs}
    for found in report.callers.asked:
        if found.verdict.told is CallerConclusion.ANSWERED:
            assert found.request_id in ran or found.key in keys


def test_a_short_run_keeps_every_promise(report):
    """Guards against cut, doubled, over-cap and wrong answers in a run."""
    assert report.is_good, '\n'.join(report.lines)


def test_a_hang_ends_the_run_with_a_reason(monkeypatch):
    """Guards against a part that never starts and holds the run up."""
    monkeypatch.setattr(script, '_START_LIMIT_S', 0)
    options = DemoOptions('patelwadi', seed=7, seconds=1, callers=1)
    report = asyncio.run(run_demo(options, SystemClock()))
    assert 'start: no end' in report.failures[0]
    assert not report.is_good


def _fail(*_):
    raise ArithmeticError('of a test')


def test_a_fault_at_an_entry_fails_the_run(monkeypatch):
    """Guards against faults of our own code that cost no caller anything,
    also at the entry that stops before the end."""
    monkeypatch.setattr(LoadReporter, '_handle_region', _fail)
    options = DemoOptions('patelwadi', seed=7, seconds=1, callers=1)
    report = asyncio.run(run_demo(options, SystemClock()))
    assert not report.is_good
    failed = {line.partition(':')[0] for line in report.failures}
    declared = list_objects('patelwadi')
    assert failed == {
        found['name'] for found in declared if found['kind'] == 'entry'
    }
    for line in report.failures:
        # A relayed report fails within the message that carries it.
        assert re.search('message_failures type=(RegionLoad|Relay)', line)
        assert f'failure: {line}' in report.lines


def test_all_runs_that_cross_count_against_the_cap_in_its_time():
    """Guards against a spill or a fail-over that the cap does not bound."""

    async def session():
        options = DemoOptions('patelwadi', seed=7, seconds=1, callers=1)
        clock = SystemClock()
        cluster = Cluster('patelwadi', clock, random.Random(7), 1)
        report = Report(cluster.runs, CallerLedger())
        found = script._Session(options, clock, cluster, report)
        found.shift_began = 5
        found.shift_ended = 15
        runs = [
            Run('t', 'tallies', region, 'west', 'c', '', at, True)
            for region, at in (
                ('north', 9),
                ('south', 9),
                ('north', 4),
                ('north', 16),
            )
        ]
        return [found.is_shifted(run) for run in runs]

    assert asyncio.run(session()) == [True, False, False, False]
