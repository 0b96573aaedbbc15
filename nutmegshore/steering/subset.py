"""Subsets of upstreams by rendezvous hashing, and owners of their slots."""

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
    """Whether an upstream is in the subset that an entry connects to.

    An entry opens at most `slots` connections to an upstream, so at most
    connections // slots entries may use it.
    """
    max_entries = max(upstream.connections // upstream.slots, 1)
    names = set(members) | {entry}
    if len(names) <= max_entries:
        return True
    own = _score(entry, name)
    preferred = [other for other in names if _score(other, name) > own]
    return len(preferred) < max_entries


def assign_slots(
    upstreams: Mapping[str, Upstream],
    members: Mapping[str, Member],
) -> dict[str, dict[str, int]]:
    """Divide the slots of upstreams evenly: slots by entry and upstream.

    The slots of one service are listed in sequence and split into equal
    ranges, one per entry. Upstreams and entries are both sorted by
    availability zone, so an entry mostly owns slots in its own zone. All
    entries compute the same ranges from the same members. An entry knows
    exactly how many of its own slots are in use, so delayed reports do not
    matter there.
    """
    keyed = [
        (_sort_key(name, found), name) for name, found in upstreams.items()
    ]
    sequence = [
        name for _, name in sorted(keyed) for _ in range(upstreams[name].slots)
    ]
    entries = sorted(
        members,
        key=lambda one: (members[one].availability_zone, one),
    )
    boundaries = [
        round(index * len(sequence) / len(entries))
        for index in range(len(entries) + 1)
    ]
    return {
        entry: dict(collections.Counter(itertools.islice(sequence, *ends)))
        for entry, ends in zip(
            entries, itertools.pairwise(boundaries), strict=True
        )
    }


def _sort_key(name: str, upstream: Upstream) -> tuple[str, int]:
    return upstream.availability_zone, _score('', name)
