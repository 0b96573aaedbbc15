"""Refusals of requests that no upstream takes now."""

from collections.abc import Iterable

from nutmegshore.balancing.admission import Admission
from nutmegshore.balancing.candidate_builder import CandidateBuilder
from nutmegshore.balancing.choice import (
    Candidate,
    Candidates,
    RoutingRequest,
)
from nutmegshore.balancing.contention import Verdict
from nutmegshore.balancing.dependencies import BalancerDependencies
from nutmegshore.errors import Contended, ErrorKind, RefusedError
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.state import FleetState

__all__ = ('Refusals',)

#: Retry time in seconds if it cannot be worked out.
_DEFAULT_RETRY_S = 0.4
#: Name of this part in reports of faults.
_PART = 'refusals'
#: Decimal places of seconds in logs.
_DIGITS = 3


class Refusals:
    """Says why a request is refused, and when its caller should return.

    A fault in the retry time or in what is logged costs neither the refusal nor
    its reason.

        raise refusals.refuse(request, candidates, best)
    """

    def __init__(
        self,
        state: FleetState,
        candidate_builder: CandidateBuilder,
        dependencies: BalancerDependencies,
    ) -> None:
        """Describe the candidates of `candidate_builder`."""
        self._state = state
        self._candidate_builder = candidate_builder
        self._admission = Admission(dependencies.clock, dependencies.rng)
        self._region = dependencies.region
        self._gateways = dependencies.gateways
        self._faults = dependencies.faults

    def refuse(
        self,
        request: RoutingRequest,
        found: Candidates,
        candidate: Candidate | None,
        verdict: Verdict,
    ) -> RefusedError:
        """Return the refusal of a request that no upstream takes now.

        `candidate` is the best of those that could, or None if all are passed
        over; `verdict` says why it does not.
        """
        refusal = RefusedError(
            _kind(found, candidate),
            request.service,
            _DEFAULT_RETRY_S,
        )
        with self._faults.contain(_PART):
            refusal.retry_after_s = self._retry_s(
                request, found, candidate, verdict
            )
        with self._faults.contain(_PART):
            refusal.contended = _describe_verdict(verdict)
            self._describe(refusal, found, candidate)
        return refusal

    def no_upstream(self, request: RoutingRequest) -> RefusedError:
        """Return the refusal of a request whose service has no upstream."""
        retry_s = self._admission.no_upstream_retry_s()
        return RefusedError(ErrorKind.NO_UPSTREAM, request.service, retry_s)

    def _retry_s(
        self,
        request: RoutingRequest,
        found: Candidates,
        candidate: Candidate | None,
        verdict: Verdict,
    ) -> float:
        if candidate:
            return self._admission.retry_after_s(
                request, verdict.room_in_s, self._gap_s(request, candidate)
            )
        if found.limited:
            return self._rate_limited_s(request, found)
        return self._paused_s(request, found)

    def _describe(
        self,
        refusal: RefusedError,
        found: Candidates,
        candidate: Candidate | None,
    ) -> None:
        """Add what is logged of the candidates."""
        refusal.limited = found.limited_names
        refusal.paused = found.paused_names
        if candidate:
            refusal.candidates = found.count
            refusal.best = self._candidate_builder.describe(candidate)

    def _rate_limited_s(
        self, request: RoutingRequest, found: Candidates
    ) -> float:
        """Return the retry time if no limit leaves room for the request."""
        shares = self._candidate_builder.limit_shares
        rank = request.route.rank
        earliest_s = shares.next_room_s(found.limited, rank)
        if found.paused:
            opens_in_s = self._first_opening_s(found.paused)
            earliest_s = min(earliest_s, opens_in_s)
        retry_s = self._admission.retry_after_s(
            request, earliest_s, shares.gap_s(found.limited)
        )
        shares.reservations.record_refusal(request.service, rank)
        return retry_s

    def _paused_s(self, request: RoutingRequest, found: Candidates) -> float:
        """Return the retry time if the upstreams want no requests."""
        return self._admission.paused_retry_s(
            request.service,
            self._first_opening_s(found.paused),
            self._pause_gap_s(request, found.paused),
        )

    def _gap_s(self, request: RoutingRequest, chosen: Candidate) -> float:
        """Return the seconds between requests that this gateway may send.

        The gateways of the region share its upstreams.
        """
        shares = self._candidate_builder.limit_shares
        pauses = self._candidate_builder.pauses
        region = chosen.upstream.region
        rate = sum(
            min(upstream.slots / chosen.work_s, shares.fleet_rate(upstream))
            for upstream in self._state.usable(request.service)
            if upstream.region == region and not pauses.is_paused(upstream)
        )
        return self._members(region) / max(rate, 1 / chosen.work_s)

    def _first_opening_s(self, paused: Iterable[RegisteredUpstream]) -> float:
        """Return the seconds until the first of some pauses ends."""
        pauses = self._candidate_builder.pauses
        return min(pauses.left_s(upstream) for upstream in paused)

    def _pause_gap_s(
        self, request: RoutingRequest, paused: Iterable[RegisteredUpstream]
    ) -> float:
        """Return the seconds between requests after the end of some pauses."""
        slots = sum(upstream.slots for upstream in paused)
        work_s = self._candidate_builder.route_latency(request).cold_s
        return self._members(self._region) * work_s / max(slots, 1)

    def _members(self, region: str) -> int:
        return max(len(self._gateways(region)), 1)


def _describe_verdict(verdict: Verdict) -> Contended:
    return Contended(
        verdict.cause.value,
        round(verdict.wait_limit_s, _DIGITS),
        verdict.kept_for,
    )


def _kind(found: Candidates, candidate: Candidate | None) -> ErrorKind:
    """Return why a request is refused."""
    if candidate:
        return ErrorKind.OVERLOADED
    return (
        ErrorKind.RATE_LIMITED if found.limited else ErrorKind.UPSTREAM_PAUSED
    )
