"""Whether a request may go to a region."""

from collections.abc import Callable

from nutmegshore.resources import Region, Service
from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.failures import find_rule
from nutmegshore.steering.permit import RouteRequest
from nutmegshore.steering.plan import Plan, RegionChoice

__all__ = ('RegionAccess',)

_MS_PER_S = 1000
_ROUND_TRIPS = 2
#: Share of the queue target at which requests go to another region; at the
#: whole target they are refused.
_SPILL_SHARE = 0.8


class RegionAccess:
    """Opens other regions by the local wait, their room and the links."""

    def __init__(
        self,
        components: SteeringComponents,
        plan: Plan,
        expected_wait_s: Callable[[str], float],
    ) -> None:
        """Follow a plan that `follow` replaces."""
        self.plan = plan
        self._components = components
        self._expected_wait_s = expected_wait_s
        self._regions: dict[str, Region] = {}

    def follow(self, plan: Plan, regions: dict[str, Region]) -> None:
        """Use a newer plan."""
        self.plan = plan
        self._regions = regions

    def is_open(self, choice: RegionChoice, request: RouteRequest) -> bool:
        """Whether a request that no shift moves may go to a region now."""
        if choice.region == self.plan.region:
            return True
        service = self.plan.services[request.service]
        local = self.plan.choices[request.service][0]
        if local.region == self.plan.region and local.upstreams:
            wait_s = self._expected_wait_s(request.service)
            if wait_s < _spill_wait_s(service, choice):
                return False
        return self.has_room(choice, request)

    def has_room(self, choice: RegionChoice, request: RouteRequest) -> bool:
        """Whether another region and the link to it have room."""
        components = self._components
        place = (request.service, choice.region)
        bound = components.slow_start.limit(place, self._bound(choice, request))
        if components.rooms.in_flight[place] + 1 > bound:
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
            # Nobody reports on the region: an even part of its slots.
            slots = sum(found.slots for found in choice.upstreams.values())
            return slots / live
        if not self._is_reported(choice, request):
            return 0
        return components.rooms.bound(
            request.service,
            choice.region,
            live - reporting,
        )

    def _is_reported(
        self,
        choice: RegionChoice,
        request: RouteRequest,
    ) -> bool:
        if self._components.rooms.is_known(choice.region):
            return True
        rule = find_rule(
            self.plan.rules,
            'reports_stopped',
            request.service,
            choice.region,
        )
        return rule is not None and rule.spec.action == 'hold'


def _spill_wait_s(service: Service, choice: RegionChoice) -> float:
    """Wait in the local queue that a request to the region is worth."""
    round_trip_ms = _ROUND_TRIPS * choice.delay_ms
    worth_ms = _ROUND_TRIPS * service.latency_weight * round_trip_ms
    target_ms = service.queue_target_ms * _SPILL_SHARE
    return min(worth_ms, target_ms) / _MS_PER_S
