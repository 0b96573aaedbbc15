"""Selection of an upstream for each request."""

from collections.abc import Iterator

import attrs

from nutmegshore.balancing.admission import Admission
from nutmegshore.balancing.candidate_builder import (
    BalancerDependencies,
    CandidateBuilder,
)
from nutmegshore.balancing.choice import (
    Candidate,
    Candidates,
    Choice,
    RoutingRequest,
    best_of,
)
from nutmegshore.balancing.outcome import AttemptOutcome, AttemptResult
from nutmegshore.balancing.region_choice import RegionChoice, RegionChooser
from nutmegshore.errors import ErrorKind, Offer, RefusedError, RemoteOffer
from nutmegshore.gateway.route import Configuration
from nutmegshore.gateway.state import FleetState

__all__ = ('Balancer', 'InFlightRequest')

#: Outcomes of requests that an upstream has not started to process.
_NOT_STARTED = frozenset((AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE))
#: Logged as the fraction of moved requests while it is unknown.
_UNKNOWN = -1
#: Decimal places of fractions in logs.
_DIGITS = 3


@attrs.define
class InFlightRequest:
    """A request in flight at an upstream.

    `token` identifies it in the `LatencyTable`; `was_handled` says whether
    the upstream had handled the request's object before. `is_cold` says
    whether the upstream was cold, `is_first_cold` whether it got no request of
    this gateway for some seconds while cold.
    """

    choice: Choice
    request: RoutingRequest
    token: int
    was_handled: bool
    is_cold: bool = False
    is_first_cold: bool = False


