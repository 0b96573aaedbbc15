"""Policies that the steering decisions are compared with."""

import itertools
import random
from types import MappingProxyType

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.steering import Permit, RouteRequest, build_plan

__all__ = ('BASELINES', 'Baseline')

#: Round robin begins at a random turn, so that entries do not move in step.
_TURNS = 1000


class Baseline:
    """A policy to compare with; it sends to the local region only."""

    def __init__(
        self, table: ConfigurationTable, region: str, rng: random.Random
    ) -> None:
        self.plan = build_plan(table, region)
        self.reports: dict[str, float] = {}
        self._rng = rng
        self._turn = itertools.count(rng.randrange(_TURNS))

    async def acquire(self, request: RouteRequest) -> Permit:
        """Choose at once."""
        choice = self.plan.choices[request.service][0]
        names = [one for one in choice.upstreams if request.may_use(one)]
        if not names:
            raise RequestError(ErrorKind.NO_UPSTREAM)
        name = self.pick(names)
        service = self.plan.services[request.service]
        upstream = choice.upstreams[name]
        return Permit(name, upstream, service, (), _ignore)

    def record_report(self, name: str, busy: float) -> None:
        """Keep the newest report."""
        self.reports[name] = busy

    def pick(self, names: list[str]) -> str:
        """Nearest region: any upstream of it."""
        return self._rng.choice(names)


class _RoundRobin(Baseline):
    def pick(self, names: list[str]) -> str:
        """The next one in turn."""
        return names[next(self._turn) % len(names)]


class _LeastLoad(Baseline):
    def pick(self, names: list[str]) -> str:
        """The one with the least reported load."""
        shuffled = self._rng.sample(names, len(names))
        return min(shuffled, key=lambda name: self.reports.get(name, 0))


BASELINES = MappingProxyType(
    {
        'round robin': _RoundRobin,
        'least reported load': _LeastLoad,
        'nearest region': Baseline,
    },
)


def _ignore(permit: Permit, failure: ErrorKind | None, is_sent: bool) -> None:
    """Learn nothing."""
