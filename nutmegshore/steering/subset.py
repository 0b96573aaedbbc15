"""Subsets of upstreams by rendezvous hash, and the owner of each upstream."""

import collections
import hashlib
from collections.abc import Iterable, Mapping

from nutmegshore.peers import Member
from nutmegshore.resources import Upstream

__all__ = ('assign_owners', 'is_in_subset')

_HASH_BYTES = 8
#: Upstreams by which an owner in another availability zone counts as busier.
_ZONE_HANDICAP = 0.75


def _score(entry: str, upstream: str) -> int:
    text = f'{entry}\0{upstream}'
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def is_in_subset(
    entry: str,
    members: Iterable[str],
    name: str,
    upstream: Upstream,
) -> bool:
    """Whether an entry may use an upstream, by its connections.

    An entry opens at most `slots` connections to an upstream, so the number
    of entries that fit is connections // slots.
    """
    fitting = max(upstream.connections // upstream.slots, 1)
    names = set(members) | {entry}
    if len(names) <= fitting:
        return True
    own = _score(entry, name)
    better = [other for other in names if _score(other, name) > own]
    return len(better) < fitting


def assign_owners(
    upstreams: Mapping[str, Upstream],
    members: Mapping[str, Member],
) -> dict[str, str]:
    """Assign each upstream to one entry, evenly and by rendezvous hash.

    Every entry computes the same owners from the same members. An entry knows
    the load of what it owns exactly, so that lagging reports do not matter.
    """
    counts: collections.Counter[str] = collections.Counter()
    owners = {}
    for name in sorted(upstreams):
        zone = upstreams[name].availability_zone
        ranked = [
            (_cost(counts[entry], member, zone), _score(entry, name), entry)
            for entry, member in members.items()
        ]
        if ranked:
            owners[name] = min(ranked)[-1]
            counts[owners[name]] += 1
    return owners


def _cost(count: int, member: Member, zone: str) -> float:
    is_far = member.availability_zone != zone
    return count + _ZONE_HANDICAP * is_far
