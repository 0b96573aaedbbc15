"""Gateways that follow the configuration, on virtual time."""

import asyncio
import random

import attrs

from bench.cut_platform import CutPlatform
from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.clock import VirtualClock
from nutmegshore.counters import Counters
from nutmegshore.errors import RequestError
from nutmegshore.gateway.configuration_exchange import ConfigurationExchange
from nutmegshore.gateway.follower import FollowerContext, KindFollower
from nutmegshore.gateway.key_age import KeyAge
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.replicas import ConfigurationReplica, ReplicaContext
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.platform.bounds import Bounds
from nutmegshore.platform.configuration import CONFIGURATION_PREFIX
from nutmegshore.quarantine import Quarantine

REVOKE_S = 5
APPLY_S = 4
_BOUNDS = Bounds(
    is_revoke_strict=True, revoke_s=REVOKE_S, configuration_s=APPLY_S
)
#: Seconds after which a fleet that has started believes keys.
START_S = 4
POLL_S = 0.02
KEY = 'k-7f3a'


class EraPlatform(CutPlatform):
    """A client whose answers name the era of the store."""

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.era = 1

    async def read_listing(self, prefix):
        listing = await super().read_listing(prefix)
        return attrs.evolve(listing, era=self.era)

    async def watch(self, prefix, after, wait_s=30):
        changes = await super().watch(prefix, after, wait_s)
        return attrs.evolve(changes, era=self.era)

    def restore(self, store):
        """Go on with the store as it is after a restore."""
        self._store = store
        self.era += 1
        # The connections break.
        self.resets += 1


@attrs.define(eq=False)
class Keeper:
    """A gateway that follows the configuration, without callers."""

    clock: VirtualClock
    platform: EraPlatform
    state: FleetState
    follower: KindFollower
    peering: Peering
    key_age: KeyAge
    counters: Counters
    tasks: list = attrs.field(factory=list)

    def start(self):
        self.tasks = [
            asyncio.ensure_future(work())
            for work in (
                self.peering.run,
                self.follower.run,
                self.follower.run_checks,
                self._observe,
            )
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def answer(self, route, key=KEY):
        """What a request with a key gets: '' if it may run."""
        if self.clock.is_paused:
            return 'paused'
        if self.state.configuration is None:
            return 'not_ready'
        try:
            self.key_age.authenticate(route, key)
        except RequestError as error:
            return error.kind.value
        return ''

    async def _observe(self):
        while True:
            self.follower.expire()
            self.key_age.observe()
            await self.clock.sleep(0.1)


def build_keeper(peers, platform, clock, log):
    """Build a gateway that is not started."""
    name = peers.local.name
    counters = Counters()
    state = FleetState(clock)
    rng = random.Random(name)
    replica = ConfigurationReplica(ReplicaContext(state, log, counters, clock))
    context = FollowerContext(platform, clock, rng, counters, log)
    follower = KindFollower(
        CONFIGURATION_PREFIX, replica, context, APPLY_S, APPLY_S
    )
    state.configuration_view = follower.view
    words = state.peer_configurations
    words.read_position = lambda: follower.known.position
    words.on_earlier = ConfigurationExchange(peers, clock, replica).send
    key_age = KeyAge(state, clock, counters, log)
    key_age.bounds = _BOUNDS
    balancer = Balancer(
        state,
        BalancerDependencies(clock, rng, name, 'west', lambda region: [], 0.15),
    )
    peering = Peering(
        PeeringDependencies(
            peers,
            balancer,
            Quarantine(
                peers,
                clock,
                counters,
                lambda service: set(),
                lambda upstream: False,
            ),
            clock,
            rng,
            counters,
            log,
            LeavingUpstreams(state, log, counters),
            CustomerQuotas(clock, rng, balancer.candidate_builder.members),
        ),
        [follower],
    )
    peering.is_ready = True
    peering.key_reports.is_too_old = key_age.is_too_old
    return Keeper(clock, platform, state, follower, peering, key_age, counters)
