"""The replicas of a gateway and their followers of the store."""

from collections.abc import Callable

from nutmegshore.gateway.era_doubts import EraDoubts
from nutmegshore.gateway.follower import FollowerContext, KindFollower
from nutmegshore.gateway.replicas import (
    ConfigurationReplica,
    EvacuationReplica,
    ReplicaContext,
    UpstreamReplica,
)
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.store_outages import REWRITE_S
from nutmegshore.gateway.store_restores import StoreRestores
from nutmegshore.platform.configuration import CONFIGURATION_PREFIX
from nutmegshore.platform.registration import (
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
)

__all__ = ('StoreReplicas',)


class StoreReplicas:
    """Replicates configuration, upstreams and evacuations into a state.

    replicas = StoreReplicas(settings, state, context, balancer.forget)
    for follower in replicas.followers:
        tasks.spawn(follower.run())
    """

    def __init__(
        self,
        settings: GatewaySettings,
        state: FleetState,
        context: FollowerContext,
        on_gone: Callable[[str], None],
    ) -> None:
        """Build the replicas; `on_gone` gets the name of a removed upstream."""
        log = context.log
        replica_context = ReplicaContext(
            state, log, context.counters, context.clock
        )
        self.rejected = replica_context.rejected
        context.store.on_unnamed = self.rejected.handle_unnamed
        self.configurations = ConfigurationReplica(replica_context)
        self.upstreams = UpstreamReplica(
            replica_context, settings.regions_by_zone, on_gone
        )
        bounds = _bounds_by_prefix(settings)
        replicas = (
            (CONFIGURATION_PREFIX, self.configurations),
            (UPSTREAM_PREFIX, self.upstreams),
            (EVACUATION_PREFIX, EvacuationReplica(replica_context)),
        )
        # Operators may take as long to repeat an evacuation as it may take to
        # begin; upstreams register again sooner.
        rewrite_s = bounds | {UPSTREAM_PREFIX: REWRITE_S}
        self.followers = tuple(
            KindFollower(
                prefix, replica, context, bounds[prefix], rewrite_s[prefix]
            )
            for prefix, replica in replicas
        )
        by_prefix = {follower.prefix: follower for follower in self.followers}
        state.upstreams_view = by_prefix[UPSTREAM_PREFIX].view
        _follow_configuration(state, by_prefix[CONFIGURATION_PREFIX])
        self.restores = StoreRestores(log, context.counters)
        self.restores.on_restore.append(self._check_all)
        if context.store.eras is not None:
            self.restores.follow(context.store.eras)
            EraDoubts(context.store.eras, context.clock).follow()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the bounds of reloaded settings."""
        bounds = _bounds_by_prefix(settings)
        for follower in self.followers:
            follower.bound_s = bounds[follower.prefix]

    def expire(self) -> None:
        """End what is kept since an outage or a restore; call this often."""
        for follower in self.followers:
            follower.expire()

    def _check_all(self) -> None:
        """List what this gateway reads from the store itself."""
        for follower in self.followers:
            if not follower.is_relayed:
                follower.check()


def _follow_configuration(state: FleetState, follower: KindFollower) -> None:
    """Have the state tell how old its configuration is."""
    state.configuration_view = follower.view
    words = state.peer_configurations
    words.read_position = lambda: follower.known.position


def _bounds_by_prefix(settings: GatewaySettings) -> dict[str, float]:
    """Seconds within which a change must take effect, by key prefix."""
    return {
        CONFIGURATION_PREFIX: settings.bounds.configuration_s,
        UPSTREAM_PREFIX: settings.bounds.drain_s,
        EVACUATION_PREFIX: settings.bounds.evacuation_s,
    }
