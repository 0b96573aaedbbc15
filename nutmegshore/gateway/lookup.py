"""Which gateways callers are told to use."""

import random
from collections.abc import Callable, Iterable, Mapping

import attrs

from nutmegshore.gateway.route import Configuration
from nutmegshore.peers import Member
from nutmegshore.platform.lookup import MAX_NAMED, LookupQuestion

__all__ = ('Directory', 'Gateway')

#: Gateways of one region in an answer. Callers pick one at random, and need
#: others when it fails.
_NAMED = 16
#: Seconds for which an answer holds. A gateway that leaves serves on for as
#: long; shorter lifetimes cost more look-ups.
LIFETIME_S = 2


@attrs.frozen
class Gateway:
    """A gateway that callers may use, with its callers' address."""

    member: Member
    address: str


class Directory:
    """Answers look-ups with the gateways nearest to the caller.

    All ready gateways of the caller's region are named: callers spread over
    them at random, and have others when one dies. Only where that region has
    none, those of other regions are named, a home of the host's routes first.
    """

    def __init__(
        self,
        gateways: Callable[[], Iterable[Gateway]],
        rng: random.Random,
        regions_by_zone: Mapping[str, str],
    ) -> None:
        """Choose among the gateways that the function gives."""
        self._gateways = gateways
        self._rng = rng
        self._regions_by_zone = regions_by_zone

    def find(
        self,
        question: LookupQuestion,
        configuration: Configuration | None,
    ) -> list[str]:
        """Addresses for a caller, none of them of a dead gateway."""
        region = question.region
        region = region or self._regions_by_zone.get(
            question.availability_zone,
            '',
        )
        by_region: dict[str, list[str]] = {}
        for gateway in self._gateways():
            found = by_region.setdefault(gateway.member.region, [])
            found.append(gateway.address)
        near = by_region.get(region)
        if near:
            return self._sample(near)
        homes = _homes(question.host, configuration)
        at_home = [one for home in homes for one in by_region.get(home, ())]
        others = [one for found in by_region.values() for one in found]
        return self._sample(at_home or others)

    def _sample(self, addresses: list[str]) -> list[str]:
        count = min(len(addresses), _NAMED, MAX_NAMED)
        return self._rng.sample(addresses, count)


def _homes(host: str, configuration: Configuration | None) -> set[str]:
    if configuration is None:
        return set()
    return {
        home
        for route in configuration.routes
        if route.host == host.lower()
        for home in route.homes
    }
