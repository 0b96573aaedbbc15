"""What the components of an entry depend on."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.peers import Peers
from nutmegshore.store import Platform
from nutmegshore.upstreams import UpstreamClient

__all__ = ('EntryDependencies', 'EntryOptions')


@attrs.frozen
class EntryDependencies:
    """Objects outside an entry that its components depend on.

    `rng` must be seeded differently in each process, also for a restart under
    the same name.
    """

    platform: Platform
    peers: Peers
    upstreams: UpstreamClient
    clock: Clock
    rng: random.Random
    counters: Counters = attrs.field(factory=Counters)


@attrs.frozen
class EntryOptions:
    """Options of an entry; `lookup_lifetime_s` is in seconds."""

    lookup_lifetime_s: float = 5