class Balancer:
    """Chooses upstreams, and updates its estimates when attempts end.

    choice = balancer.choose(request)  # raises RefusedError
    sent = balancer.begin(request, choice)
    balancer.end(sent, AttemptResult(AttemptOutcome.ANSWERED, took_s))
    """

    def __init__(
        self, state: FleetState, dependencies: BalancerDependencies
    ) -> None:
        """Choose among the upstreams in `state`."""
        self.candidate_builder = CandidateBuilder(state, dependencies)
        self.region_chooser = RegionChooser(dependencies, self._is_admitted)
        self._admission = Admission(dependencies.clock, dependencies.rng)
        self._region = dependencies.region
        self._gateways = dependencies.gateways
        self._ranks: tuple[Configuration | None, dict[str, int]] = (None, {})
        self._state = state

    def choose(self, request: RoutingRequest) -> Choice:
        """Return the best upstream; raise `RefusedError` on refusal."""
        found = self.candidate_builder.candidates(request)
        count = len(found.home) + len(found.away)
        home = best_of(found.home)
        away = best_of(found.away)
        chosen = self.region_chooser.choose(
            request, home=home, away=away, is_limited=bool(found.limited)
        )
        if chosen.candidate is None and found.limited:
            refusal = self._rate_limited(request, found)
            refusal.remote = self._describe_remote(request, chosen, away)
            raise refusal
        if chosen.candidate is None:
            raise self._no_upstream(request)
        if not self._is_admitted(request, chosen.candidate):
            refusal = self._overloaded(request, chosen.candidate, count)
            refusal.remote = self._describe_remote(request, chosen, away)
            refusal.limited = found.limited_names
            raise refusal
        return Choice(
            chosen.candidate, chosen.reason, count, found.limited_names
        )

    def begin(self, request: RoutingRequest, choice: Choice) -> InFlightRequest:
        """Count a request that is about to be sent."""
        candidate_builder = self.candidate_builder
        name = choice.upstream.instance
        is_cold = self._state.is_cold(name)
        is_first_cold = is_cold and candidate_builder.cold_start.acquire(
            name, candidate_builder.cold_rate(request.service)
        )
        candidate_builder.limit_shares.acquire(choice.upstream)
        candidate_builder.load.get(name).in_flight += 1
        is_away = choice.upstream.region != self._region
        self.region_chooser.record(request.service, is_away=is_away)
        token = candidate_builder.latency.begin(
            name, choice.candidate.expected_s
        )
        was_handled = candidate_builder.affinity.has_handled(name, request.key)
        if request.key:
            # An upstream is warm once it starts the work, not at its end.
            candidate_builder.affinity.record(name, request.key)
        return InFlightRequest(
            choice, request, token, was_handled, is_cold, is_first_cold
        )

    def end(self, sent: InFlightRequest, result: AttemptResult) -> float:
        """Record the end of an attempt.

        Returns the seconds for which the upstream is avoided from now on, or 0.
        """
        name = sent.choice.upstream.instance
        self.candidate_builder.load.get(name).in_flight -= 1
        self.candidate_builder.latency.end(name, sent.token)
        if name not in self._state.by_id:
            # The upstream was removed while the request ran.
            self.candidate_builder.forget(name)
            return 0
        if result.outcome is AttemptOutcome.ANSWERED:
            self._record_answer(sent, result)
        elif result.outcome in _NOT_STARTED and not sent.was_handled:
            self.candidate_builder.affinity.discard(name, sent.request.key)
        elif result.outcome is AttemptOutcome.SILENT:
            expected_s = sent.choice.candidate.expected_s
            self.candidate_builder.latency.add_sample(
                name, result.took_s, expected_s
            )
        return self.candidate_builder.health.record(name, result.outcome)

    def _is_admitted(self, request: RoutingRequest, chosen: Candidate) -> bool:
        return self._admission.allows(
            request.route,
            chosen,
            request.remaining_s,
            self._lowest_rank(request.service),
        )

    def _lowest_rank(self, service: str) -> int:
        """Return the rank of the most urgent route to a service."""
        configuration = self._state.configuration
        if self._ranks[0] is not configuration:
            self._ranks = (configuration, dict(_iter_ranks(configuration)))
        return self._ranks[1].get(service, 0)

    def _record_answer(
        self, sent: InFlightRequest, result: AttemptResult
    ) -> None:
        candidate = sent.choice.candidate
        upstream = candidate.upstream
        request = sent.request
        work_s = max(result.took_s - candidate.delay_s, 0)
        route_latency = self.candidate_builder.route_latency(request)
        expected_s = (
            route_latency.expect(is_warm=candidate.is_warm) + candidate.wait_s
        )
        self.candidate_builder.latency.add_sample(
            upstream.instance, work_s, expected_s
        )
        if self._is_pure_work_time(candidate):
            is_presumed = candidate.is_warm and not sent.was_handled
            is_warm = candidate.is_warm
            if is_presumed:
                is_warm = route_latency.is_likely_warm(work_s)
            route_latency.add_sample(work_s, is_warm=is_warm)

    def _is_pure_work_time(self, candidate: Candidate) -> bool:
        """Return whether the time of a request is that of its work alone.

        That is so if it did not wait and the upstream was not cold.
        """
        is_cold = self._state.is_cold(candidate.upstream.instance)
        return not (candidate.wait_s or is_cold)

    def _no_upstream(self, request: RoutingRequest) -> RefusedError:
        retry_s = self._admission.no_upstream_retry_s()
        return RefusedError(ErrorKind.NO_UPSTREAM, request.service, retry_s)

    def _rate_limited(
        self, request: RoutingRequest, found: Candidates
    ) -> RefusedError:
        """Return the refusal of a request that no limit leaves room for."""
        shares = self.candidate_builder.limit_shares
        rank = request.route.rank
        retry_s = self._admission.rate_limited_retry_s(
            request.service,
            shares.next_room_s(found.limited, rank),
            shares.gap_s(found.limited),
        )
        shares.reservations.record_refusal(request.service, rank)
        refusal = RefusedError(ErrorKind.RATE_LIMITED, request.service, retry_s)
        refusal.limited = found.limited_names
        return refusal

    def _overloaded(
        self,
        request: RoutingRequest,
        chosen: Candidate,
        candidates: int,
    ) -> RefusedError:
        retry_s = self._admission.retry_after_s(
            request,
            chosen,
            self._gap_s(request, chosen),
        )
        refusal = RefusedError(ErrorKind.OVERLOADED, request.service, retry_s)
        refusal.candidates = candidates
        refusal.best = self.candidate_builder.describe(chosen)
        return refusal

    def _describe_remote(
        self,
        request: RoutingRequest,
        chosen: RegionChoice,
        away: Candidate | None,
    ) -> RemoteOffer:
        """Return what is logged of the other regions when home refuses."""
        chooser = self.region_chooser
        away_fraction = chooser.shift_bound.region_away_fraction
        best = self.candidate_builder.describe(away) if away else Offer()
        return RemoteOffer(
            chosen.stay_reason.value,
            best.upstream,
            best.wait_s,
            best.expected_s,
            round(chooser.spillover.fraction(request.service), _DIGITS),
            _UNKNOWN
            if away_fraction is None
            else round(away_fraction, _DIGITS),
        )

    def _gap_s(self, request: RoutingRequest, chosen: Candidate) -> float:
        """Return the seconds between requests that this gateway may send.

        The gateways of the region share its upstreams.
        """
        shares = self.candidate_builder.limit_shares
        region = chosen.upstream.region
        rate = sum(
            min(upstream.slots / chosen.work_s, shares.fleet_rate(upstream))
            for upstream in self._state.usable(request.service)
            if upstream.region == region
        )
        members = max(len(self._gateways(region)), 1)
        return members / max(rate, 1 / chosen.work_s)


def _iter_ranks(configuration: Configuration) -> Iterator[tuple[str, int]]:
    """Yield each service with the rank of its most urgent route."""
    ranks: dict[str, int] = {}
    for route in configuration.routes:
        for share in route.shares:
            known = ranks.get(share.service, route.rank)
            ranks[share.service] = min(known, route.rank)
    yield from ranks.items()
