"""Routes, services and limits of the operator's configuration."""

import enum
from collections.abc import Iterable
from types import MappingProxyType

import attrs

from nutmegshore.gateway.customer import NO_CUSTOMERS, CustomerTable
from nutmegshore.listener import ListenerLimits

__all__ = (
    'Configuration',
    'Limits',
    'Route',
    'RouteKind',
    'ServiceRules',
    'ServiceShare',
)


class RouteKind(enum.Enum):
    """Whether requests of a route may run more than once.

    `UPLOAD` is `UNSAFE` with large bodies.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'


@attrs.frozen
class ServiceShare:
    """A service with its weight in the traffic split of a route."""

    service: str
    weight: float = 1


@attrs.frozen
class Route:
    """Rules for the requests of one host whose path begins with `prefix`.

    `timeout_s` bounds the time until the final answer, `target_latency_s` is
    the latency objective, `max_attempts` the number of upstreams that one
    request may be sent to. `rank` 0 is the most urgent. If `homes` is not
    empty, requests may only be served in these regions. A public route serves
    requests without an API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    rank: int = 0
    is_sticky: bool = False
    homes: frozenset[str] = frozenset()
    is_public: bool = False

    @property
    def is_safe(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE


@attrs.frozen
class ServiceRules:
    """The operator's rules for the upstreams of a service.

    An upstream is cold for `cold_s` after its start and meanwhile takes
    `cold_per_s` requests per second from all gateways; 0 means no bound.
    `health_path` is the target of its health page.
    """

    max_connections: int = 0
    cold_s: float = 0
    cold_per_s: float = 0
    health_path: str = '/health'


@attrs.frozen
class Limits:
    """Limits for callers: bytes of a head and a body, and timeouts."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_s: float = 3
    idle_s: float = 15

    def listener_limits(self) -> ListenerLimits:
        """The limits in the form that the callers' listener uses."""
        return ListenerLimits(
            head_bytes=self.header_bytes,
            idle_s=self.idle_s,
            head_s=self.header_s,
            body_s=self.header_s,
            body_bytes=self.body_bytes,
        )


def _group_by_host(routes: Iterable[Route]) -> MappingProxyType:
    """Routes by host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in sorted(routes, key=_prefix_order, reverse=True):
        grouped.setdefault(route.host, []).append(route)
    return MappingProxyType(grouped)


def _prefix_order(route: Route) -> tuple[int, str]:
    return len(route.prefix), route.name


@attrs.frozen
class Configuration:
    """One version of the operator's desired state, used as a whole.

    configuration.match('orders.example', '/orders/7')
    """

    version: int
    routes: tuple[Route, ...]
    services: MappingProxyType[str, ServiceRules]
    limits: Limits = Limits()
    customers: CustomerTable = NO_CUSTOMERS
    _routes_by_host: MappingProxyType = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(
            lambda configuration: _group_by_host(configuration.routes),
            takes_self=True,
        ),
    )

    def match(self, host: str, target: str) -> Route | None:
        """The route with the longest prefix of the path, or None.

        The host's port and the target's query are ignored.
        """
        name = host.partition(':')[0].lower()
        path = target.partition('?')[0]
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rules(self, service: str) -> ServiceRules:
        """Rules of a service, or the default rules."""
        return self.services.get(service, _DEFAULT_RULES)


_DEFAULT_RULES = ServiceRules()
