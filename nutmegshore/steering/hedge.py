"""Hedging: a second attempt while a slow first one is still running."""

import math
from collections.abc import Mapping

from nutmegshore.counters import Counters
from nutmegshore.resources import Service
from nutmegshore.steering.retry import RetryBudget

__all__ = ('HedgePolicy',)

_PERCENTILE = 95
#: Answers needed before the percentile is meaningful.
_LEAST_ANSWERS = 20
_METRIC = 'upstream_seconds'


class HedgePolicy:
    """Decides when to send a hedge; each one uses the retry budget.

    The delay is the 95th percentile of the service's answer times.

    delay = policy.delay_s('tallies', services['tallies'])
    """

    def __init__(self, counters: Counters, budget: RetryBudget) -> None:
        """Keep the answer times in the histograms of `counters`."""
        self._counters = counters
        self._budget = budget
        self._answers: dict[str, int] = {}

    def record_answer(self, service: str, seconds: float) -> None:
        """Record the duration of an answered attempt."""
        self._answers[service] = self._answers.get(service, 0) + 1
        self._counters.record_s(_METRIC, seconds, service=service)

    def delay_s(self, name: str, services: Mapping[str, Service]) -> float:
        """Seconds after which a hedge is sent; infinite if none is allowed."""
        service = services.get(name)
        if service is None or not (service.idempotent and service.hedge):
            return math.inf
        if self._answers.get(name, 0) < _LEAST_ANSWERS:
            return math.inf
        return self._counters.percentile_s(_METRIC, _PERCENTILE, service=name)

    def may_hedge(self, deadline: float) -> bool:
        """Acquire the budget for one hedge, which counts as second attempt."""
        return self._budget.try_acquire('hedge', 1, deadline)
