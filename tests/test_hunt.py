"""Tests of tools/hunt.py with a program that stands in for the bench."""

import json
import pathlib
import subprocess
import sys

import pytest

from tools import hunt as tool

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_FAULT = (
    '  18.1928 g-1 {"part": "callers", "error": "E()", "level": "error",'
    ' "event": "internal_fault"}'
)
_STANDIN = """#!{python}
import json, pathlib, sys

words = sys.argv[1:]
with open({calls!r}, 'a') as calls:
    calls.write(json.dumps(words) + chr(10))
plan = json.loads(pathlib.Path({plan!r}).read_text())
play = plan.get(words[words.index('--seed') + 1], {{}})
print('built in 0.1 s')
print(play.get('log', ''))
if 'report' in play:
    told = {{'breaks': {{}}, 'fault': None, 'exits_n': 0, **play['report']}}
    report = pathlib.Path(words[words.index('--report') + 1])
    report.write_text(json.dumps(told))
"""


class _Hunt:
    """Runs of the tool; `plan` says what the bench does for each seed."""

    def __init__(self, folder):
        self.folder = folder
        self.keep = folder / 'kept'
        self._calls = folder / 'calls'
        self._bench = folder / 'fleetbench'

    def run(self, plan, *options):
        """Exit code and lines of a run."""
        planned = self.folder / 'plan'
        planned.write_text(json.dumps(plan))
        self._bench.write_text(
            _STANDIN.format(
                python=sys.executable,
                calls=str(self._calls),
                plan=str(planned),
            ),
        )
        self._bench.chmod(0o755)
        program = (sys.executable, str(_ROOT / 'tools' / 'hunt.py'))
        ended = subprocess.run(
            (*program, '--bench', self._bench, '--keep', self.keep, *options),
            capture_output=True,
            text=True,
            check=False,
            cwd=_ROOT,
        )
        assert not ended.stderr
        return ended.returncode, ended.stdout.splitlines()

    def calls(self):
        """Command lines that the bench got."""
        return [json.loads(line) for line in self._calls.open()]

    def kept(self):
        """Names of the files that were kept."""
        return sorted(path.name for path in self.keep.iterdir())


@pytest.fixture
def hunt(tmp_path):
    """A hunt with a stand-in bench."""
    return _Hunt(tmp_path)


def _clean(*seeds):
    return {seed: {'report': {}} for seed in seeds}


def test_clean_days_pass_and_leave_no_logs(hunt):
    """Guards against a hunt that fills the disk, or that nothing passes."""
    code, lines = hunt.run(_clean('1', '2'), '--days', '2', 'a/site.toml')
    assert code == 0
    assert lines == [
        'site mix seed 1: no rule broken, no fault',
        'site mix seed 2: no rule broken, no fault',
        '2 played, 0 faulty, 0 left out',
    ]
    assert not hunt.kept()


def test_a_fault_without_a_broken_rule_fails(hunt):
    """Guards against faults that cut callers while every rule is kept."""
    plan = {**_clean('1'), '2': {'report': {}, 'log': _FAULT}}
    code, lines = hunt.run(plan, '--days', '2', 'a/site.toml')
    assert code == 1
    assert lines[1] == 'site mix seed 2: faulty'
    assert '    fault: 18.1928 g-1 callers - internal_fault: E()' in lines
    assert hunt.kept() == ['site-mix-2.json', 'site-mix-2.txt']
    assert _FAULT in (hunt.keep / 'site-mix-2.txt').read_text()


@pytest.mark.parametrize(
    ('report', 'line'),
    [
        ({'breaks': {'LOST': 2}}, 'rule broken: LOST 2'),
        ({'fault': 'too slow'}, 'given up: too slow'),
        ({'exits_n': 3}, 'processes that ended by themselves: 3'),
    ],
)
def test_what_the_report_tells_fails(hunt, report, line):
    """Guards against a day that counts as clean since its log is."""
    code, lines = hunt.run({'1': {'report': report}}, '--days', '1', 's.toml')
    assert code == 1
    assert lines[:2] == ['s mix seed 1: faulty', f'    {line}']


def test_a_day_that_does_not_fit_is_left_out(hunt):
    """Guards against a hunt that stops at, or hides, such a day."""
    odd = {'3': {'log': "fleetbench: the day can't be read: no zone"}}
    plan = {**_clean('1', '2'), **odd}
    code, lines = hunt.run(plan, '--days', '3', 's.toml')
    assert code == 0
    assert lines[2].endswith("left out: the day can't be read: no zone")
    assert lines[3] == '2 played, 0 faulty, 1 left out'


def test_a_hunt_that_played_nothing_fails(hunt):
    """Guards against a day file with a fault that looks like a clean hunt."""
    odd = {'1': {'log': "fleetbench: the day can't be read: no zone"}}
    code, lines = hunt.run(odd, '--days', '1', '--day', 'd.toml', 's.toml')
    assert code == 1
    assert lines[-1] == '0 played, 0 faulty, 1 left out'


@pytest.mark.parametrize('log', ['fleetbench: no such site', 'killed'])
def test_a_play_without_a_report_fails(hunt, log):
    """Guards against a bench that cannot play and looks clean."""
    code, lines = hunt.run({'1': {'log': log}}, '--days', '1', 's.toml')
    assert code == 1
    assert lines[1].startswith('    not played: ')


def test_the_bench_gets_the_options_of_the_hunt(hunt):
    """Guards against days of another size than the one asked for."""
    options = ('--small', '--no-cpu', '--day-cap', '9', '--why', 'a test')
    hunt.run(_clean('5'), '--days', '1', '--seed', '5', *options, 's.toml')
    call = ' '.join(hunt.calls()[0])
    assert call.startswith('run s.toml mix --seed 5 --log all ')
    for option in ('--small', '--no-cpu', '--day-cap 9', '--why a test'):
        assert option in call
    assert '--vary' not in call


@pytest.fixture
def list_plays():
    """Function that lists the plays of a command line."""

    def listed(*words):
        options = tool.read_options(['--bench', 'fleetbench', *words])
        return tool.list_plays(options)

    return listed


def test_each_third_day_is_a_file_that_is_varied(list_plays):
    """Guards against plays of one kind of day only."""
    plays = list_plays('--days', '6', '--seed', '5', 's.toml')
    names = [pathlib.Path(play.day).name for play in plays]
    files = sorted(path.name for path in _ROOT.glob('deploy/days/*.toml'))
    assert names == ['mix', 'mix', files[0], 'mix', 'mix', files[1]]
    assert [play.seed for play in plays] == list(range(5, 11))
    for play in plays:
        assert play.is_varied == (play.day != 'mix')


def test_named_days_are_played_as_written_on_each_site(list_plays, tmp_path):
    """Guards against a reproduction whose times are drawn anew."""
    path = tmp_path / 'd1.toml'
    path.touch()
    days = ('--day', str(path), '--day', 'd2')
    plays = list_plays('--days', '3', *days, 's1.toml', 's2.toml')
    assert not any(play.is_varied for play in plays)
    assert (_ROOT / plays[0].day).resolve() == path
    assert plays[1].day == 'd2'
    assert [play.name for play in plays] == [
        's1-d1-1',
        's1-d2-2',
        's1-d1-3',
        's2-d1-1',
        's2-d2-2',
        's2-d1-3',
    ]
