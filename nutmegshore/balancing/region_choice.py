"""Choice between the upstreams at home and those of other regions."""

from collections.abc import Callable, Mapping

import attrs

from nutmegshore.balancing.dependencies import BalancerDependencies
from nutmegshore.balancing.choice import Candidate, RoutingRequest
from nutmegshore.balancing.remote_success import RemoteSuccess
from nutmegshore.balancing.service_traffic import ServiceTraffic
from nutmegshore.balancing.shift_bound import ShiftBound
from nutmegshore.balancing.spillover import SpilloverTable
from nutmegshore.errors import StayReason

__all__ = ('RegionChoice', 'RegionChooser')

_HOME = 'home'
_SPILL = 'spill'
_AWAY = 'away'
#: Minimum fraction of its target that a request is assumed to have for waiting.
_MIN_SPARE_FRACTION = 0.25
#: The same in seconds, since a route may have a target of 0.
_MIN_SPARE_S = 0.001
#: Another region has spare capacity while its queue takes at most this fraction
#: of the time that the request may wait.
_SPARE_CAPACITY_FRACTION = 0.25
#: Wait ratio of a region whose upstreams accept no more requests.
_FULL_WAIT_RATIO = 1

IsAdmitted = Callable[[RoutingRequest, Candidate], bool]


@attrs.frozen
class RegionChoice:
    """The better one of two candidates, or None without candidates.

    `reason` is that of `Choice`. `stay_reason` tells why a request that has a
    candidate at home was not sent to another region.
    """

    candidate: Candidate | None
    reason: str
    stay_reason: StayReason = StayReason.MOVED


class RegionChooser:
    """Decides which requests run at home and which in other regions.

    chosen = chooser.choose(request, home=home, away=away)
    """

    def __init__(
        self, dependencies: BalancerDependencies, is_admitted: IsAdmitted
    ) -> None:
        """Ask `is_admitted` whether a candidate accepts a request."""
        self.spillover = SpilloverTable(dependencies.clock)
        self.shift_bound = ShiftBound(
            dependencies.clock,
            dependencies.max_shift,
            dependencies.rng,
        )
        self.remote_success = RemoteSuccess(dependencies.clock)
        self._is_admitted = is_admitted

    def choose(
        self,
        request: RoutingRequest,
        *,
        home: Candidate | None,
        away: Candidate | None,
        is_held_back: bool = False,
    ) -> RegionChoice:
        """Choose between the best candidates at home and elsewhere.

        `is_held_back` says whether upstreams at home were passed over because
        of their rate limits or pauses.
        """
        if home is None and is_held_back:
            return self._choose_beyond_limits(request, away)
        if home is None:
            return RegionChoice(away, _AWAY)
        if away is None:
            return RegionChoice(home, _HOME, StayReason.NO_UPSTREAM)
        is_refused = not self._is_admitted(request, home)
        self._record_wait_ratio(request, home, away, is_refused=is_refused)
        is_useful = away.has_handled or self._is_likely_in_time(request, away)
        stay_reason = self._stay_reason(
            request, away, is_overflow=is_refused and is_useful
        )
        if stay_reason is StayReason.MOVED:
            return RegionChoice(away, _SPILL)
        return RegionChoice(home, _HOME, stay_reason)

    def record(self, service: str, *, is_away: bool) -> None:
        """Count a request that is sent."""
        self.shift_bound.record(
            is_away=is_away, is_moving=self.spillover.is_active
        )
        traffic = self.spillover.traffic.get(service)
        if is_away:
            traffic.away += 1
        else:
            traffic.home += 1

    def handle_region(
        self,
        home: int,
        away: int,
        by_service: Mapping[str, ServiceTraffic],
    ) -> None:
        """Record the requests of all gateways of the region in the last 2 s."""
        self.shift_bound.handle_region(home, away)
        if self.shift_bound.region_away_fraction is not None:
            max_change = self.shift_bound.max_change_per_s
            self.spillover.handle_region(by_service, max_change)

    def _choose_beyond_limits(
        self, request: RoutingRequest, away: Candidate | None
    ) -> RegionChoice:
        """Choose for a request that only limits and pauses keep from home.

        The region has upstreams, so the bound on moves holds.
        """
        if away is None:
            return RegionChoice(None, _HOME, StayReason.NO_UPSTREAM)
        target_s = request.route.target_latency_s
        self.spillover.record(
            request.service,
            _FULL_WAIT_RATIO,
            has_capacity=_has_capacity(away, target_s),
            is_refused=True,
        )
        stay_reason = self._stay_reason(
            request, away, is_overflow=away.has_handled
        )
        if stay_reason is StayReason.MOVED:
            return RegionChoice(away, _SPILL)
        return RegionChoice(None, _HOME, stay_reason)

    def _stay_reason(
        self,
        request: RoutingRequest,
        away: Candidate,
        *,
        is_overflow: bool,
    ) -> StayReason:
        """Return why a request that could run at home does not move.

        `is_overflow` says whether home does not admit it, and its object is
        warm elsewhere or likely to be. Others move only as their objects do:
        work on cold objects would use up the other regions' capacity as well.
        """
        if not self._is_admitted(request, away):
            return StayReason.OVERLOADED
        if not self.shift_bound.allows_home():
            return StayReason.MOVED
        key = request.key if request.route.is_sticky else ''
        is_selected = self.spillover.should_move(request.service, key)
        if not (is_selected or is_overflow):
            return StayReason.NOT_SELECTED
        if not self.shift_bound.try_away():
            return StayReason.BOUND
        return StayReason.MOVED

    def _is_likely_in_time(
        self, request: RoutingRequest, away: Candidate
    ) -> bool:
        is_expected = away.expected_s <= request.route.target_latency_s
        return is_expected and self.remote_success.is_likely(request.service)

    def _record_wait_ratio(
        self,
        request: RoutingRequest,
        home: Candidate,
        away: Candidate,
        *,
        is_refused: bool,
    ) -> None:
        """Record the length of the queue at home for the spillover."""
        target_s = request.route.target_latency_s
        spare_s = max(
            target_s - home.work_s - home.delay_s,
            _MIN_SPARE_FRACTION * target_s,
            _MIN_SPARE_S,
        )
        wait_ratio = home.wait_s / spare_s
        self.spillover.record(
            request.service,
            wait_ratio,
            has_capacity=_has_capacity(away, spare_s),
            is_refused=is_refused,
        )


def _has_capacity(away: Candidate, spare_s: float) -> bool:
    """Return whether another region has capacity for more requests.

    When all regions are full, moving objects only adds cold work.
    """
    return away.wait_s <= _SPARE_CAPACITY_FRACTION * spare_s
