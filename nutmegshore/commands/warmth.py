"""Command that tells how well gateways knew where objects are warm."""

from typing import ClassVar

from cleo.io.inputs.argument import Argument

from nutmegshore.commands.base import BaseCommand, ExitCode
from nutmegshore.commands.log_files import FILES, read_all
from nutmegshore.tracing import (
    AttemptCount,
    RouteWarmth,
    estimate_offsets,
    summarise_warmth,
)

__all__ = ('WarmthCommand',)


class WarmthCommand(BaseCommand):
    """Tells per route which attempts were warm, and which were slow."""

    name = 'warmth'
    description = 'Tell how well gateways knew where objects are warm.'
    help = (
        'Wants the logs of all gateways: a first visit is an attempt at an'
        ' upstream to which none of them had sent the object before.'
    )
    arguments: ClassVar[list[Argument]] = [FILES]

    def run_command(self) -> int:
        """Print the figures of each route; exit code 1 without any."""
        records = read_all(self.argument('files'))
        offsets = estimate_offsets(records)
        found = summarise_warmth(records, offsets)
        for warmth in found:
            self._show(warmth)
        if found:
            return ExitCode.SUCCESS
        self.show('no route with enough attempts that were expected warm')
        return ExitCode.FAILURE

    def _show(self, warmth: RouteWarmth) -> None:
        upstreams = format(warmth.upstreams_per_object, '.1f')
        warm = format(warmth.warm_s, '.3f')
        self.show(
            f'{warmth.route}: {warmth.attempts} attempts, {warmth.object_count}'
            f' objects on {upstreams} upstreams each, warm in {warm} s'
        )
        ratio = format(warmth.first_visit_ratio, '.1f')
        work = format(warmth.work_ratio, '.1f')
        lines = (
            _describe('expected warm', warmth.expected_warm),
            _describe('expected cold', warmth.expected_cold),
            _describe('first visits', warmth.first_visits),
            f'first visits per object: {ratio}',
            _describe('repeated, by others', warmth.repeated_by_others),
            _describe('repeated, by the same', warmth.repeated),
            f'work: {work} times that of warm attempts',
            f'out of time: {warmth.out_of_time}, away: {warmth.away}',
        )
        for line in lines:
            self.show(f'    {line}')


def _describe(name: str, count: AttemptCount) -> str:
    slow = format(count.slow_fraction, '.2f')
    return f'{name}: {count.total}, slow {slow}'
