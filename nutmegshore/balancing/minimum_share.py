"""A minimum share of service for every route and customer."""

import collections

from nutmegshore.balancing.choice import RoutingRequest
from nutmegshore.balancing.sliding_counts import SlidingCounts
from nutmegshore.clock import Clock

__all__ = ('MinimumShare',)

#: Each route and customer is sent at least this often relative to all requests
#: of the service. The guaranteed share is a quarter; the rest covers requests
#: that become due while no upstream accepts any.
_FLOOR = 0.35
#: Requests by which a route or customer may be ahead of that. A few refusals in
#: a row are chance if it is served often enough otherwise.
_MAX_AHEAD = 2
#: Requests that may be due at once, so that a class that was refused for long
#: cannot crowd out the others afterwards.
_MAX_DUE = 2
#: Routes and customers that are remembered; the least recent one is dropped.
_MAX_KEPT = 4096

#: Requests by service that were asked (False) and sent (True).
_Counts = collections.Counter[tuple[str, bool]]
_Member = tuple[str, str, str]


class MinimumShare:
    """Tells which requests are due although more urgent ones compete.

    Each request of a route or a customer adds a part of the service's sent
    fraction to what is due to them; each one sent takes 1 of it. A gateway does
    this for the requests that it receives. As it holds at each gateway, it
    holds in the fleet, without messages.

        floor.record_asked(request)
        floor.is_due(request)
    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing due."""
        self._counts: SlidingCounts[_Counts] = SlidingCounts(
            clock, collections.Counter
        )
        self._due: collections.OrderedDict[_Member, float] = (
            collections.OrderedDict()
        )

    def record_asked(self, request: RoutingRequest) -> None:
        """Count a request that needs an upstream."""
        self._counts.current()[request.service, False] += 1
        part = _FLOOR * self._sent_part(request.service)
        for member in _members(request):
            due = self._due.get(member, 0) + part
            self._due[member] = min(due, _MAX_DUE)
            self._due.move_to_end(member)
        while len(self._due) > _MAX_KEPT:
            self._due.popitem(last=False)

    def record_sent(self, request: RoutingRequest) -> None:
        """Count a request that is sent."""
        self._counts.current()[request.service, True] += 1
        for member in _members(request):
            due = self._due.get(member, 0) - 1
            self._due[member] = max(due, -_MAX_AHEAD)

    def is_due(self, request: RoutingRequest) -> bool:
        """Return whether the route or the customer was refused too often."""
        return any(
            self._due.get(member, 0) >= 1 for member in _members(request)
        )

    def _sent_part(self, service: str) -> float:
        """Return the part of the requests of the last 2 s that were sent."""
        window = self._counts.window()
        asked = sum(one[service, False] for one in window)
        sent = sum(one[service, True] for one in window)
        return min(sent / max(asked, 1), 1)


def _members(request: RoutingRequest) -> list[_Member]:
    """Return the route and the customer of a request at its service."""
    members = [(request.service, 'route', request.route.name)]
    if request.customer:
        members.append((request.service, 'customer', request.customer.name))
    return members
