"""What a request would meet at each upstream that could take it."""

import itertools
import random
from collections.abc import Callable, Collection, Iterable

import attrs

from nutmegshore.balancing.affinity import Affinity
from nutmegshore.balancing.choice import Candidate, Candidates, RoutingRequest
from nutmegshore.balancing.cold import ColdBound
from nutmegshore.balancing.health import HealthTable
from nutmegshore.balancing.load import LoadTable
from nutmegshore.balancing.pace import PaceTable, RouteTimes
from nutmegshore.clock import Clock
from nutmegshore.errors import Offer
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.state import FleetState

__all__ = ('BalancerDependencies', 'CandidateBuilder')

#: Upstreams at home that are compared for a request: its owners in their
#: order, or random ones for a request without an object.
_COMPARED = 8
#: Upstreams of all other regions that are compared. They have to be few: an
#: object that goes to another one each time is cold at all of them, and its
#: work takes the room of the regions that it goes to.
_COMPARED_AWAY = 2
#: Seconds there and back that any other region is taken to be away. The
#: deployments of today have 0.024 and 0.11; it is not measured yet.
_FAR_S = 0.06
#: Logged as the age of a report where there is none.
_NO_REPORT = -1
#: Digits of seconds in logs.
_DIGITS = 3


@attrs.frozen
class BalancerDependencies:
    """What the balancer takes from outside.

    `gateways` gives the names of the gateways of a region, or of all for an
    empty one.
    """

    clock: Clock
    rng: random.Random
    local: str
    region: str
    gateways: Callable[[str], Collection[str]]
    max_shift: float


class CandidateBuilder:
    """Builds the candidates for a request from what was learnt so far."""

    def __init__(self, state: FleetState, around: BalancerDependencies) -> None:
        """Weigh the upstreams of the state."""
        clock = around.clock
        self.affinity = Affinity()
        self.cold = ColdBound(clock, around.local)
        self.health = HealthTable(clock)
        self.load = LoadTable(clock)
        self.pace = PaceTable(clock)
        self._around = around
        self._state = state

    def candidates(self, wanted: RoutingRequest) -> Candidates:
        """Candidates at home and in other regions, in the order of owners."""
        ranked = self._ranked(wanted)
        homes = wanted.route.homes
        if homes:
            ranked = tuple(one for one in ranked if one.region in homes)
        region = self._around.region
        near = (one for one in ranked if one.region == region)
        far = (one for one in ranked if one.region != region)
        return Candidates(
            self._weigh_first(wanted, near, _COMPARED),
            self._weigh_first(wanted, far, _COMPARED_AWAY),
        )

    def times(self, wanted: RoutingRequest) -> RouteTimes:
        """Times of the request's route at its service."""
        route = wanted.route
        return self.pace.route(
            route.name,
            wanted.service,
            route.target_latency_s,
        )

    def cold_rate(self, service: str) -> float:
        """Requests a second that a cold upstream of a service takes."""
        return self._state.configuration.rules(service).cold_per_s

    def describe(self, candidate: Candidate) -> Offer:
        """What a candidate offers, for the log."""
        name = candidate.upstream.instance
        age_s = self.load.report_age_s(name)
        return Offer(
            name,
            candidate.busy,
            _NO_REPORT if age_s is None else round(age_s, _DIGITS),
            round(candidate.wait_s, _DIGITS),
            round(candidate.expected_s, _DIGITS),
        )

    def forget(self, instance: str) -> None:
        """Drop everything about an upstream that is gone."""
        self.affinity.forget(instance)
        self.cold.forget(instance)
        self.health.forget(instance)
        self.load.forget(instance)
        self.pace.forget(instance)

    def _weigh_first(
        self,
        wanted: RoutingRequest,
        ranked: Iterable[RegisteredUpstream],
        count: int,
    ) -> list[Candidate]:
        """Weigh the first upstreams of a ranking that may take a request."""
        free = (one for one in ranked if self._may_take(wanted, one))
        return [
            self._weigh(wanted, upstream, not place)
            for place, upstream in enumerate(itertools.islice(free, count))
        ]

    def _ranked(self, wanted: RoutingRequest) -> tuple[RegisteredUpstream, ...]:
        usable = self._state.usable(wanted.service)
        if wanted.key:
            return self.affinity.ranking(wanted.service, wanted.key, usable)
        shuffled = list(usable)
        self._around.rng.shuffle(shuffled)
        return tuple(shuffled)

    def _may_take(
        self, wanted: RoutingRequest, upstream: RegisteredUpstream
    ) -> bool:
        name = upstream.instance
        if wanted.only and name != wanted.only:
            return False
        if name in wanted.tried or self.health.is_avoided(name):
            return False
        rate = self.cold_rate(wanted.service)
        if not (rate and self._state.is_cold(name)):
            return True
        gateways = self._around.gateways(upstream.region)
        gateways = gateways or self._around.gateways('')
        is_sender = self.cold.is_sender(name, gateways)
        return is_sender and self.cold.has_room(name, rate)

    def _weigh(
        self,
        wanted: RoutingRequest,
        upstream: RegisteredUpstream,
        is_owner: bool,
    ) -> Candidate:
        name = upstream.instance
        times = self.times(wanted)
        pace = self.pace.upstream(name)
        factor = pace.factor(self._around.clock.now())
        is_warm = self._is_warm(wanted, name, is_owner)
        busy = self.load.estimate(name)
        queue_s = (pace.mean_s or times.cold_s) * factor / upstream.slots
        risk = self.health.refusal_share(name)
        return Candidate(
            upstream=upstream,
            delay_s=0 if upstream.region == self._around.region else _FAR_S,
            wait_s=max(busy + 1 - upstream.slots, 0) * queue_s,
            work_s=times.expect(is_warm=is_warm) * factor,
            risk_s=risk * wanted.route.target_latency_s,
            is_warm=is_warm,
            has_handled=self.affinity.has_handled(name, wanted.key),
            busy=busy,
            is_known=times.is_known,
        )

    def _is_warm(
        self, wanted: RoutingRequest, name: str, is_owner: bool
    ) -> bool:
        if not wanted.key or not wanted.route.is_sticky:
            return False
        if self.affinity.has_handled(name, wanted.key):
            return True
        return is_owner and not self._state.is_cold(name)
