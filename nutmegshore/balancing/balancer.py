"""Selection of an upstream for each request."""

from types import MappingProxyType

import attrs

from nutmegshore.balancing.candidate_builder import CandidateBuilder
from nutmegshore.balancing.choice import (
    Candidate,
    Choice,
    RoutingRequest,
    best_of,
)
from nutmegshore.balancing.contention import Contention, Verdict
from nutmegshore.balancing.dependencies import BalancerDependencies
from nutmegshore.balancing.outcome import AttemptOutcome, AttemptResult
from nutmegshore.balancing.pause_table import Trial
from nutmegshore.balancing.refusals import Refusals
from nutmegshore.balancing.region_choice import RegionChoice, RegionChooser
from nutmegshore.errors import Offer, RemoteOffer
from nutmegshore.gateway.cold_starts import ColdSource
from nutmegshore.gateway.state import FleetState

__all__ = ('Balancer', 'InFlightRequest')

#: Outcomes of requests that an upstream has not started to process.
_NOT_STARTED = frozenset(
    (
        AttemptOutcome.REFUSED,
        AttemptOutcome.PAUSED,
        AttemptOutcome.UNREACHABLE,
    )
)
#: Outcomes after which an upstream may have started again.
_FAILURES = MappingProxyType(
    {
        AttemptOutcome.UNREACHABLE: ColdSource.UNREACHABLE,
        AttemptOutcome.LOST: ColdSource.LOST,
    }
)
#: Outcomes that only a running upstream brings about.
_ANSWERS = frozenset((AttemptOutcome.ANSWERED, AttemptOutcome.REFUSED))
#: Logged as the fraction of moved requests while it is unknown.
_UNKNOWN = -1
#: Name of this part in reports of faults.
_PART = 'balancer'
#: Decimal places of fractions in logs.
_DIGITS = 3


