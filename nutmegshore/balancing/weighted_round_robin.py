"""Selection of a route's service by weight."""

from collections.abc import Collection

from nutmegshore.gateway.route import Route, ServiceShare

__all__ = ('WeightedRoundRobin',)

_Shares = tuple[ServiceShare, ...]
_RouteWeights = tuple[_Shares, dict[str, float]]


class WeightedRoundRobin:
    """Distributes the requests of a route over its services by weight.

    Smooth weighted round robin: after any number of requests, each service's
    count is within one request of its weight.

        splits.pick(route)  # 'orders-new'
    """

    def __init__(self) -> None:
        """Start without weights."""
        self._by_route: dict[str, _RouteWeights] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        current_weights = self._weights_of(route)
        total = float(0)
        for share in route.shares:
            current_weights[share.service] += share.weight
            total += share.weight
        chosen = max(current_weights, key=current_weights.__getitem__)
        current_weights[chosen] -= total
        return chosen

    def retain(self, routes: Collection[str]) -> None:
        """Drop the weights of routes that are no longer configured."""
        self._by_route = {
            name: current_weights
            for name, current_weights in self._by_route.items()
            if name in routes
        }

    def _weights_of(self, route: Route) -> dict[str, float]:
        known = self._by_route.get(route.name)
        if known is None or known[0] != route.shares:
            current_weights = {
                share.service: float(0) for share in route.shares
            }
            known = (route.shares, current_weights)
            self._by_route[route.name] = known
        return known[1]
