"""Routes: which service a caller's request goes to, and under which rules."""

import enum
from collections.abc import Iterable
from types import MappingProxyType

import attrs

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
    """What may be repeated on a route.

    `UPLOAD` has large bodies and is otherwise `UNSAFE`.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'


@attrs.frozen
class ServiceShare:
    """A service that gets a part of a route's requests, by weight."""

    service: str
    weight: float = 1


@attrs.frozen
class Route:
    """Rules for the requests of one host whose path begins with `prefix`.

    `timeout_s` bounds the time until the final answer, `target_latency_s` is
    the time within which an answer is worth most, `max_attempts` the upstreams
    that one request may be sent to. `rank` 0 is the most urgent. A request
    with homes may only be served in one of these regions.
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

    @property
    def is_safe(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE


@attrs.frozen
class ServiceRules:
    """What the operator says of a service's upstreams.

    An upstream that has just started is cold for `cold_s` and then takes
    `cold_per_s` requests a second over all gateways; 0 is no bound.
    """

    max_connections: int = 0
    cold_s: float = 0
    cold_per_s: float = 0


@attrs.frozen
class Limits:
    """What a caller may send: bytes of a head and of a body, and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_s: float = 3
    idle_s: float = 15

    def listener_limits(self) -> ListenerLimits:
        """The same limits as the callers' listener takes them."""
        return ListenerLimits(
            head_bytes=self.header_bytes,
            idle_s=self.idle_s,
            head_s=self.header_s,
            body_s=self.header_s,
            body_bytes=self.body_bytes,
        )


def _by_host(routes: Iterable[Route]) -> MappingProxyType:
    """Routes by host, the longest prefix first."""
    found: dict[str, list[Route]] = {}
    for route in sorted(routes, key=_by_length, reverse=True):
        found.setdefault(route.host, []).append(route)
    return MappingProxyType(found)


def _by_length(route: Route) -> tuple[int, str]:
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
    _routes_by_host: MappingProxyType = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(
            lambda made: _by_host(made.routes),
            takes_self=True,
        ),
    )

    def match(self, host: str, target: str) -> Route | None:
        """The route with the longest prefix of the path, or None.

        A port after the host does not count, nor does a query.
        """
        name = host.partition(':')[0].lower()
        path = target.partition('?')[0]
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rules(self, service: str) -> ServiceRules:
        """Rules of a service; the defaults where it has none."""
        return self.services.get(service, _NO_RULES)


_NO_RULES = ServiceRules()
