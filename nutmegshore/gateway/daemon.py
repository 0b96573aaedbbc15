"""The gateway daemon: startup, background tasks and graceful shutdown."""

import asyncio

import attrs

from nutmegshore import __version__
from nutmegshore.gateway.assembly import Assembly, GatewayDependencies
from nutmegshore.gateway.caller_drain import DrainTimes, drain_callers
from nutmegshore.gateway.configuration_exchange import ConfigurationExchange
from nutmegshore.gateway.caller_memory import log_memory
from nutmegshore.gateway.events import (
    IdleConnectionsClosed,
    SettingsReloaded,
    Started,
    Starting,
    Stopped,
    Stopping,
)
from nutmegshore.gateway.responder import GatewayResponder
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.gauges import GaugeSources, Gauges
from nutmegshore.gateway.kept_tasks import KeptTasks
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.gateway.status_pages import StatusPages
from nutmegshore.listener import AnswerWriter, CallerServer, ListenerContext

__all__ = ('GatewayDaemon',)

_EXPIRY_INTERVAL_S = 0.1
_START_POLL_S = 0.05
#: Seconds after its start that a gateway with complete state waits for peers
#: before it reports ready without them.
_PEER_WAIT_S = 1.5
#: Seconds for which a stopping gateway still accepts new requests, since
#: callers cache look-up answers for that long.
_LINGER_S = 2.8
#: Name of this part in reports of faults.
_PART = 'daemon'


