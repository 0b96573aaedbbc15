"""Classes of requests that compete for a service, learnt from its requests."""

import attrs

from nutmegshore.balancing.choice import Candidate, RoutingRequest
from nutmegshore.clock import Clock
from nutmegshore.gateway.route import Route

__all__ = ('Rival', 'Rivals', 'Urgency')

#: Weight of a new request in the mean work time of its class.
_WORK_WEIGHT = 0.1
#: Seconds after its last request for which a class competes. A gateway of a
#: large fleet gets one or two requests a second of a route.
_ACTIVE_S = 4
#: Classes that are kept per service; the one unused for longest is dropped. A
#: configuration may have any number of customer ranks.
_MAX_CLASSES = 64

#: Rank of the customer, then of the route.
Urgency = tuple[int, int]
_Class = tuple[str, Urgency]


@attrs.define
class Rival:
    """Requests of one route with the same urgency to one service.

    `timely_work_s` is the mean work of those that can be in time without a
    wait, 0 if none was sent yet. `asked_at` is the time of the last request.
    """

    route: Route
    urgency: Urgency
    asked_at: float
    timely_work_s: float = 0

    @property
    def spare_s(self) -> float:
        """Seconds that its requests may wait and still be in time."""
        return max(self.route.target_latency_s - self.timely_work_s, 0)


class Rivals:
    """The classes of requests to each service that this gateway receives.

    All gateways of a region receive the same mix of requests, so that each can
    rely on its own part.

        rivals.record_asked(request)
        rivals.active('orders')
    """

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._by_service: dict[str, dict[_Class, Rival]] = {}
        self._work_s: dict[str, float] = {}

    def record_asked(self, request: RoutingRequest) -> None:
        """Note a request that needs an upstream."""
        self._get(request).asked_at = self._clock.now()

    def record_sent(
        self, request: RoutingRequest, candidate: Candidate
    ) -> None:
        """Learn the work of a request that is sent."""
        service = request.service
        work_s = candidate.work_s
        self._work_s[service] = _smooth(self._work_s.get(service, 0), work_s)
        if candidate.delay_s + work_s <= request.route.target_latency_s:
            rival = self._get(request)
            rival.timely_work_s = _smooth(rival.timely_work_s, work_s)

    def mean_work_s(self, service: str) -> float:
        """Return the mean work of the requests that were sent to a service."""
        return self._work_s.get(service, 0)

    def active(self, service: str) -> list[Rival]:
        """Return the classes that used a service lately."""
        oldest = self._clock.now() - _ACTIVE_S
        classes = self._by_service.get(service, {})
        return [one for one in classes.values() if one.asked_at > oldest]

    def _get(self, request: RoutingRequest) -> Rival:
        classes = self._by_service.setdefault(request.service, {})
        key = (request.route.name, request.urgency)
        rival = classes.get(key)
        if rival is None:
            if len(classes) >= _MAX_CLASSES:
                classes.pop(min(classes, key=lambda one: classes[one].asked_at))
            rival = Rival(
                request.route,
                request.urgency,
                self._clock.now(),
            )
            classes[key] = rival
        # A later configuration may have another target.
        rival.route = request.route
        return rival


def _smooth(mean_s: float, sample_s: float) -> float:
    if not mean_s:
        return sample_s
    return mean_s + _WORK_WEIGHT * (sample_s - mean_s)
