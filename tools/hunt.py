"""Plays days of the users' bench with logs, and names each fault in them.

    python tools/hunt.py --bench PATH/fleetbench --days 20 --seed 1 SITE...

A play is faulty if a rule was broken, a process ended by itself, the bench
gave the day up, or `nutmegshore faults` finds anything in the log. Two days of
three are the bench's mix, each third is a file of deploy/days, varied; with
--day only the files or standard days named are played, in turn and as they are
written. A file that does not fit a site is left out there. The exit code is 1
if a play was faulty, or if none was played. The output and the report of a
faulty play stay in the folder that --keep names, those of others are removed.
"""

import argparse
import collections
import itertools
import json
import os
import pathlib
import subprocess
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor

import attrs

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DAYS = _ROOT / 'deploy' / 'days'
_MIX = 'mix'
#: One play of this many is of a file.
_TURNS = 3
#: What the bench writes before the reason why it does not play.
_REFUSAL = 'fleetbench: '
_CLEAN = 'no rule broken, no fault'


@attrs.frozen
class Play:
    """A day on a site, with the seed of its draws."""

    site: str
    day: str
    seed: int
    is_varied: bool = False

    @property
    def name(self) -> str:
        """Name for the files of the play."""
        site = pathlib.Path(self.site).stem
        day = pathlib.Path(self.day).stem
        return f'{site}-{day}-{self.seed}'


@attrs.frozen
class Verdict:
    """How a play ended.

    `left_out` is why it was not played. `found` has a line for each rule that
    was broken, and for all else that is wrong.
    """

    left_out: str = ''
    found: tuple[str, ...] = ()


class Hunter:
    """Plays days with the options of a command line."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Make the folder for the logs that are kept."""
        self._options = options
        self._folder = pathlib.Path(options.keep).resolve()
        self._folder.mkdir(parents=True, exist_ok=True)

    def play(self, play: Play) -> Verdict:
        """Play a day; its files stay only if it was faulty."""
        log = self._folder / f'{play.name}.txt'
        report = self._folder / f'{play.name}.json'
        report.unlink(missing_ok=True)
        with log.open('wb') as output:
            subprocess.run(
                self._write_command(play, report),
                cwd=_ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                check=False,
            )
        verdict = judge(play, log, report)
        if not verdict.found:
            log.unlink()
            report.unlink(missing_ok=True)
        return verdict

    def _write_command(self, play: Play, report: pathlib.Path) -> list[str]:
        options = self._options
        command = [str(pathlib.Path(options.bench).resolve()), 'run']
        command.extend((play.site, play.day, '--seed', str(play.seed)))
        command.extend(('--log', 'all', '--jobs', '1', '--why', options.why))
        command.extend(('--report', str(report)))
        if options.day_cap:
            command.extend(('--day-cap', str(options.day_cap)))
        flags = {
            '--vary': play.is_varied,
            '--small': options.small,
            '--no-cpu': options.no_cpu,
        }
        command.extend(name for name, is_set in flags.items() if is_set)
        return command


def judge(play: Play, log: pathlib.Path, report: pathlib.Path) -> Verdict:
    """Judge a play by its output and its report."""
    if report.exists():
        told = json.loads(report.read_text())
        return Verdict(found=(*_read_report(told), *_read_log(log)))
    refusal = _read_refusal(log)
    if refusal and play.day != _MIX:
        return Verdict(left_out=refusal)
    reason = refusal or 'the bench left no report'
    return Verdict(found=(f'not played: {reason}', *_read_log(log)))


def _read_report(told: dict) -> Iterator[str]:
    for rule, count in told['breaks'].items():
        yield f'rule broken: {rule} {count}'
    if told['fault']:
        yield f'given up: {told["fault"]}'
    if told['exits_n']:
        yield f'processes that ended by themselves: {told["exits_n"]}'


