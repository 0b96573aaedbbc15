"""Choice of the links between members."""

import bisect
import functools
import hashlib
from collections.abc import Iterable

from nutmegshore.peers.base import Member

__all__ = ('FULL_MESH_MEMBERS', 'Topology', 'ring_position')

#: Up to this many members every pair is linked.
FULL_MESH_MEMBERS = 16
_POSITION_BYTES = 8
_RING_SIZE = 2 ** (8 * _POSITION_BYTES)
#: Next members on the ring to link to; one death does not break the ring.
_SUCCESSORS = 2
#: Members of each region that all others of the region link to.
_AGGREGATORS = 2
_OTHER_REGION = 1
_CACHED_POSITIONS = 65_536


@functools.lru_cache(maxsize=_CACHED_POSITIONS)
def ring_position(name: str) -> int:
    """Position of a name on the ring."""
    digest = hashlib.blake2b(name.encode(), digest_size=_POSITION_BYTES)
    return int.from_bytes(digest.digest(), 'big')


class _Ring:
    """The members of one region, ordered by ring position."""

    def __init__(self, names: Iterable[str]) -> None:
        self.names = sorted(names, key=ring_position)
        self._positions = [ring_position(name) for name in self.names]

    def successor(self, position: int, offset: int = 0) -> str:
        """The member at or after a position."""
        index = bisect.bisect_left(self._positions, position % _RING_SIZE)
        return self.names[(index + offset) % len(self.names)]


class Topology:
    """The wanted links among a set of members.

    Up to `FULL_MESH_MEMBERS` members, every pair is linked. Above that, a
    member opens links to its next two on the ring of its region, to the
    members at a half, a quarter, and so on, of the ring ahead of it, and to
    one in each other region. Each hop thus halves the distance on the ring,
    and a membership change moves only the links that end at that member.
    """

    def __init__(
        self,
        members: Iterable[Member],
        full_mesh: int = FULL_MESH_MEMBERS,
    ) -> None:
        """Place the members on the rings of their regions."""
        known = {member.name: member for member in members}
        self._region_of = {name: one.region for name, one in known.items()}
        self._zone_of = {
            name: one.availability_zone for name, one in known.items()
        }
        self._capacity_of = {name: one.capacity for name, one in known.items()}
        by_region: dict[str, list[str]] = {}
        for name, home_region in self._region_of.items():
            by_region.setdefault(home_region, []).append(name)
        self._rings = {
            region: _Ring(names) for region, names in by_region.items()
        }
        self.is_full = len(self._region_of) <= full_mesh
        self._by_name: dict[str, frozenset[str]] = {}
        self._aggregators: dict[str, tuple[str, ...]] = {
            region: self._choose_aggregators(ring)
            for region, ring in self._rings.items()
            if not self.is_full
        }

    def aggregators(self, region: str) -> tuple[str, ...]:
        """Members that collect a region's reports; none in a full mesh.

        They are those with the greatest capacity, since what they send grows
        with the region. The second one is in another availability zone if there
        is one.
        """
        return self._aggregators.get(region, ())

    def neighbours(self, name: str) -> frozenset[str]:
        """Members that this member opens links to."""
        found = self._by_name.get(name)
        if found is None:
            found = self._find_neighbours(name)
            self._by_name[name] = found
        return found

    def distance(self, name: str, target: str) -> tuple[int, int]:
        """Distance of a member from a target: region first, then ring."""
        is_other = self._region_of.get(name) != self._region_of.get(target)
        gap = (ring_position(name) - ring_position(target)) % _RING_SIZE
        return (_OTHER_REGION * is_other, min(gap, _RING_SIZE - gap))

    def _find_neighbours(self, name: str) -> frozenset[str]:
        if self.is_full or name not in self._region_of:
            return frozenset(self._region_of) - {name}
        region = self._region_of[name]
        wanted = set(self._ring_links(name, self._rings[region]))
        for other, ring in self._rings.items():
            if other != region:
                position = ring_position(name)
                wanted.add(ring.successor(position))
        wanted.update(self._reporting_links(name, region))
        return frozenset(wanted - {name})

    def _reporting_links(self, name: str, region: str) -> Iterable[str]:
        """Links for reports: to aggregators, and from each of them to all."""
        own = self._aggregators[region]
        yield from own
        if name in own:
            yield from self._rings[region].names
            for others in self._aggregators.values():
                yield from others

    def _choose_aggregators(self, ring: _Ring) -> tuple[str, ...]:
        first, *others = sorted(
            ring.names, key=lambda name: -self._capacity_of[name]
        )
        in_other_zones = [
            name
            for name in others
            if self._zone_of[name] != self._zone_of[first]
        ]
        second = (in_other_zones or others)[: _AGGREGATORS - 1]
        return (first, *second)

    def _ring_links(self, name: str, ring: _Ring) -> Iterable[str]:
        position = ring_position(name)
        for offset in range(1, _SUCCESSORS + 1):
            yield ring.successor(position, offset)
        for halvings in range(1, len(ring.names).bit_length() + 1):
            yield ring.successor(position + _RING_SIZE // 2**halvings)
