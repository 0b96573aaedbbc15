"""Incarnations of upstreams that are leaving."""

import collections
from collections.abc import Callable, Iterator, Mapping

from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('MAX_UNREGISTERED', 'Departures')

#: Incarnations that are remembered without a registration. It may be missing
#: for some time: entries expire while their owners cannot reach the store.
MAX_UNREGISTERED = 256

_Identity = tuple[str, str, int]


class Departures:
    """Tells which incarnations of upstreams are leaving.

    One that has said so in an answer is leaving for good, whatever its
    registration says afterwards. The next incarnation, also under the same id,
    is another.

        departures.add(upstream)
        departures.is_leaving(upstream)  # True
    """

    def __init__(
        self,
        by_id: Mapping[str, RegisteredUpstream],
        on_added: Callable[[], None],
    ) -> None:
        """Follow the registrations in `by_id`; call `on_added` after `add`."""
        self._by_id = by_id
        self._on_added = on_added
        self._said: collections.OrderedDict[_Identity, None] = (
            collections.OrderedDict()
        )

    def add(self, upstream: RegisteredUpstream) -> bool:
        """Record what an answer said; False if it was leaving already."""
        known = self._by_id.get(upstream.instance, upstream)
        is_same = known.identity == upstream.identity
        was_leaving = self.is_leaving(known if is_same else upstream)
        self._said[upstream.identity] = None
        self._forget_oldest()
        self._on_added()
        return not was_leaving

    def is_leaving(self, upstream: RegisteredUpstream) -> bool:
        """Whether an incarnation has said that it is leaving."""
        return upstream.is_draining or upstream.identity in self._said

    def by_answer_only(self) -> Iterator[RegisteredUpstream]:
        """Yield the leaving upstreams that are registered as ready."""
        for identity in self._said:
            upstream = self._by_id.get(identity[0])
            if upstream is None or upstream.identity != identity:
                continue
            if not upstream.is_draining:
                yield upstream

    def end(self, upstream: RegisteredUpstream) -> None:
        """Handle the end of a registration.

        An incarnation without a start time is forgotten at once: it cannot be
        told from the next one.
        """
        if not upstream.born_ms:
            self._said.pop(upstream.identity, None)

    def _forget_oldest(self) -> None:
        """Forget unregistered incarnations beyond the limit."""
        excess = len(self._said) - len(self._by_id) - MAX_UNREGISTERED
        if excess <= 0:
            return
        registered = {upstream.identity for upstream in self._by_id.values()}
        gone = [one for one in self._said if one not in registered]
        for identity in gone[:excess]:
            self._said.pop(identity)
