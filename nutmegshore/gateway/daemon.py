"""The gateway daemon: its parts, its start and its stop."""

import asyncio
import random
from collections.abc import Iterator

from nutmegshore import __version__
from nutmegshore.balancing import Balancer, Surroundings
from nutmegshore.balancing.budget import RetryBudget
from nutmegshore.balancing.split import SplitTable
from nutmegshore.clock import Clock, SystemClock
from nutmegshore.counters import Counters
from nutmegshore.exposition import CONTENT_TYPE, write_exposition
from nutmegshore.gateway.events import Started, Stopped, Stopping
from nutmegshore.gateway.exchange import GatewayExchange
from nutmegshore.gateway.follower import FollowerParts, KindFollower
from nutmegshore.gateway.forward import Forwarder
from nutmegshore.gateway.log import EventLog, LineWriter
from nutmegshore.gateway.lookup import LIFETIME_S, Directory, Gateway
from nutmegshore.gateway.pages import Page, open_pages
from nutmegshore.gateway.parts import GatewayParts
from nutmegshore.gateway.peering import Peering, PeeringParts
from nutmegshore.gateway.registry import Registry, RegistryParts
from nutmegshore.gateway.replicas import (
    ConfigurationReplica,
    EvacuationReplica,
    UpstreamReplica,
)
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.gateway.state import FleetState
from nutmegshore.listener import AnswerWriter, CallerServer, ListenerParts
from nutmegshore.peers import (
    Member,
    MeshOptions,
    MeshPeers,
    TcpTransport,
    first_incarnation,
)
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.platform.configuration import CONFIGURATION_PREFIX
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.platform.lookup import (
    LOOKUP_PATH,
    READY_PATH,
    parse_lookup,
    write_lookup,
)
from nutmegshore.platform.registration import (
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
)
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store import Platform
from nutmegshore.upstreams.curl import CurlUpstreams

__all__ = ('GatewayDaemon',)

_SEED_BITS = 64
_STDOUT = 1
_OK = 200
_UNAVAILABLE = 503
_TICK_S = 0.1
#: Seconds from the start after which a gateway is ready even if no other was
#: heard of, as long as it has its state.
_ALONE_S = 1.5
#: Seconds after a stop was asked for in which new requests are taken: callers
#: hold look-up answers for that long.
_SERVE_ON_S = 2.8
#: Seconds before the end of the grace time in which everything is closed.
_CLOSING_S = 0.4


