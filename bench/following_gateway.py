"""A gateway of the model of changes, without callers."""

import asyncio
import random
from types import MappingProxyType

import attrs

from bench.cut_platform import CutPlatform
from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.clock import VirtualClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.follower import FollowerContext, KindFollower
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.replicas import ReplicaContext, UpstreamReplica
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.peers import Peers
from nutmegshore.quarantine import Quarantine

__all__ = ('PREFIX', 'REGIONS', 'FollowingGateway', 'build_gateway')

REGIONS = ('west', 'north', 'south')
PREFIX = 'servers/'
_MAX_SHIFT = 0.15
_EXPIRY_S = 0.1


@attrs.define(eq=False)
class FollowingGateway:
    """One gateway that follows the store, without callers."""

    clock: VirtualClock
    platform: CutPlatform
    state: FleetState
    peers: Peers
    follower: KindFollower
    balancer: Balancer
    peering: Peering
    tasks: list[asyncio.Future] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """The gateway's name."""
        return self.peers.local.name

    def start(self) -> None:
        """Run what the daemon runs, but for listeners."""
        self.tasks = [
            asyncio.ensure_future(work())
            for work in (
                self.peering.run,
                self.follower.run,
                self.follower.run_checks,
                self._expire,
            )
        ]

    def stop(self) -> None:
        """Stop without notice."""
        for task in self.tasks:
            task.cancel()

    def uses(self, upstream: str) -> bool:
        """Whether new requests may go to an upstream."""
        found = self.state.by_id.get(upstream)
        return found is not None and self.state.is_usable(found)

    async def _expire(self) -> None:
        while True:
            self.follower.expire()
            await self.clock.sleep(_EXPIRY_S)


def build_gateway(
    peers: Peers,
    platform: CutPlatform,
    log: EventLog,
    clock: VirtualClock,
    drain_s: float,
) -> FollowingGateway:
    """Build a gateway that must leave upstreams alone within `drain_s`."""
    state = FleetState(clock)
    rng = random.Random(peers.local.name)
    counters = Counters()
    context = FollowerContext(platform, clock, rng, counters, log)
    balancer = _make_balancer(state, context, peers)
    follower = _make_follower(state, context, balancer, drain_s)
    dependencies = PeeringDependencies(
        peers,
        balancer,
        _make_quarantine(context, peers),
        clock,
        rng,
        counters,
        log,
        LeavingUpstreams(state, log, counters),
        CustomerQuotas(clock, rng, balancer.candidate_builder.members),
    )
    peering = Peering(dependencies, [follower])
    peering.is_ready = True
    return FollowingGateway(
        clock, platform, state, peers, follower, balancer, peering
    )


def _make_balancer(
    state: FleetState, context: FollowerContext, peers: Peers
) -> Balancer:
    local = peers.local
    dependencies = BalancerDependencies(
        context.clock,
        context.rng,
        local.name,
        local.region,
        lambda _: [],
        _MAX_SHIFT,
    )
    return Balancer(state, dependencies)


def _make_quarantine(context: FollowerContext, peers: Peers) -> Quarantine:
    return Quarantine(
        peers,
        context.clock,
        context.counters,
        lambda _: set(),
        lambda _: False,
    )


def _make_follower(
    state: FleetState,
    context: FollowerContext,
    balancer: Balancer,
    drain_s: float,
) -> KindFollower:
    upstreams = UpstreamReplica(
        ReplicaContext(state, context.log, context.counters, context.clock),
        MappingProxyType({f'{one}-a': one for one in REGIONS}),
        balancer.candidate_builder.forget,
    )
    return KindFollower(PREFIX, upstreams, context, drain_s)
