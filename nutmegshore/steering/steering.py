"""Choice of an upstream for each request."""

import collections
import random
from collections.abc import Callable

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Envelope, Service, Upstream
from nutmegshore.steering.plan import (
    Origin,
    Plan,
    RegionChoice,
    build_plan,
)

__all__ = ('Permit', 'RouteRequest', 'Steering')

_RANDOM_CHOICES = 2


@attrs.frozen
class RouteRequest:
    """What steering needs to know of a request.

    `excluded` names upstreams that this request must not go to, because they
    were tried before. `is_allowed` can rule out further upstreams.
    """

    service: str
    deadline: float
    excluded: frozenset[str] = frozenset()
    is_allowed: Callable[[str], bool] = lambda name: True


@attrs.define
class Permit:
    """The right to send one request to one upstream.

    `origins` are the declared objects behind the decision. The holder calls
    `release` exactly once, with the kind of the failure or None.
    """

    name: str
    upstream: Upstream
    service: Service
    origins: tuple[Origin, ...]
    on_release: Callable[['Permit', ErrorKind | None], None]

    def release(self, failure: ErrorKind | None = None) -> None:
        """Give the slot back and report how the request ended."""
        self.on_release(self, failure)


class Steering:
    """Steers the requests that one entry receives.

    permit = await steering.acquire(RouteRequest('orders', deadline))
    ...
    permit.release()
    """

    def __init__(
        self,
        table: ConfigurationTable,
        region: str,
        rng: random.Random,
    ) -> None:
        """Follow a configuration table for callers of one region."""
        self._table = table
        self._region = region
        self._rng = rng
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.plan = build_plan(table, region)
        table.subscribe(self._rebuild)

    async def acquire(self, request: RouteRequest) -> Permit:
        """Choose an upstream, or raise `RequestError`."""
        service = self.plan.services.get(request.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, request.service)
        for choice in self.plan.choices[request.service]:
            name = self._choose(choice, request)
            if name:
                return self._permit(name, choice, service)
        raise RequestError(ErrorKind.NO_UPSTREAM, request.service)

    def _choose(self, choice: RegionChoice, request: RouteRequest) -> str:
        names = [
            name
            for name in choice.upstreams
            if name not in request.excluded and request.is_allowed(name)
        ]
        if not names:
            return ''
        drawn = self._rng.sample(names, min(_RANDOM_CHOICES, len(names)))
        return min(drawn, key=lambda name: self.in_flight[name])

    def _permit(
        self,
        name: str,
        choice: RegionChoice,
        service: Service,
    ) -> Permit:
        self.in_flight[name] += 1
        return Permit(
            name=name,
            upstream=choice.upstreams[name],
            service=service,
            origins=choice.origins,
            on_release=self._release,
        )

    def _release(self, permit: Permit, failure: ErrorKind | None) -> None:
        self.in_flight[permit.name] -= 1

    def _rebuild(self, newer: list[Envelope]) -> None:
        self.plan = build_plan(self._table, self._region)

    def _plan(self) -> Plan:
        return self.plan