def _read_log(log: pathlib.Path) -> list[str]:
    """Lines of `nutmegshore faults`; none if it found nothing."""
    ended = subprocess.run(
        [sys.executable, '-m', 'nutmegshore', 'faults', str(log)],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    if not ended.returncode:
        return []
    return [f'fault: {line}' for line in _lines_of(ended)]


def _lines_of(ended: subprocess.CompletedProcess) -> list[str]:
    return (ended.stdout + ended.stderr).splitlines() or ['no output']


def _read_refusal(log: pathlib.Path) -> str:
    """Why the bench did not play; '' if it does not say so."""
    with log.open(errors='replace') as lines:
        for line in lines:
            if line.startswith(_REFUSAL):
                return line.removeprefix(_REFUSAL).strip()
    return ''


def list_plays(options: argparse.Namespace) -> list[Play]:
    """List the plays of all sites, in order."""
    plays = []
    for site in map(_from_root, options.sites):
        days = _cycle_days(options.day)
        for seed in range(options.seed, options.seed + options.days):
            day, is_varied = next(days)
            plays.append(Play(site, day, seed, is_varied))
    return plays


def _cycle_days(days: list[str]) -> Iterator[tuple[str, bool]]:
    """Days without end, and whether they are varied."""
    if days:
        named = [(_name_day(day), False) for day in days]
        yield from itertools.cycle(named)
    for path in itertools.cycle(sorted(_DAYS.glob('*.toml'))):
        yield from itertools.repeat((_MIX, False), _TURNS - 1)
        yield _from_root(path), True


def _name_day(day: str) -> str:
    """Name a day for the bench: a file's path, or a day of the site."""
    return _from_root(day) if pathlib.Path(day).exists() else day


def _from_root(path: str | pathlib.Path) -> str:
    """A path as seen from the repository, where the bench runs."""
    return os.path.relpath(path, _ROOT)


def read_options(words: list[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    add = parser.add_argument
    add('sites', nargs='+', metavar='SITE', help='site files')
    add('--bench', required=True, help='path of fleetbench')
    add('--days', type=int, default=_TURNS, help='plays on each site')
    add('--seed', type=int, default=1, help='seed of the first play')
    add('--day', action='append', default=[], help='play this day only')
    add('--small', action='store_true', help='small twins of large days')
    add('--no-cpu', action='store_true', help='count no processor time')
    add('--day-cap', type=int, default=0, help='seconds that a day may take')
    add('--jobs', type=int, default=1, help='plays at a time')
    add('--why', default='hunt for faults in logs', help='for the journal')
    add('--keep', default=_ROOT / 'build' / 'hunt', help='folder for logs')
    return parser.parse_args(words)


def main() -> int:
    """Play all days, and print a line for each and what was found."""
    options = read_options(sys.argv[1:])
    plays = list_plays(options)
    with ThreadPoolExecutor(options.jobs) as pool:
        ended = pool.map(Hunter(options).play, plays)
        verdicts = list(itertools.starmap(show, zip(plays, ended, strict=True)))
    return count(verdicts)


def show(play: Play, verdict: Verdict) -> Verdict:
    """Print what became of a play."""
    how = ' varied' if play.is_varied else ''
    site = pathlib.Path(play.site).stem
    ended = 'faulty' if verdict.found else _CLEAN
    if verdict.left_out:
        ended = f'left out: {verdict.left_out}'
    _print(f'{site} {play.day}{how} seed {play.seed}: {ended}')
    for line in verdict.found:
        _print(f'    {line}')
    return verdict


def count(verdicts: Iterable[Verdict]) -> int:
    """Print how many plays ended how; returns the exit code."""
    ends = collections.Counter(map(_end_of, verdicts))
    played = ends['clean'] + ends['faulty']
    counts = f'{ends["faulty"]} faulty, {ends["left out"]} left out'
    _print(f'{played} played, {counts}')
    return 0 if played and not ends['faulty'] else 1


def _end_of(verdict: Verdict) -> str:
    if verdict.left_out:
        return 'left out'
    return 'faulty' if verdict.found else 'clean'


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