class GatewayDaemon:
    """One gateway.

    daemon = GatewayDaemon(settings, make_dependencies(settings))
    await daemon.start()
    ...
    await daemon.stop()
    """

    def __init__(
        self, settings: GatewaySettings, dependencies: GatewayDependencies
    ) -> None:
        """Build the components; nothing runs before `start`."""
        self.faults = dependencies.log.faults
        self._settings = settings
        self._dependencies = dependencies
        self._started_at = dependencies.clock.now()
        self._assembly = Assembly(settings, dependencies)
        self._assembly.replicas.configurations.on_adopted = (
            self._apply_configuration
        )
        self._peering = self._make_peering()
        self._forwarder = GatewayForwarder(self._assembly.context)
        self._listener = ListenerContext(
            self._make_responder,
            dependencies.counters,
            faults=self.faults,
            budget=self._assembly.context.memory,
            max_connections=settings.instance_limits.connections,
        )
        log_memory(self._assembly.context.memory, dependencies.log)
        self._tasks = KeptTasks(
            dependencies.clock, dependencies.counters, dependencies.log
        )
        self._pages: list[CallerServer] = []
        self._callers: CallerServer | None = None

    @property
    def caller_port(self) -> int:
        """Port that callers connect to; valid while the listener is open."""
        return self._callers.ports[0]

    async def start(self) -> None:
        """Open the listeners and follow the store; return when ready."""
        event = Starting(
            __version__,
            self._settings.callers,
            self._settings.availability_zone,
        )
        self._dependencies.log.write(event)
        gauges = self._make_gauges()
        self._pages = StatusPages(self._assembly, self._peering, gauges).open()
        self._assembly.peers.start()
        self._spawn_tasks()
        self._callers = CallerServer(self._listener)
        host, _, port = self._settings.callers.rpartition(':')
        self._callers.open(int(port), host)
        while not self._can_become_ready():
            await self._dependencies.clock.sleep(_START_POLL_S)
        self._peering.is_ready = True
        with self.faults.contain(_PART):
            self._peering.report()
        self._log_start()

    async def stop(self) -> None:
        """Withdraw from look-up answers, finish all requests and close.

        Callers cache look-up answers, so the gateway still accepts new
        requests during the first part of the grace period. Later ones are
        refused: they could be cut at its end.
        """
        grace_s = self._settings.bounds.grace_s
        times = DrainTimes.of_grace(grace_s)
        ends_at = self._dependencies.clock.now() + times.work_s
        self._dependencies.log.write(
            Stopping(self._forwarder.in_flight, grace_s)
        )
        self._withdraw()
        cut = 0
        if self._callers is not None:
            self._callers.leave()
            await self._dependencies.clock.sleep(min(_LINGER_S, grace_s / 2))
            self._forwarder.refuse_new()
            cut = await drain_callers(
                self._callers,
                self._forwarder,
                self._dependencies.clock,
                ends_at,
                times.last_answers_s,
            )
            self._dependencies.log.write(
                IdleConnectionsClosed(self._callers.idle_closed)
            )
        self._dependencies.log.write(Stopped(cut))
        await self._close()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the bounds and seeds of new settings.

        Names, locations and addresses need a restart: a change to one of
        them is logged, and the old value stays in use.
        """
        applied = attrs.evolve(
            self._settings,
            bounds=settings.bounds,
            seeds=settings.seeds,
        )
        is_fully_applied = applied == settings
        self._settings = applied
        self._assembly.apply_settings(applied)
        self.report_reload(
            '' if is_fully_applied else 'other changes need a restart'
        )

    def report_reload(self, fault: str) -> None:
        """Log the result of a reload; an empty fault means success."""
        self._dependencies.log.write(SettingsReloaded(fault))

    def _withdraw(self) -> None:
        """Tell the peers that this gateway takes no new callers."""
        self._peering.is_ready = False
        with self.faults.contain(_PART):
            self._peering.report()
        with self.faults.contain(_PART):
            self._assembly.peers.leave()

    def _spawn_tasks(self) -> None:
        assembly = self._assembly
        for follower in assembly.replicas.followers:
            prefix = follower.prefix
            self._tasks.keep(f'follow {prefix}', follower.run)
            self._tasks.keep(f'check {prefix}', follower.run_checks)
        self._tasks.keep(
            'register', lambda: assembly.registry.run(assembly.peers)
        )
        self._tasks.keep('report', self._peering.run)
        self._tasks.keep('expire', self._expire_missing)
        self._tasks.keep('check cold', assembly.cold_checks.run)

    async def _close(self) -> None:
        for server in self._pages:
            server.stop()
        closing = [page.close_all_connections() for page in self._pages]
        await asyncio.gather(*closing)
        await self._assembly.context.crashes.stop()
        await self._assembly.peers.stop()
        await self._tasks.stop()

    def _can_become_ready(self) -> bool:
        if not self._assembly.state.is_complete:
            return False
        age_s = self._dependencies.clock.now() - self._started_at
        return self._assembly.peers.is_settled or age_s > _PEER_WAIT_S

    async def _expire_missing(self) -> None:
        while True:
            self._assembly.replicas.expire()
            self._assembly.context.key_age.observe()
            await self._dependencies.clock.sleep(_EXPIRY_INTERVAL_S)

    def _log_start(self) -> None:
        event = Started(
            self._assembly.state.configuration.version,
            round(self._dependencies.clock.now() - self._started_at, 3),
        )
        self._dependencies.log.write(event)

    def _make_responder(self, writer: AnswerWriter) -> GatewayResponder:
        return GatewayResponder(
            writer,
            self._assembly.context,
            self._forwarder,
            self._listener,
        )

    def _apply_configuration(self) -> None:
        """Apply the limits of a new configuration and drop removed routes."""
        assembly = self._assembly
        configuration = assembly.state.configuration
        self._listener.limits = configuration.limits.listener_limits()
        routes = {route.name for route in configuration.routes}
        assembly.balancer.candidate_builder.latency.retain(routes)
        assembly.context.splits.retain(routes)

    def _make_gauges(self) -> Gauges:
        assembly = self._assembly
        sources = GaugeSources(
            assembly.state,
            assembly.balancer.candidate_builder,
            assembly.balancer.region_chooser,
            self._peering,
            assembly.replicas.followers,
            assembly.replicas.rejected,
            lambda: self._forwarder.in_flight,
            self._dependencies.clock,
            self._dependencies.counters,
            self._dependencies.store.eras,
            self._assembly.quotas.quotas,
            assembly.context.memory,
        )
        return Gauges(sources)

    def _make_peering(self) -> Peering:
        dependencies = self._dependencies
        peering_dependencies = PeeringDependencies(
            self._assembly.peers,
            self._assembly.balancer,
            self._assembly.quarantine,
            dependencies.clock,
            dependencies.rng,
            dependencies.counters,
            dependencies.log,
            self._assembly.reports.leaving,
            self._assembly.quotas.quotas,
        )
        peering = Peering(
            peering_dependencies, self._assembly.replicas.followers
        )
        exchange = ConfigurationExchange(
            self._assembly.peers,
            dependencies.clock,
            self._assembly.replicas.configurations,
        )
        self._assembly.state.peer_configurations.on_earlier = exchange.send
        peering.key_reports.is_too_old = (
            self._assembly.context.key_age.is_too_old
        )
        return peering
