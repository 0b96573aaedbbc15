"""Builds the components of a gateway from its settings."""

import random

import attrs

from nutmegshore.balancing import (
    Balancer,
    BalancerDependencies,
    FleetRetryBudget,
    WeightedRoundRobin,
)
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.crashes import (
    CrashGuard,
    QuarantineDependencies,
    make_quarantine,
)
from nutmegshore.gateway.follower import FollowerContext, KindFollower
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.registry import Registry, RegistryDependencies
from nutmegshore.gateway.replicas import (
    ConfigurationReplica,
    EvacuationReplica,
    ReplicaContext,
    UpstreamReplica,
)
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream_reports import UpstreamReports
from nutmegshore.peers import (
    Member,
    MeshOptions,
    MeshPeers,
    TcpTransport,
    first_incarnation,
)
from nutmegshore.platform.configuration import CONFIGURATION_PREFIX
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.platform.registration import (
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
)
from nutmegshore.store import Platform
from nutmegshore.upstreams.curl import CurlUpstreams

__all__ = ('Assembly', 'GatewayDependencies')


@attrs.frozen
class GatewayDependencies:
    """Dependencies that the components of a gateway share."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class Assembly:
    """Builds the components of one gateway in dependency order.

    Nothing runs yet; the daemon starts and stops the components.
    """

    def __init__(
        self, settings: GatewaySettings, dependencies: GatewayDependencies
    ) -> None:
        """Build all components."""
        self.settings = settings
        self.dependencies = dependencies
        self.state = FleetState(dependencies.clock)
        self.registry = self._make_registry()
        self.peers = self._make_peers()
        self.balancer = self._make_balancer()
        self.quarantine = make_quarantine(
            QuarantineDependencies(
                self.peers,
                self.state,
                self.balancer,
                dependencies.clock,
                dependencies.counters,
                dependencies.log,
            ),
        )
        self.replica_context = ReplicaContext(
            self.state,
            dependencies.log,
            dependencies.counters,
            dependencies.clock,
        )
        rejected = self.replica_context.rejected
        dependencies.store.on_unnamed = rejected.handle_unnamed
        self.upstreams = UpstreamReplica(
            self.replica_context,
            settings.regions_by_zone,
            self.balancer.candidate_builder.forget,
        )
        self.configurations = ConfigurationReplica(self.replica_context)
        self.followers = self._make_followers()
        self.context = self._make_context()

    def gateway_names(self, region: str) -> list[str]:
        """Gateways serving in a region, or in all if `region` is empty."""
        return [
            name
            for name, member in self.peers.serving().items()
            if region in {'', member.region}
        ]

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the bounds and seeds of reloaded settings."""
        self.settings = settings
        bounds = settings.bounds
        self.context.budget.resize(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.extra_retries,
        )
        self.balancer.region_chooser.shift_bound.set_max_shift(bounds.max_shift)
        self.registry.seeds = _peer_addresses(settings)
        bounds_by_prefix = _bounds_by_prefix(settings)
        for follower in self.followers:
            follower.bound_s = bounds_by_prefix[follower.prefix]

    def _make_registry(self) -> Registry:
        settings = self.settings
        dependencies = self.dependencies
        registry_dependencies = RegistryDependencies(
            dependencies.store,
            dependencies.clock,
            dependencies.rng,
            dependencies.counters,
        )
        own_address = _with_port(settings.callers, settings.peer_port)
        seeds = _peer_addresses(settings)
        return Registry(
            registry_dependencies, settings.name, own_address, seeds
        )

    def _make_peers(self) -> MeshPeers:
        settings = self.settings
        dependencies = self.dependencies
        local = Member(
            settings.name,
            settings.region,
            settings.availability_zone,
            first_incarnation(dependencies.rng),
        )
        return MeshPeers(
            local,
            TcpTransport(settings.ip, settings.peer_port),
            MeshOptions(settings.cluster, settings.key.encode()),
            self.registry.read_seeds,
            (dependencies.clock, dependencies.rng, dependencies.counters),
        )

    def _make_balancer(self) -> Balancer:
        balancer_dependencies = BalancerDependencies(
            self.dependencies.clock,
            self.dependencies.rng,
            self.settings.name,
            self.settings.region,
            self.gateway_names,
            self.settings.bounds.max_shift,
        )
        return Balancer(self.state, balancer_dependencies)

    def _make_followers(self) -> tuple[KindFollower, ...]:
        dependencies = self.dependencies
        evacuations = EvacuationReplica(self.replica_context)
        replicas = (
            (CONFIGURATION_PREFIX, self.configurations),
            (UPSTREAM_PREFIX, self.upstreams),
            (EVACUATION_PREFIX, evacuations),
        )
        bounds = _bounds_by_prefix(self.settings)
        follower_context = FollowerContext(
            dependencies.store,
            dependencies.clock,
            dependencies.rng,
            dependencies.counters,
            dependencies.log,
        )
        return tuple(
            KindFollower(prefix, replica, follower_context, bounds[prefix])
            for prefix, replica in replicas
        )

    def _make_context(self) -> GatewayContext:
        bounds = self.settings.bounds
        dependencies = self.dependencies
        dialect = PlatformDialect()
        upstreams = CurlUpstreams(dependencies.clock, dialect)
        upstreams.on_report = UpstreamReports(
            self.balancer,
            self.state,
            dependencies.log,
            dependencies.counters,
        ).record
        return GatewayContext(
            state=self.state,
            balancer=self.balancer,
            budget=FleetRetryBudget(
                dependencies.clock,
                bounds.retry_ratio,
                bounds.retry_window_s,
                bounds.extra_retries,
            ),
            splits=WeightedRoundRobin(),
            upstreams=upstreams,
            dialect=dialect,
            clock=dependencies.clock,
            counters=dependencies.counters,
            log=dependencies.log,
            crashes=CrashGuard(self.quarantine, dependencies.counters),
            count_gateways=self._count_gateways,
        )

    def _count_gateways(self) -> int:
        """Return how many gateways may share an allowance of the fleet."""
        members = self.balancer.candidate_builder.members
        return max(len(self.peers.live()), members.count(''))


def _bounds_by_prefix(settings: GatewaySettings) -> dict[str, float]:
    """Seconds within which a change must take effect, by key prefix."""
    return {
        CONFIGURATION_PREFIX: settings.bounds.configuration_s,
        UPSTREAM_PREFIX: settings.bounds.drain_s,
        EVACUATION_PREFIX: settings.bounds.evacuation_s,
    }


def _peer_addresses(settings: GatewaySettings) -> tuple[str, ...]:
    """Peer addresses of the seeds in the settings."""
    return tuple(
        _with_port(address, settings.peer_port) for address in settings.seeds
    )


def _with_port(address: str, port: int) -> str:
    """Replace the port of an address."""
    host = address.rpartition(':')[0]
    return f'{host}:{port}'
