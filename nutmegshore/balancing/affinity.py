"""Owners of an object among upstreams, the same at every gateway."""

import collections
import hashlib
from collections.abc import Iterable

from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('Affinity', 'rank_by_hash')

_DIGEST_BYTES = 8
#: Rankings that are kept; beyond them the oldest is computed anew.
_KEPT_RANKINGS = 4096
#: Objects that are remembered as handled per upstream.
_KEPT_OBJECTS = 256

_Ranking = tuple[RegisteredUpstream, ...]


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing with a key.

    A name that is added or removed leaves the order of the others as it is.

        rank_by_hash('plucker-7', ['a', 'b', 'c'])[0]  # the owner
    """
    weighed = [(_weight(key, name), name) for name in names]
    weighed.sort(reverse=True)
    return [name for _, name in weighed]


def _weight(key: str, name: str) -> bytes:
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b'\0')
    digest.update(name.encode())
    return digest.digest()


class Affinity:
    """Rankings of upstreams per object, and what each has handled.

    An upstream that has handled an object recently does it faster again.
    Which objects went where is known for this gateway's own requests only;
    the first of a ranking is taken to be warm, since every gateway sends the
    object's requests there.
    """

    def __init__(self) -> None:
        """Remember nothing yet."""
        self._rankings: collections.OrderedDict[
            tuple[str, str],
            tuple[_Ranking, _Ranking],
        ] = collections.OrderedDict()
        self._handled: dict[str, collections.OrderedDict[str, None]] = {}

    def ranking(self, service: str, key: str, usable: _Ranking) -> _Ranking:
        """The usable upstreams of a service in the order for a key."""
        cached = self._rankings.get((service, key))
        if cached is not None and cached[0] is usable:
            return cached[1]
        by_name = {upstream.instance: upstream for upstream in usable}
        order = rank_by_hash(key, by_name)
        ranked = tuple(by_name[name] for name in order)
        self._rankings[service, key] = (usable, ranked)
        if len(self._rankings) > _KEPT_RANKINGS:
            self._rankings.popitem(last=False)
        return ranked

    def has_handled(self, instance: str, key: str) -> bool:
        """Whether an upstream got a request for the object from here."""
        return key in self._handled.get(instance, ())

    def record(self, instance: str, key: str) -> None:
        """Remember that an upstream has handled an object."""
        handled = self._handled.setdefault(instance, collections.OrderedDict())
        handled[key] = None
        handled.move_to_end(key)
        if len(handled) > _KEPT_OBJECTS:
            handled.popitem(last=False)

    def discard(self, instance: str, key: str) -> None:
        """Forget that an upstream has handled an object; it has not."""
        self._handled.get(instance, {}).pop(key, None)

    def forget(self, instance: str) -> None:
        """Drop what an upstream has handled; a new start knows nothing."""
        self._handled.pop(instance, None)
