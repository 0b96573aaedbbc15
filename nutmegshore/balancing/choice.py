"""Comparison of the upstreams that could take a request."""

from collections.abc import Iterable

import attrs

from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import Route

__all__ = ('Candidate', 'Candidates', 'Choice', 'RoutingRequest', 'best_of')

#: Weight of an upstream's time against the caller's: work that is done warm
#: elsewhere leaves room for others.
_WORK_WEIGHT = 0.5


@attrs.frozen
class RoutingRequest:
    """A request as the balancer sees it.

    `tried` are instances that it was sent to before; `remaining_s` is the time
    until its deadline. `only` names the one instance that it may run on; any
    may if it is empty.
    """

    route: Route
    service: str
    key: str
    remaining_s: float
    tried: frozenset[str] = frozenset()
    only: str = ''


@attrs.frozen
class Candidate:
    """One upstream with the seconds that a request is expected to take.

    `delay_s` is the way there and back, `wait_s` the queue, `work_s` the work
    itself. `is_warm` says whether the object is taken to be warm there,
    `has_handled` whether it answered for the object from here, `risk_s` is
    what refusals cost on average. `is_known` says whether the time of the
    work was measured.
    """

    upstream: RegisteredUpstream
    delay_s: float
    wait_s: float
    work_s: float
    risk_s: float
    is_warm: bool
    has_handled: bool
    busy: int
    is_known: bool = True

    @property
    def expected_s(self) -> float:
        """Seconds until the answer."""
        return self.delay_s + self.wait_s + self.work_s + self.risk_s

    @property
    def cost_s(self) -> float:
        """Seconds until the answer, and the work that it takes from others."""
        return self.expected_s + _WORK_WEIGHT * self.work_s


@attrs.frozen
class Candidates:
    """Candidates at home and in all other regions."""

    home: list[Candidate]
    away: list[Candidate]


@attrs.frozen
class Choice:
    """The upstream that a request goes to, and why.

    `reason` is `home`, `spill` or `away` (no upstream at home). `candidates`
    counts the upstreams that could be used.
    """

    candidate: Candidate
    reason: str
    candidates: int

    @property
    def upstream(self) -> RegisteredUpstream:
        """The chosen upstream."""
        return self.candidate.upstream


def best_of(candidates: Iterable[Candidate]) -> Candidate | None:
    """The cheapest candidate; the first of equal ones."""
    return min(candidates, key=_cost, default=None)


def _cost(candidate: Candidate) -> float:
    return candidate.cost_s
