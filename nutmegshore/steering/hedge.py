"""When a second attempt is sent beside a slow first one."""

import math
from collections.abc import Mapping

from nutmegshore.counters import Counters
from nutmegshore.resources import Service
from nutmegshore.steering.retry import RetryBudget

__all__ = ('HedgePolicy',)

_PERCENTILE = 95
#: Answers needed before the percentile means anything.
_LEAST_ANSWERS = 20
_METRIC = 'upstream_seconds'


class HedgePolicy:
    """Delay and permission for hedges, paid from the retry budget.

    delay = policy.delay_s('tallies', services['tallies'])
    """

    def __init__(self, counters: Counters, budget: RetryBudget) -> None:
        """Observe answers in the counters' histograms."""
        self._counters = counters
        self._budget = budget
        self._answers: dict[str, int] = {}

    def record_answer(self, service: str, seconds: float) -> None:
        """Record the time of an answered attempt."""
        self._answers[service] = self._answers.get(service, 0) + 1
        self._counters.record_s(_METRIC, seconds, service=service)

    def delay_s(self, name: str, services: Mapping[str, Service]) -> float:
        """Seconds after which a hedge is sent; infinite where none may be."""
        service = services.get(name)
        if service is None or not (service.idempotent and service.hedge):
            return math.inf
        if self._answers.get(name, 0) < _LEAST_ANSWERS:
            return math.inf
        return self._counters.percentile_s(_METRIC, _PERCENTILE, service=name)

    def may_hedge(self, deadline: float) -> bool:
        """Take the budget for one hedge; it counts as the second attempt."""
        return self._budget.try_acquire('hedge', 1, deadline)
