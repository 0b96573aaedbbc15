"""The candidate upstreams of a request, with their expected times."""

import itertools
import math
from collections.abc import Iterable, Iterator, Sequence

from nutmegshore.balancing.affinity import Affinity
from nutmegshore.balancing.choice import (
    Candidate,
    Candidates,
    PassedOver,
    RoutingRequest,
)
from nutmegshore.balancing.cold_start import ColdStartLimiter
from nutmegshore.balancing.dependencies import BalancerDependencies
from nutmegshore.balancing.health import HealthTable
from nutmegshore.balancing.limit_shares import LimitShares
from nutmegshore.balancing.limit_table import LimitTable
from nutmegshore.balancing.load import LoadTable
from nutmegshore.balancing.latency import LatencyTable, RouteLatency
from nutmegshore.balancing.object_demand import ObjectDemand
from nutmegshore.balancing.pause_table import PauseTable
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.balancing.region_delays import RegionDelays
from nutmegshore.errors import Offer
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.state import FleetState

__all__ = ('CandidateBuilder',)

#: Upstreams at home that are compared for a request without an object; they are
#: chosen at random.
_COMPARED_AT_RANDOM = 8
#: Least number of upstreams that share the requests for an object. A second one
#: takes over while the first is busy. An upstream keeps only the objects that
#: it handled last: if each object goes to many, most work is done on objects
#: that were forgotten, and queues make it spread even more.
_MIN_OBJECT_UPSTREAMS = 2
#: Part of an upstream's slots that the requests for one object may use before
#: one more upstream shares them.
_OBJECT_SLOTS_FRACTION = 0.6
#: Upstreams of all other regions that are compared. They have to be few: an
#: object that goes to a different one each time is cold at all of them, and its
#: work uses up the capacity of those regions.
_MAX_COMPARED_AWAY = 2
#: Logged as the age of a report if there is none.
_NO_REPORT = -1
#: Decimal places of seconds in logs.
_DIGITS = 3


