"""Runs the measurement sessions: python -m bench --seed 7 [topic ...]."""

import argparse
import importlib
import pathlib
import pkgutil
import sys
import time

from bench import sessions
from bench.measure import Findings
from bench.report import write_report

_DEFAULT_SEED = 7


def main() -> int:
    """Run the named sessions, or all; exit code 1 if a goal is missed."""
    parser = argparse.ArgumentParser(prog='python -m bench')
    parser.add_argument('--seed', type=int, default=_DEFAULT_SEED)
    parser.add_argument('--out', default='build')
    parser.add_argument('topics', nargs='*')
    chosen = parser.parse_args()
    topics = chosen.topics or _all_topics()
    found = [_run(topic, chosen.seed) for topic in topics]
    write_report(pathlib.Path(chosen.out), found)
    missed = [
        measure.name
        for one in found
        for measure in one.measures
        if measure.is_met is False
    ]
    sys.stdout.write('goals missed: {0}\n'.format(', '.join(missed) or 'none'))
    return 1 if missed else 0


def _all_topics() -> list[str]:
    modules = pkgutil.iter_modules(sessions.__path__)
    return sorted(module.name for module in modules)


def _run(topic: str, seed: int) -> Findings:
    started = time.monotonic()
    module = importlib.import_module(f'bench.sessions.{topic}')
    findings = module.measure(seed)
    seconds = time.monotonic() - started
    sys.stdout.write(f'{topic}: {seconds:.1f} s\n')
    return findings


if __name__ == '__main__':
    sys.exit(main())
