"""Final table of a demonstration; every figure is from a ledger."""

import collections
from collections.abc import Sequence

import attrs

from nutmegshore.demo.ledgers import (
    Asked,
    CallerConclusion,
    CallerLedger,
    RunLedger,
)

__all__ = ('Report', 'ShiftFigures', 'quantile_ms')

_MS = 1000
_P99 = 0.99
_ROW = '{0:<8}{1:>10}{2:>10}{3:>9}{4:>9}{5:>9}{6:>9}'


@attrs.frozen
class ShiftFigures:
    """The cap, the largest number in a window of 1 s, and what was over."""

    cap: int = 0
    largest: int = 0
    over_cap: int = 0
    moved: int = 0


@attrs.define
class Report:
    """Ledgers of a run with the times that the script measured.

    `failures` holds reasons why the run failed, such as a wait that ran into
    its limit.
    """

    runs: RunLedger
    callers: CallerLedger
    shift: ShiftFigures = ShiftFigures()
    drain_s: float | None = None
    stop_s: float | None = None
    phases: list[str] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    @property
    def is_good(self) -> bool:
        """Whether every promise held and nothing hung."""
        callers = self.callers
        broken = (
            callers.cut,
            callers.wrong,
            callers.count_false_not_run(self.runs),
            self.runs.doubled,
            self.shift.over_cap,
        )
        return not (any(broken) or self.failures)

    @property
    def last_line(self) -> str:
        """The line of counts that ends the output."""
        callers = self.callers
        counts = {
            'requests': len(callers.asked),
            'answered': callers.count(CallerConclusion.ANSWERED),
            'not_run': callers.count(CallerConclusion.NOT_RUN),
            'unknown': callers.count(CallerConclusion.UNKNOWN),
            'cut': callers.cut,
            'doubled': self.runs.doubled,
            'over_cap': self.shift.over_cap,
        }
        pairs = [f'{name}={count}' for name, count in counts.items()]
        return 'demo: {0}'.format(' '.join(pairs))

    @property
    def lines(self) -> list[str]:
        """The table, the failures and the last line."""
        head = _ROW.format(
            'phase',
            'requests',
            'answered',
            'not_run',
            'unknown',
            'p50_ms',
            'p99_ms',
        )
        rows = [self._write_row(phase) for phase in self.phases]
        failures = [f'failure: {reason}' for reason in self.failures]
        return [head, *rows, *self._write_figures(), *failures, self.last_line]

    def _write_row(self, phase: str) -> str:
        asked = [found for found in self.callers.asked if found.phase == phase]
        told = collections.Counter(found.verdict.told for found in asked)
        return _ROW.format(
            phase,
            len(asked),
            told[CallerConclusion.ANSWERED],
            told[CallerConclusion.NOT_RUN],
            told[CallerConclusion.UNKNOWN],
            _show(quantile_ms(asked, 1 / 2)),
            _show(quantile_ms(asked, _P99)),
        )

    def _write_figures(self) -> list[str]:
        shift = self.shift
        wrong = self.callers.wrong
        false_not_run = self.callers.count_false_not_run(self.runs)
        reasons = collections.Counter(
            found.verdict.reason
            for found in self.callers.asked
            if found.verdict.reason
        )
        inside = max(self.runs.most_inside.values(), default=0)
        return [
            f'shift: largest={shift.largest} cap={shift.cap}'
            f' moved={shift.moved}',
            f'drain_seconds={_show(self.drain_s)}',
            f'stop_seconds={_show(self.stop_s)}',
            f'wrong={wrong} false_not_run={false_not_run} most_inside={inside}',
            *[f'reason {name}={count}' for name, count in reasons.items()],
        ]


def quantile_ms(asked: Sequence[Asked], quantile: float) -> float | None:
    """Time of answered requests in milliseconds; None without any."""
    times = sorted(
        found.ended - found.began
        for found in asked
        if found.verdict.told is CallerConclusion.ANSWERED
    )
    if not times:
        return None
    return times[int((len(times) - 1) * quantile)] * _MS


def _show(figure: float | None) -> str:
    return '-' if figure is None else f'{figure:.1f}'
