"""Builds the components of a gateway from its settings."""

from nutmegshore.balancing import (
    Balancer,
    BalancerDependencies,
    FleetRetryBudget,
    WeightedRoundRobin,
)
from nutmegshore.gateway.cold_checks import ColdChecks
from nutmegshore.gateway.cold_reports import ColdReports
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.crashes import (
    CrashGuard,
    QuarantineDependencies,
    make_quarantine,
)
from nutmegshore.gateway.dependencies import GatewayDependencies
from nutmegshore.gateway.follower import FollowerContext
from nutmegshore.gateway.malformed_answers import MalformedAnswers
from nutmegshore.gateway.quota_gate import QuotaGate
from nutmegshore.gateway.registry import Registry, RegistryDependencies
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.store_replicas import StoreReplicas
from nutmegshore.gateway.upstream_reports import UpstreamReports
from nutmegshore.peers import (
    Member,
    MeshOptions,
    MeshPeers,
    TcpTransport,
    first_incarnation,
)
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams

__all__ = ('Assembly', 'GatewayDependencies')


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
        self._malformed_answers = MalformedAnswers(
            dependencies.log, dependencies.counters
        )
        dependencies.store.on_malformed = self._malformed_answers.record_store
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
        self.replicas = self._make_replicas()
        self.replicas.restores.on_restore.append(self.registry.handle_restore)
        self.reports = UpstreamReports(
            self.balancer,
            self.state,
            dependencies.log,
            dependencies.counters,
        )
        ColdReports(
            self.state,
            dependencies.clock,
            dependencies.log,
            dependencies.counters,
        ).follow()
        self.quotas = self._make_quotas()
        self.context = self._make_context()
        self.context.key_age.bounds = settings.bounds
        self.cold_checks = self._make_cold_checks()

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
        self.quotas.resize(bounds)
        self.balancer.region_chooser.shift_bound.set_max_shift(bounds.max_shift)
        self.registry.seeds = _peer_addresses(settings)
        self.replicas.apply_settings(settings)
        self.context.key_age.bounds = bounds

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
            int(settings.link_mbps),
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
            self.dependencies.log.faults,
        )
        return Balancer(self.state, balancer_dependencies)

    def _make_replicas(self) -> StoreReplicas:
        dependencies = self.dependencies
        context = FollowerContext(
            dependencies.store,
            dependencies.clock,
            dependencies.rng,
            dependencies.counters,
            dependencies.log,
        )
        return StoreReplicas(
            self.settings,
            self.state,
            context,
            self.balancer.candidate_builder.forget,
        )

    def _make_quotas(self) -> QuotaGate:
        dependencies = self.dependencies
        return QuotaGate.make(
            self.balancer.candidate_builder.members,
            (dependencies.clock, dependencies.rng),
            dependencies.log,
            dependencies.counters,
            self.settings.bounds,
        )

    def _make_context(self) -> GatewayContext:
        bounds = self.settings.bounds
        dependencies = self.dependencies
        dialect = PlatformDialect()
        faults = dependencies.log.faults
        limits = self.settings.instance_limits
        memory = limits.make_budget(dependencies.counters)
        upstreams = CurlUpstreams(
            dependencies.clock,
            dialect,
            faults,
            memory,
            limits.idle_upstreams,
            dependencies.counters,
        )
        upstreams.on_report = self.reports.record
        upstreams.on_connected = self.reports.record_connection
        upstreams.on_destination_report = self.reports.record_destination
        upstreams.on_malformed = self._malformed_answers.record
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
            quotas=self.quotas,
            count_gateways=self._count_gateways,
            memory=memory,
        )

    def _make_cold_checks(self) -> ColdChecks:
        dependencies = self.dependencies
        client = CurlUpstreams(
            dependencies.clock,
            self.context.dialect,
            dependencies.log.faults,
        )
        client.on_malformed = self._malformed_answers.record
        return ColdChecks(
            self.balancer.candidate_builder,
            client,
            dependencies.clock,
            dependencies.counters,
        )

    def _count_gateways(self) -> float:
        """Return how many gateways may share an allowance of the fleet."""
        members = self.balancer.candidate_builder.members
        return max(len(self.peers.live()), members.count_sharers())


def _peer_addresses(settings: GatewaySettings) -> tuple[str, ...]:
    """Peer addresses of the seeds in the settings."""
    return tuple(
        _with_port(address, settings.peer_port) for address in settings.seeds
    )


def _with_port(address: str, port: int) -> str:
    """Replace the port of an address."""
    host = address.rpartition(':')[0]
    return f'{host}:{port}'
