"""Rendezvous hashing of objects to upstreams, the same at every gateway."""

import collections
import hashlib
from collections.abc import Iterable

from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('Affinity', 'rank_by_hash')

_DIGEST_BYTES = 8
#: Rankings that are cached; the oldest is evicted and recomputed when needed.
_MAX_RANKINGS = 4096
#: Recently handled objects that are remembered per upstream.
_MAX_OBJECTS_PER_UPSTREAM = 256

_Ranking = tuple[RegisteredUpstream, ...]


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing with a key.

    Adding or removing a name leaves the order of the others unchanged.

        rank_by_hash('plucker-7', ['a', 'b', 'c'])[0]  # the owner
    """
    weighted = [(_weight(key, name), name) for name in names]
    weighted.sort(reverse=True)
    return [name for _, name in weighted]


def _weight(key: str, name: str) -> bytes:
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b'\0')
    digest.update(name.encode())
    return digest.digest()


class Affinity:
    """Rankings of upstreams per object, and the objects each has handled.

    An upstream that has handled an object recently handles it faster again.
    A gateway knows this for its own requests only. It presumes that the first
    upstream of a ranking is warm, since every gateway sends the object's
    requests there.
    """

    def __init__(self) -> None:
        """Start with no rankings and no handled objects."""
        self._rankings: collections.OrderedDict[
            tuple[str, str],
            tuple[_Ranking, _Ranking],
        ] = collections.OrderedDict()
        self._handled: dict[str, collections.OrderedDict[str, None]] = {}

    def ranking(self, service: str, key: str, usable: _Ranking) -> _Ranking:
        """Return the usable upstreams of a service, ranked for a key."""
        cached = self._rankings.get((service, key))
        if cached is not None and cached[0] is usable:
            return cached[1]
        by_name = {upstream.instance: upstream for upstream in usable}
        order = rank_by_hash(key, by_name)
        ranked = tuple(by_name[name] for name in order)
        self._rankings[service, key] = (usable, ranked)
        if len(self._rankings) > _MAX_RANKINGS:
            self._rankings.popitem(last=False)
        return ranked

    def has_handled(self, instance: str, key: str) -> bool:
        """Return whether this gateway sent requests for the object there."""
        return key in self._handled.get(instance, ())

    def record(self, instance: str, key: str) -> None:
        """Record that an upstream has handled an object."""
        handled = self._handled.setdefault(instance, collections.OrderedDict())
        handled[key] = None
        handled.move_to_end(key)
        if len(handled) > _MAX_OBJECTS_PER_UPSTREAM:
            handled.popitem(last=False)

    def discard(self, instance: str, key: str) -> None:
        """Remove an object that an upstream did not handle after all."""
        self._handled.get(instance, {}).pop(key, None)

    def forget(self, instance: str) -> None:
        """Drop an upstream's objects; a restarted one has handled none."""
        self._handled.pop(instance, None)
