"""Progress of a drain that a command waits for."""

from typing import Any

from nutmegshore.commands.base import ExitCode

__all__ = ('DrainWatch',)

_PERCENT = 100


class DrainWatch:
    """Judges the statuses of a drain, poll by poll.

    The drain is complete when at least one region reports it and every
    reporting region has progress 1. It fails when it was held back for
    `patience_s` without a break, or at the latest after `timeout_s`.
    """

    def __init__(
        self,
        started: float,
        timeout_s: float,
        patience_s: float,
    ) -> None:
        """Start at a time of the clock whose times `judge` gets."""
        self._ends = started + timeout_s
        self._patience_s = patience_s
        self._held_since: float | None = None
        self._line = ''
        self._shown = ''

    def judge(self, statuses: list[dict[str, Any]], now: float) -> int | None:
        """Exit code, or None to go on waiting."""
        held = _list_held(statuses)
        shares = [status['progress'] or 0 for status in statuses]
        self._line = _write_line(shares, held)
        if shares and min(shares) >= 1:
            return ExitCode.SUCCESS
        if not held:
            self._held_since = None
        elif self._held_since is None:
            self._held_since = now
        since = now if self._held_since is None else self._held_since
        if now - since >= self._patience_s and held:
            return ExitCode.HELD_BACK
        if now >= self._ends:
            self._line = f'timed out; {self._line}'
            return ExitCode.HELD_BACK
        return None

    def take_line(self) -> str:
        """Line to show, or '' where it is the one shown last."""
        line = '' if self._line == self._shown else self._line
        self._shown = self._line
        return line


def _list_held(statuses: list[dict[str, Any]]) -> list[str]:
    return sorted(
        {
            '{0} in {region}'.format(cause, **status)
            for status in statuses
            for cause in status['held_back_by']
        },
    )


def _write_line(shares: list[float], held: list[str]) -> str:
    if not shares:
        return 'no region reports the drain yet'
    percent = int(min(shares) * _PERCENT)
    regions = len(shares)
    line = f'{percent}% done, reporting regions: {regions}'
    if not held:
        return line
    causes = '; '.join(held)
    return f'{line}, held back by {causes}'
