"""Components of one mesh member."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.peers.dialler import Dialler
from nutmegshore.peers.membership import MemberRecord, Membership
from nutmegshore.peers.message_router import MessageRouter
from nutmegshore.peers.prober import Prober
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.peers.topology import FULL_MESH_MEMBERS

__all__ = ('MeshOptions', 'MeshComponents')


@attrs.frozen
class MeshOptions:
    """Settings of the cluster.

    `size_hint` is the approximate number of members. The first reads of the
    platform are spread over a time in proportion to it, so that a cluster
    that boots at once stays under the platform's rate limit. Above
    `full_mesh` members, only some pairs are linked.
    """

    cluster: str
    key: bytes = attrs.field(repr=False)
    size_hint: int = FULL_MESH_MEMBERS
    full_mesh: int = FULL_MESH_MEMBERS


class MeshComponents:
    """Components of one member, built from its dependencies."""

    def __init__(
        self,
        local: MemberRecord,
        full_mesh: int,
        clock: Clock,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Build the components without starting any task."""
        self.clock = clock
        self.rng = rng
        self.counters = counters
        self.membership = Membership(local, full_mesh)
        self.router = MessageRouter(self.membership, rng, counters)
        self.dialler = Dialler(self.membership, self.router, clock, rng)
        self.prober = Prober(self.membership, self.router, clock, rng)
        self.tasks = OwnedTasks('mesh', counters)