class CandidateBuilder:
    """Builds the candidates for a request from load, latency and health."""

    def __init__(
        self, state: FleetState, dependencies: BalancerDependencies
    ) -> None:
        """Build candidates from the upstreams in `state`."""
        clock = dependencies.clock
        self.affinity = Affinity()
        self.cold_start = ColdStartLimiter(clock, dependencies.local)
        self.health = HealthTable(clock)
        self.members = RecentMembers(clock, dependencies.gateways)
        self.limits = LimitTable(clock)
        self.limit_shares = LimitShares(
            clock, dependencies.local, self.limits, self.members
        )
        self.pauses = PauseTable(
            clock,
            dependencies.rng,
            lambda: self.members.count(dependencies.region),
        )
        self.load = LoadTable(clock)
        self.object_demand = ObjectDemand(clock)
        self.latency = LatencyTable(clock)
        self.delays = RegionDelays(clock, dependencies.region)
        self._dependencies = dependencies
        self.state = state

    def candidates(self, request: RoutingRequest) -> Candidates:
        """Return candidates at home and in other regions, in ranking order."""
        ranked = self._ranked(request)
        if request.has_homes:
            ranked = tuple(
                one for one in ranked if request.may_run_in(one.region)
            )
        region = self._dependencies.region
        near = (one for one in ranked if one.region == region)
        far = (one for one in ranked if one.region != region)
        home = PassedOver()
        away = PassedOver()
        return Candidates(
            self._evaluate_first(
                request, near, self._compared_at_home(request, ranked), home
            ),
            self._evaluate_first(request, far, _MAX_COMPARED_AWAY, away),
            home,
            away,
        )

    def route_latency(self, request: RoutingRequest) -> RouteLatency:
        """Return the work times of the request's route at its service."""
        route = request.route
        return self.latency.route(
            route.name,
            request.service,
            route.target_latency_s,
        )

    def cold_rate(self, service: str) -> float:
        """Return the requests per second that a cold upstream accepts."""
        return self.state.configuration.rules(service).cold_per_s

    def is_registered(self, instance: str) -> bool:
        """Return whether an upstream is registered."""
        return instance in self.state.by_id

    def is_cold_sender(self, upstream: RegisteredUpstream) -> bool:
        """Return whether this gateway may send to an upstream while cold."""
        if self.members.is_joining:
            return False
        region = self.members.sender_region(upstream.region)
        gateways = self.members.recent_names(region)
        return self.cold_start.is_sender(upstream.instance, gateways)

    def describe(self, candidate: Candidate) -> Offer:
        """Return a candidate's expected times and load for the log."""
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
        """Drop all records of a removed upstream."""
        self.affinity.forget(instance)
        self.cold_start.forget(instance)
        self.health.forget(instance)
        self.limit_shares.forget(instance)
        self.limits.forget(instance)
        self.pauses.forget(instance)
        self.load.forget(instance)
        self.latency.forget(instance)

    def _evaluate_first(
        self,
        request: RoutingRequest,
        ranked: Iterable[RegisteredUpstream],
        count: int,
        passed: PassedOver,
    ) -> list[Candidate]:
        """Evaluate the first `count` upstreams that are eligible.

        Those that may be sent no request now are added to `passed`.
        """
        free = self._iter_free(request, ranked, passed)
        return [
            self._evaluate(request, upstream, not place)
            for place, upstream in enumerate(itertools.islice(free, count))
        ]

    def _compared_at_home(
        self, request: RoutingRequest, ranked: Sequence[RegisteredUpstream]
    ) -> int:
        """Return how many upstreams at home may get a request.

        All gateways rank the upstreams of an object alike, so that those of an
        object with few requests are a part of those with more.
        """
        if not (request.key and request.route.is_sticky and ranked):
            return _COMPARED_AT_RANDOM
        gateways = len(self.members.names(self._dependencies.region))
        busy_slots = self.object_demand.busy_slots(
            request.service,
            request.key,
            self.route_latency(request).warm_s,
            gateways,
        )
        slots = max(ranked[0].slots, 1)
        needed = math.ceil(busy_slots / (slots * _OBJECT_SLOTS_FRACTION))
        return max(needed + 1, _MIN_OBJECT_UPSTREAMS)

    def _iter_free(
        self,
        request: RoutingRequest,
        ranked: Iterable[RegisteredUpstream],
        passed: PassedOver,
    ) -> Iterator[RegisteredUpstream]:
        for upstream in ranked:
            is_permitted = request.only in {'', upstream.instance}
            if is_permitted and self._is_free(request, upstream, passed):
                yield upstream

    def _is_free(
        self,
        request: RoutingRequest,
        upstream: RegisteredUpstream,
        passed: PassedOver,
    ) -> bool:
        """Return whether an upstream may be sent a request now.

        One that is passed over for its pause or limit is added to `passed`.
        """
        if self.pauses.is_paused(upstream):
            passed.paused.append(upstream)
            return False
        if not self._is_eligible(request, upstream):
            return False
        if self.limit_shares.has_room(upstream, request.route.rank):
            return True
        passed.limited.append(upstream)
        return False

    def _ranked(
        self, request: RoutingRequest
    ) -> tuple[RegisteredUpstream, ...]:
        usable = self.state.usable(request.service)
        if request.key:
            return self.affinity.ranking(request.service, request.key, usable)
        shuffled = list(usable)
        self._dependencies.rng.shuffle(shuffled)
        return tuple(shuffled)

    def _is_eligible(
        self, request: RoutingRequest, upstream: RegisteredUpstream
    ) -> bool:
        name = upstream.instance
        if name in request.tried or self.health.is_avoided(name):
            return False
        rate = self.cold_rate(request.service)
        if not (rate and self.state.is_cold(name)):
            return True
        return self.is_cold_sender(upstream) and self.cold_start.has_token(
            name, rate
        )

    def _evaluate(
        self,
        request: RoutingRequest,
        upstream: RegisteredUpstream,
        is_owner: bool,
    ) -> Candidate:
        name = upstream.instance
        route_latency = self.route_latency(request)
        latency = self.latency.upstream(name)
        slowness_factor = latency.slowness_factor(
            self._dependencies.clock.now()
        )
        is_warm = self._is_warm(request, name, is_owner)
        busy = self.load.estimate(name)
        queue_s = (
            (latency.mean_s or route_latency.cold_s)
            * slowness_factor
            / upstream.slots
        )
        risk = self.health.refusal_share(name)
        return Candidate(
            upstream=upstream,
            delay_s=self.delays.round_trip_s(upstream.region),
            wait_s=max(busy + 1 - upstream.slots, 0) * queue_s,
            work_s=route_latency.expect(is_warm=is_warm) * slowness_factor,
            risk_s=risk * request.route.target_latency_s,
            is_warm=is_warm,
            has_handled=self.affinity.has_handled(name, request.key),
            busy=busy,
            is_known=route_latency.is_known,
        )

    def _is_warm(
        self, request: RoutingRequest, name: str, is_owner: bool
    ) -> bool:
        if not request.key or not request.route.is_sticky:
            return False
        if self.affinity.has_handled(name, request.key):
            return True
        return is_owner and not self.state.is_cold(name)