class GatewayDaemon:
    """One gateway.

        daemon = GatewayDaemon(settings)
        await daemon.start()
        ...
        await daemon.stop()
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: Platform | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Build the parts; nothing runs before `start`."""
        self._settings = settings
        self._clock = clock or SystemClock()
        self._begun_at = self._clock.now()
        self._rng = random.Random(random.SystemRandom().getrandbits(_SEED_BITS))
        self.counters = Counters()
        self.log = EventLog(
            LineWriter(_STDOUT),
            settings.name,
            self._clock,
            self.counters,
            settings.log_bytes_per_s,
        )
        self._store = store or PlatformStore(settings.store)
        self._tasks = OwnedTasks('gateway', self.counters)
        self.state = FleetState(self._clock)
        self._registry = self._make_registry()
        self.peers = self._make_peers()
        self.balancer = self._make_balancer()
        self._upstream_replica = self._make_upstream_replica()
        self._followers = self._make_followers()
        self._peering = self._make_peering()
        self._parts = self._make_parts()
        self._forwarder = Forwarder(self._parts)
        self._listener = ListenerParts(self._make_exchange, self.counters)
        self._servers: list[CallerServer] = []
        self._callers: CallerServer | None = None

    async def start(self) -> None:
        """Open the listeners and follow the store; returns when ready."""
        self._open_pages()
        self.peers.start()
        for follower in self._followers:
            self._tasks.spawn(follower.run())
        self._tasks.spawn(self._registry.run(self.peers))
        self._tasks.spawn(self._peering.run())
        self._tasks.spawn(self._tick())
        self._callers = CallerServer(self._listener)
        host, _, port = self._settings.callers.rpartition(':')
        self._callers.open(int(port), host)
        while not self._may_be_ready():
            await self._clock.sleep(_TICK_S / 2)
        self._peering.is_ready = True
        self._peering.report()
        self.log.write(
            Started(
                __version__,
                self._settings.callers,
                self._settings.availability_zone,
                self.state.configuration.version,
                round(self._clock.now() - self._begun_at, 3),
            ),
        )

    async def stop(self) -> None:
        """Leave the look-up answers, finish every request, and close.

        Callers hold look-up answers for a while, so that new requests are
        taken for the first part of the grace time.
        """
        grace_s = self._settings.bounds.grace_s
        ends_at = self._clock.now() + grace_s - _CLOSING_S
        self.log.write(Stopping(self._forwarder.in_flight, grace_s))
        self._peering.is_ready = False
        self._peering.report()
        self.peers.leave()
        if self._callers is not None:
            self._callers.leave()
            await self._clock.sleep(min(_SERVE_ON_S, grace_s / 2))
            await self._finish_callers(ends_at)
        self.log.write(Stopped(self._forwarder.in_flight))
        await self._close()

    async def _finish_callers(self, ends_at: float) -> None:
        left_s = max(ends_at - self._clock.now(), 0)
        try:
            async with asyncio.timeout(left_s):
                await self._callers.finish()
        except TimeoutError:
            await self._callers.close_all_connections()

    async def _close(self) -> None:
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        await self.peers.stop()
        await self._tasks.stop()

    def _may_be_ready(self) -> bool:
        if not self.state.is_complete:
            return False
        age_s = self._clock.now() - self._begun_at
        return self.peers.is_settled or age_s > _ALONE_S

    async def _tick(self) -> None:
        while True:
            self._upstream_replica.expire()
            self._set_gauges()
            await self._clock.sleep(_TICK_S)

    def _set_gauges(self) -> None:
        now = self._clock.now()
        age_s = now - self.state.configured_at
        self.counters.set_gauge('configuration_age_seconds', age_s)
        self.counters.set_gauge('requests_in_flight', self._forwarder.in_flight)
        for follower in self._followers:
            self.counters.set_gauge(
                'store_in_touch',
                int(follower.is_in_touch),
                kind=follower.prefix,
            )

    def _open_pages(self) -> None:
        settings = self._settings
        pages_by_address = (
            (settings.ready, {READY_PATH: self._ready_page}),
            (settings.lookup, {LOOKUP_PATH: self._lookup_page}),
            (
                f'{settings.ip}:{settings.metrics_port}',
                {'/metrics': self._metrics_page},
            ),
        )
        for address, pages in pages_by_address:
            self._servers.append(open_pages(address, pages, self.counters))

    def _ready_page(self, target: str) -> Page:
        if self._peering.is_ready:
            return Page(_OK, b'ready\n')
        return Page(_UNAVAILABLE, b'not ready\n')

    def _lookup_page(self, target: str) -> Page:
        question = parse_lookup(target)
        addresses = self._directory().find(question, self.state.configuration)
        if not addresses:
            self.counters.add('lookups_empty')
            return Page(_UNAVAILABLE, b'no gateway is ready\n')
        self.counters.add('lookups')
        lifetime_s = min(LIFETIME_S, self._settings.bounds.max_lookup_s)
        body = write_lookup(addresses, lifetime_s)
        return Page(_OK, body, 'application/json')

    def _metrics_page(self, target: str) -> Page:
        text = write_exposition(self.counters)
        return Page(_OK, text.encode(), CONTENT_TYPE)

    def _directory(self) -> Directory:
        return Directory(
            self._named_gateways,
            self._rng,
            self._settings.regions_by_zone,
        )

    def _named_gateways(self) -> Iterator[Gateway]:
        port = self._settings.callers.rpartition(':')[2]
        records = self.peers.membership.by_name
        for name, member in self.peers.serving().items():
            if self._peering.is_named(name):
                host = records[name].address.rpartition(':')[0]
                yield Gateway(member, f'{host}:{port}')

    def _gateway_names(self, region: str) -> list[str]:
        return [
            name
            for name, member in self.peers.serving().items()
            if region in {'', member.region}
        ]

    def _count_gateways(self) -> int:
        return len(self.peers.live())

    def _make_exchange(self, writer: AnswerWriter) -> GatewayExchange:
        return GatewayExchange(
            writer,
            self._parts,
            self._forwarder,
            self._listener,
        )

    def _take_limits(self) -> None:
        limits = self.state.configuration.limits
        self._listener.limits = limits.listener_limits()

    def _make_registry(self) -> Registry:
        settings = self._settings
        seeds = tuple(
            f'{address.rpartition(":")[0]}:{settings.peer_port}'
            for address in settings.seeds
        )
        parts = RegistryParts(
            self._store,
            self._clock,
            self._rng,
            self.counters,
        )
        address = f'{settings.ip}:{settings.peer_port}'
        return Registry(parts, settings.name, address, seeds)

    def _make_peers(self) -> MeshPeers:
        settings = self._settings
        local = Member(
            settings.name,
            settings.region,
            settings.availability_zone,
            first_incarnation(self._rng),
        )
        return MeshPeers(
            local,
            TcpTransport(settings.ip, settings.peer_port),
            MeshOptions(settings.cluster, settings.key.encode()),
            self._registry.read_seeds,
            (self._clock, self._rng, self.counters),
        )

    def _make_balancer(self) -> Balancer:
        around = Surroundings(
            self._clock,
            self._rng,
            self._settings.name,
            self._settings.region,
            self._gateway_names,
            self._settings.bounds.max_shift,
        )
        return Balancer(self.state, around)

    def _make_upstream_replica(self) -> UpstreamReplica:
        return UpstreamReplica(
            self.state,
            self.log,
            self._settings.regions_by_zone,
            self.balancer.forget,
        )

    def _make_followers(self) -> tuple[KindFollower, ...]:
        replicas = (
            (
                CONFIGURATION_PREFIX,
                ConfigurationReplica(self.state, self.log, self._take_limits),
            ),
            (UPSTREAM_PREFIX, self._upstream_replica),
            (EVACUATION_PREFIX, EvacuationReplica(self.state, self.log)),
        )
        parts = FollowerParts(
            self._store,
            self._clock,
            self._rng,
            self.counters,
            self.log,
        )
        return tuple(
            KindFollower(prefix, replica, parts) for prefix, replica in replicas
        )

    def _make_peering(self) -> Peering:
        parts = PeeringParts(
            self.peers,
            self.balancer,
            self._clock,
            self._rng,
            self.counters,
            self.log,
        )
        return Peering(parts, self._followers)

    def _make_parts(self) -> GatewayParts:
        bounds = self._settings.bounds
        dialect = PlatformDialect()
        upstreams = CurlUpstreams(self._clock, dialect)
        upstreams.on_report = self._take_load
        return GatewayParts(
            state=self.state,
            balancer=self.balancer,
            budget=RetryBudget(
                self._clock,
                bounds.retry_ratio,
                bounds.retry_window_s,
                bounds.extra_retries,
            ),
            splits=SplitTable(),
            upstreams=upstreams,
            dialect=dialect,
            clock=self._clock,
            counters=self.counters,
            log=self.log,
            count_gateways=self._count_gateways,
        )

    def _take_load(self, name: str, is_leaving: bool, busy: int) -> None:
        self.balancer.load.take_report(name, busy)
