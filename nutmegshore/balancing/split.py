"""Choice of a route's service by weight."""

from collections.abc import Collection

from nutmegshore.gateway.route import Route, ServiceShare

__all__ = ('SplitTable',)

_Shares = tuple[ServiceShare, ...]
_Owed = tuple[_Shares, dict[str, float]]


class SplitTable:
    """Gives each service of a route its part of the requests.

    Smooth weighted round robin: after any number of requests each part is
    within one request of its weight.

        splits.pick(route)  # 'orders-new'
    """

    def __init__(self) -> None:
        """Owe nothing to any service."""
        self._owed: dict[str, _Owed] = {}

    def pick(self, route: Route) -> str:
        """The service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        owed = self._owed_by(route)
        total = float(0)
        for share in route.shares:
            owed[share.service] += share.weight
            total += share.weight
        chosen = max(owed, key=owed.__getitem__)
        owed[chosen] -= total
        return chosen

    def retain(self, routes: Collection[str]) -> None:
        """Drop what is owed on routes that are no longer configured."""
        self._owed = {
            name: owed for name, owed in self._owed.items() if name in routes
        }

    def _owed_by(self, route: Route) -> dict[str, float]:
        known = self._owed.get(route.name)
        if known is None or known[0] != route.shares:
            owed = {share.service: float(0) for share in route.shares}
            known = (route.shares, owed)
            self._owed[route.name] = known
        return known[1]
