"""Selection of the gateways that a look-up returns to a caller."""

import random
from collections.abc import Callable, Iterable, Mapping

import attrs

from nutmegshore.gateway.route import Configuration
from nutmegshore.peers import Member
from nutmegshore.platform.lookup import MAX_NAMED, LookupQuestion

__all__ = ('Directory', 'Gateway')

#: Most gateways in an answer. Callers pick one at random, and need others to
#: fail over to.
_MAX_ADDRESSES = 16
#: Seconds for which an answer is valid. A leaving gateway keeps serving for as
#: long; shorter lifetimes cost more look-ups.
LIFETIME_S = 2


@attrs.frozen
class Gateway:
    """A gateway that callers may use, with its address for callers.

    `accepts_keys` is false while it refuses requests with an API key.
    """

    member: Member
    address: str
    accepts_keys: bool = True


class Directory:
    """Answers look-ups with the gateways nearest to the caller.

    An answer lists the ready gateways of the caller's region, sampled if there
    are many: callers spread over them at random and fail over when one dies.
    If that region has none, the answer lists gateways of the home regions of
    the host's routes, or else those of all other regions. Gateways that accept
    no API key are left out, unless none of all accepts any.
    """

    def __init__(
        self,
        gateways: Callable[[], Iterable[Gateway]],
        rng: random.Random,
        regions_by_zone: Mapping[str, str],
    ) -> None:
        """Select among the gateways that the function returns."""
        self._gateways = gateways
        self._rng = rng
        self._regions_by_zone = regions_by_zone

    def find(
        self,
        question: LookupQuestion,
        configuration: Configuration | None,
    ) -> list[str]:
        """Addresses of gateways for a caller; empty if no gateway is ready."""
        region = question.region
        region = region or self._regions_by_zone.get(
            question.availability_zone,
            '',
        )
        by_region: dict[str, list[str]] = {}
        for gateway in _fresh(tuple(self._gateways())):
            addresses = by_region.setdefault(gateway.member.region, [])
            addresses.append(gateway.address)
        local = by_region.get(region)
        if local:
            return self._sample(local)
        homes = _home_regions(question.host, configuration)
        in_homes = [
            gateway_address
            for home in homes
            for gateway_address in by_region.get(home, ())
        ]
        others = [
            gateway_address
            for addresses in by_region.values()
            for gateway_address in addresses
        ]
        return self._sample(in_homes or others)

    def _sample(self, addresses: list[str]) -> list[str]:
        count = min(len(addresses), _MAX_ADDRESSES, MAX_NAMED)
        return self._rng.sample(addresses, count)


def _fresh(gateways: tuple[Gateway, ...]) -> tuple[Gateway, ...]:
    """Return the gateways that accept keys, or all if none does."""
    found = tuple(one for one in gateways if one.accepts_keys)
    return found or gateways


def _home_regions(host: str, configuration: Configuration | None) -> set[str]:
    if configuration is None:
        return set()
    return {
        home
        for route in configuration.routes
        if route.host == host.lower()
        for home in route.homes
    }
