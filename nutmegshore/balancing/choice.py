"""Candidate upstreams of a request, and their comparison by cost."""

from collections.abc import Iterable

import attrs

from nutmegshore.gateway.customer import Customer
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import Route

__all__ = (
    'Candidate',
    'Candidates',
    'Choice',
    'PassedOver',
    'RoutingRequest',
    'best_of',
)

#: Weight of an upstream's work time relative to the caller's time. Work on an
#: object that is not warm takes capacity from other requests, and displaces an
#: object whose next request then takes as long.
_WORK_WEIGHT = 1.5


@attrs.frozen
class RoutingRequest:
    """The properties of a request that the balancer uses.

    `tried` names the instances that the request was already sent to;
    `remaining_s` is the time until its deadline. `only` names the one instance
    that may run it; if empty, any may. `customer` is whom it belongs to.
    `age_s` is the time since it arrived.
    """

    route: Route
    service: str
    key: str
    remaining_s: float
    tried: frozenset[str] = frozenset()
    only: str = ''
    customer: Customer | None = None
    age_s: float = 0

    @property
    def urgency(self) -> tuple[int, int]:
        """Rank of the customer, then of the route; the least goes first."""
        return (self.customer.rank if self.customer else 0, self.route.rank)

    def may_run_in(self, region: str) -> bool:
        """Whether the homes of the route and of the customer allow a region."""
        return all(not homes or region in homes for homes in self._homes())

    @property
    def has_homes(self) -> bool:
        """Whether the route or the customer has home regions."""
        return any(self._homes())

    def _homes(self) -> tuple[frozenset[str], frozenset[str]]:
        customer_homes = self.customer.homes if self.customer else frozenset()
        return (self.route.homes, customer_homes)


@attrs.frozen
class Candidate:
    """An upstream with the seconds that a request is expected to take there.

    `delay_s` is the network round trip, `wait_s` the time in the queue and
    `work_s` the work itself; `risk_s` is the average cost of refusals.
    `is_warm` says whether the object is presumed warm there, `has_handled`
    whether this gateway sent its requests there. `is_known` says whether the
    work time was measured.
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
        """Expected seconds until the answer."""
        return self.delay_s + self.wait_s + self.work_s + self.risk_s

    @property
    def cost_s(self) -> float:
        """Expected seconds until the answer, plus weighted work time."""
        return self.expected_s + _WORK_WEIGHT * self.work_s


@attrs.frozen
class PassedOver:
    """Upstreams that this gateway may send no request now.

    `limited` have no room for it within their limit, `paused` have asked for a
    pause.
    """

    limited: list[RegisteredUpstream] = attrs.field(factory=list)
    paused: list[RegisteredUpstream] = attrs.field(factory=list)

    @property
    def is_any(self) -> bool:
        """Whether any upstream was passed over."""
        return bool(self.limited or self.paused)


@attrs.frozen
class Candidates:
    """Candidates at home and in all other regions.

    `passed_home` and `passed_away` are the upstreams that were passed over.
    """

    home: list[Candidate]
    away: list[Candidate]
    passed_home: PassedOver = attrs.field(factory=PassedOver)
    passed_away: PassedOver = attrs.field(factory=PassedOver)

    @property
    def count(self) -> int:
        """Number of candidates."""
        return len(self.home) + len(self.away)

    @property
    def limited(self) -> list[RegisteredUpstream]:
        """Upstreams at home that were passed over because of their limit."""
        return self.passed_home.limited

    @property
    def paused(self) -> list[RegisteredUpstream]:
        """Upstreams that were passed over because they asked for a pause."""
        return [*self.passed_home.paused, *self.passed_away.paused]

    @property
    def limited_names(self) -> list[str]:
        """Names of the upstreams that were passed over for their limit."""
        return [upstream.instance for upstream in self.limited]

    @property
    def paused_names(self) -> list[str]:
        """Names of the upstreams that were passed over for their pause."""
        return [upstream.instance for upstream in self.paused]


@attrs.frozen
class Choice:
    """The upstream chosen for a request, and the reason.

    `reason` is `home`, `spill` or `away` (no upstream at home). `candidates`
    is the number of usable upstreams, `limited` names those at home that were
    passed over because of their limit, `paused` those that asked for a pause.
    """

    candidate: Candidate
    reason: str
    candidates: int
    limited: list[str] = attrs.field(factory=list)
    paused: list[str] = attrs.field(factory=list)

    @property
    def upstream(self) -> RegisteredUpstream:
        """The chosen upstream."""
        return self.candidate.upstream


def best_of(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the cheapest candidate, or the first of equally cheap ones."""
    return min(candidates, key=_cost, default=None)


def _cost(candidate: Candidate) -> float:
    return candidate.cost_s