@attrs.define
class InFlightRequest:
    """A request in flight at an upstream.

    `token` identifies it in the `LatencyTable`; `was_handled` says whether
    the upstream had handled the request's object before. `trial` is set if its
    answer may end a pause of the upstream. `is_cold` says whether the upstream
    was cold, `is_first_cold` whether it got no request of this gateway for some
    seconds while cold.
    """

    choice: Choice
    request: RoutingRequest
    token: int
    was_handled: bool
    trial: Trial | None = None
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
        self._contention = Contention(state, dependencies.clock)
        self._refusals = Refusals(state, self.candidate_builder, dependencies)
        self._region = dependencies.region
        self._clock = dependencies.clock
        self._faults = dependencies.faults
        self._state = state

    def choose(self, request: RoutingRequest) -> Choice:
        """Return the best upstream; raise `RefusedError` on refusal."""
        with self._faults.contain(_PART):
            self._record_asked(request)
        found = self.candidate_builder.candidates(request)
        home = self._best(request, found.home)
        away = self._best(request, found.away)
        chosen = self.region_chooser.choose(
            request,
            home=home,
            away=away,
            is_held_back=found.passed_home.is_any,
        )
        candidate = chosen.candidate
        if candidate is None and not (found.limited or found.paused):
            raise self._refusals.no_upstream(request)
        verdict = self._judge_choice(request, candidate)
        if candidate is None or not verdict.is_admitted:
            refusal = self._refusals.refuse(request, found, candidate, verdict)
            with self._faults.contain(_PART):
                refusal.remote = self._describe_remote(request, chosen, away)
            raise refusal
        return Choice(
            candidate,
            chosen.reason,
            found.count,
            found.limited_names,
            found.paused_names,
        )

    def begin(self, request: RoutingRequest, choice: Choice) -> InFlightRequest:
        """Count a request that is about to be sent."""
        candidate_builder = self.candidate_builder
        with self._faults.contain(_PART):
            self._contention.record_sent(request, choice.candidate)
        name = choice.upstream.instance
        is_cold = self._state.is_cold(name)
        is_first_cold = is_cold and candidate_builder.cold_start.acquire(
            name, candidate_builder.cold_rate(request.service)
        )
        candidate_builder.limit_shares.acquire(choice.upstream)
        candidate_builder.load.get(name).in_flight += 1
        self._state.cold_starts.sends.record(name)
        is_away = choice.upstream.region != self._region
        self.region_chooser.record(request.service, is_away=is_away)
        token = candidate_builder.latency.begin(
            name, choice.candidate.expected_s
        )
        was_handled = candidate_builder.affinity.has_handled(name, request.key)
        candidate_builder.object_demand.begin(request.service, request.key)
        if request.key:
            # An upstream is warm once it starts the work, not at its end.
            candidate_builder.affinity.record(name, request.key)
        return InFlightRequest(
            choice,
            request,
            token,
            was_handled,
            candidate_builder.pauses.start_trial(choice.upstream),
            is_cold,
            is_first_cold,
        )

    def end(self, sent: InFlightRequest, result: AttemptResult) -> float:
        """Record the end of an attempt.

        Returns the seconds for which the upstream is avoided from now on, or 0.
        """
        name = sent.choice.upstream.instance
        self.candidate_builder.load.get(name).in_flight -= 1
        self.candidate_builder.object_demand.end(
            sent.request.service, sent.request.key
        )
        contain = self._faults.contain
        with contain(_PART):
            self.candidate_builder.latency.end(name, sent.token)
        if name not in self._state.by_id:
            # The upstream was removed while the request ran.
            self.candidate_builder.forget(name)
            return 0
        outcome = result.outcome
        with contain(_PART):
            self._record_contact(sent, result)
        with contain(_PART):
            outcome = self._judge(sent, outcome)
        with contain(_PART):
            self._record_outcome(sent, result, outcome)
        return self._record_health(sent, outcome)

    def _record_health(
        self, sent: InFlightRequest, outcome: AttemptOutcome
    ) -> float:
        name = sent.choice.upstream.instance
        return self.candidate_builder.health.record(name, outcome)

    def _record_outcome(
        self,
        sent: InFlightRequest,
        result: AttemptResult,
        outcome: AttemptOutcome,
    ) -> None:
        """Record what an attempt tells of affinity and latency."""
        name = sent.choice.upstream.instance
        if outcome is AttemptOutcome.ANSWERED:
            self._record_remote(sent, result)
            self._record_answer(sent, result)
        elif outcome in _NOT_STARTED and not sent.was_handled:
            self.candidate_builder.affinity.discard(name, sent.request.key)
        elif outcome is AttemptOutcome.SILENT:
            expected_s = sent.choice.candidate.expected_s
            self.candidate_builder.latency.add_sample(
                name, result.took_s, expected_s
            )

    def _record_contact(
        self, sent: InFlightRequest, result: AttemptResult
    ) -> None:
        """Note whether an attempt has reached its upstream."""
        upstream = sent.choice.upstream
        cold_starts = self._state.cold_starts
        failure = _FAILURES.get(result.outcome)
        if failure is not None:
            cold_starts.handle_failure(upstream, failure)
        elif result.outcome in _ANSWERS:
            self.candidate_builder.latency.record_answer(upstream.instance)
            sent_at = self._clock.now() - result.took_s
            cold_starts.handle_answer(upstream, sent_at)

    def _judge(
        self, sent: InFlightRequest, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """Return the outcome in view of the upstream's pause."""
        pauses = self.candidate_builder.pauses
        if sent.trial is not None:
            pauses.end_trial(sent.trial, outcome)
        is_refused = outcome is AttemptOutcome.REFUSED
        if is_refused and pauses.is_asked(sent.choice.upstream):
            return AttemptOutcome.PAUSED
        return outcome

    def _record_asked(self, request: RoutingRequest) -> None:
        self._contention.record_asked(request)
        if request.key and not request.tried:
            self.candidate_builder.object_demand.record(
                request.service, request.key
            )

    def _best(
        self, request: RoutingRequest, candidates: list[Candidate]
    ) -> Candidate | None:
        """Return the cheapest candidate that is expected to answer in time.

        If none is, return the cheapest one: refused callers come back to where
        their object is warm, while late work elsewhere displaces others.
        """
        target_s = request.route.target_latency_s
        in_time = [one for one in candidates if one.expected_s <= target_s]
        return best_of(in_time or candidates)

    def _judge_choice(
        self, request: RoutingRequest, candidate: Candidate | None
    ) -> Verdict:
        if candidate is None:
            return Verdict()
        return self._contention.judge(request, candidate)

    def _is_admitted(self, request: RoutingRequest, chosen: Candidate) -> bool:
        return self._contention.judge(request, chosen).is_admitted

    def _record_remote(
        self, sent: InFlightRequest, result: AttemptResult
    ) -> None:
        """Record whether another region has answered in time."""
        if sent.choice.upstream.region != self._region:
            request = sent.request
            self.region_chooser.remote_success.record(
                request.service,
                is_in_time=result.took_s <= request.route.target_latency_s,
            )

    def _record_answer(
        self, sent: InFlightRequest, result: AttemptResult
    ) -> None:
        candidate = sent.choice.candidate
        upstream = candidate.upstream
        request = sent.request
        work_s = self.candidate_builder.delays.record_answer(
            upstream.region, result.took_s
        )
        if not work_s:
            return
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
