"""Admission of requests to other regions."""

from collections.abc import Callable

from nutmegshore.resources import Region, Service
from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.failures import find_rule
from nutmegshore.steering.permit import RouteRequest
from nutmegshore.steering.plan import Plan, RegionChoice

__all__ = ('RegionAccess',)

_MS_PER_S = 1000
#: One-way delays in a round trip; also the local wait, in round trips, for
#: which a request goes to another region at a latency weight of 1.
_ROUND_TRIPS = 2
#: Share of the queue target at which requests go to another region; at the
#: whole target they are refused.
_SPILL_SHARE = 0.8


class RegionAccess:
    """Opens other regions by local wait, free slots and link capacity."""

    def __init__(
        self,
        components: SteeringComponents,
        plan: Plan,
        expected_wait_s: Callable[[str], float],
    ) -> None:
        """Use `plan` until `apply` replaces it."""
        self.plan = plan
        self._components = components
        self._expected_wait_s = expected_wait_s
        self._regions: dict[str, Region] = {}

    def apply(self, plan: Plan, regions: dict[str, Region]) -> None:
        """Use a newer plan and its declared regions."""
        self.plan = plan
        self._regions = regions

    def is_open(self, choice: RegionChoice, request: RouteRequest) -> bool:
        """Whether a region accepts a request that no shift moves.

        The local region is always open. Another region with capacity is open
        once the expected local wait reaches the spill wait, or if the local
        region has no upstream.
        """
        if choice.region == self.plan.region:
            return True
        service = self.plan.services[request.service]
        local = self.plan.choices[request.service][0]
        if local.region == self.plan.region and local.upstreams:
            wait_s = self._expected_wait_s(request.service)
            if wait_s < _spill_wait_s(service, choice):
                return False
        return self.has_capacity(choice, request)

    def has_capacity(self, choice: RegionChoice, request: RouteRequest) -> bool:
        """Whether another region and the link to it can take the request.

        Counts the body of an accepted request against the link.
        """
        components = self._components
        scope = (request.service, choice.region)
        bound = components.slow_start.limit(scope, self._bound(choice, request))
        if components.capacity.in_flight[scope] + 1 > bound:
            return False
        links = self._regions[self.plan.region].link_bytes_per_s
        if not request.body_bytes or choice.region not in links:
            return True
        return components.links.try_send(
            choice.region,
            request.body_bytes,
            links[choice.region],
            len(components.members_of(self.plan.region)),
        )

    def _bound(self, choice: RegionChoice, request: RouteRequest) -> float:
        components = self._components
        live = len(components.peers.live())
        reporting = len(components.members_of(choice.region))
        if not reporting:
            # No live entry reports the load of the region, so each live entry
            # may use an equal share of its slots.
            slots = sum(found.slots for found in choice.upstreams.values())
            return slots / live
        if not self._is_reported(choice, request):
            return 0
        return components.capacity.bound(
            request.service,
            choice.region,
            live - reporting,
        )

    def _is_reported(
        self,
        choice: RegionChoice,
        request: RouteRequest,
    ) -> bool:
        if self._components.capacity.is_known(choice.region):
            return True
        rule = find_rule(
            self.plan.rules,
            'reports_stopped',
            request.service,
            choice.region,
        )
        return rule is not None and rule.spec.action == 'hold'


def _spill_wait_s(service: Service, choice: RegionChoice) -> float:
    """Local wait, in seconds, from which requests spill to the region."""
    round_trip_ms = _ROUND_TRIPS * choice.delay_ms
    accepted_ms = _ROUND_TRIPS * service.latency_weight * round_trip_ms
    target_ms = service.queue_target_ms * _SPILL_SHARE
    return min(accepted_ms, target_ms) / _MS_PER_S
