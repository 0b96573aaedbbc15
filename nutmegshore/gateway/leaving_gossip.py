"""Leaving upstreams, as gateways pass them on to each other."""

import itertools
from collections.abc import Mapping

from nutmegshore.gateway.leaving import LeavingUpstreams

__all__ = ('MAX_TOLD', 'LeavingGossip')

#: Upstreams in one message.
MAX_TOLD = 64


class LeavingGossip:
    """Packs the upstreams that leave by answer, and applies those of peers.

    A message holds the start, in milliseconds since 1970, by upstream. Those
    whose registration is gone or says the same are left out, and so are those
    without a start time: nothing tells their incarnations apart.
    """

    def __init__(self, leaving: LeavingUpstreams) -> None:
        """Exchange what `leaving` knows."""
        self._leaving = leaving

    def known(self) -> dict[str, int]:
        """Return what answers to any gateway said, the oldest first."""
        told = (
            (upstream.instance, upstream.born_ms)
            for upstream in self._leaving.departures.by_answer_only()
            if upstream.born_ms
        )
        return dict(itertools.islice(told, MAX_TOLD))

    def adopt(self, packed: Mapping[str, int]) -> None:
        """Apply what a peer knows of registered incarnations.

        A start that is malformed is that of no incarnation.
        """
        for instance, born_ms in packed.items():
            self._leaving.handle_peer(instance, born_ms)
