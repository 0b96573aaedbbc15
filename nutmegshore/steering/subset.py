"""Subsets of upstreams by rendezvous hash, and the owners of their slots."""

import collections
import hashlib
import itertools
from collections.abc import Iterable, Mapping

from nutmegshore.peers import Member
from nutmegshore.resources import Upstream

__all__ = ('assign_slots', 'is_in_subset')

_HASH_BYTES = 8


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


def assign_slots(
    upstreams: Mapping[str, Upstream],
    members: Mapping[str, Member],
) -> dict[str, dict[str, int]]:
    """Divide the slots of upstreams evenly: slots by entry and upstream.

    The slots of one service are laid in a row and cut into equal parts, with
    upstreams and entries of the same availability zone at the same end. Every
    entry computes the same parts from the same members. An entry knows the
    use of its own part exactly, so lagging reports do not matter there.
    """
    places = [(_place(name, found), name) for name, found in upstreams.items()]
    row = [
        name for _, name in sorted(places) for _ in range(upstreams[name].slots)
    ]
    entries = sorted(
        members,
        key=lambda one: (members[one].availability_zone, one),
    )
    cuts = [
        round(index * len(row) / len(entries))
        for index in range(len(entries) + 1)
    ]
    return {
        entry: dict(collections.Counter(itertools.islice(row, *ends)))
        for entry, ends in zip(entries, itertools.pairwise(cuts), strict=True)
    }


def _place(name: str, upstream: Upstream) -> tuple[str, int]:
    return upstream.availability_zone, _score('', name)
