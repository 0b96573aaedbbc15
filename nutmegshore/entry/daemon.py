"""The entry daemon: its listeners, start, reload and stop."""

import functools
import random
import time

from nutmegshore.byte_budget import ByteBudget
from nutmegshore.callers import ListenerStop, make_caller_application
from nutmegshore.clock import Clock, SystemClock
from nutmegshore.counters import Counters
from nutmegshore.entry.components import EntryComponents
from nutmegshore.entry.dependencies import EntryDependencies, EntryOptions
from nutmegshore.entry.overview import (
    is_region_reporter,
    make_providers,
    make_status_board,
)
from nutmegshore.entry.seeds import read_seeds
from nutmegshore.faults import Faults
from nutmegshore.listener import CallerServer, InstanceLimits, ListenerLimits
from nutmegshore.logs import get_logger
from nutmegshore.operators import StatusWriter
from nutmegshore.operators.assembly import make_operator_side
from nutmegshore.peers import (
    Member,
    MeshOptions,
    MeshPeers,
    TcpTransport,
    first_incarnation,
)
from nutmegshore.settings import (
    EntrySettings,
    make_peer_contexts,
    make_tls_context,
)
from nutmegshore.store import HttpPlatform, Platform
from nutmegshore.upstreams.curl import CurlUpstreams

__all__ = ('EntryDaemon',)

_SEED_BITS = 64
_PEERS = 'peers'
_CALLERS = 'callers'


class EntryDaemon:
    """One entry instance.

    daemon = EntryDaemon(settings)
    await daemon.start()
    ...
    await daemon.stop()
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Build the components; nothing runs before `start`."""
        self._settings = settings
        self._clock = clock or SystemClock()
        self.counters = Counters()
        # Identities of processes and operations must never repeat, so the
        # seed comes from the operating system.
        self._rng = random.Random(random.SystemRandom().getrandbits(_SEED_BITS))
        self._platform = platform or HttpPlatform(
            settings.get('platform', 'url'),
            counters=self.counters,
        )
        self.faults = Faults(self.counters)
        self._limits = InstanceLimits.of_instance(
            settings.get('instance', 'memory_mb'),
            settings.get('instance', 'max_fds'),
        )
        self._budget = ByteBudget(self._limits.buffer_bytes, self.counters)
        self._budget.on_change = self._report_budget
        self._upstreams = CurlUpstreams(
            self._clock,
            faults=self.faults,
            budget=self._budget,
            idle_connections=self._limits.idle_upstreams,
            counters=self.counters,
        )
        self._transport = TcpTransport(
            settings.get(_PEERS, 'address'),
            settings.get(_PEERS, 'port'),
            *make_peer_contexts(settings),
        )
        self.peers = self._make_peers()
        self.components = self._make_components()
        self.operators = self._make_operators()
        self._log = get_logger('entry')
        self._server: CallerServer | None = None

    async def start(self) -> None:
        """Join the peers and open the listeners.

        Raises OSError if an address is in use; the caller must call `stop`
        in that case too.
        """
        self.peers.start()
        await self.components.start()
        self._status_writer.start()
        application = make_caller_application(
            self.components.forwarder,
            self.components.lookup,
            self.counters,
            self._clock,
            ListenerLimits(
                body_bytes=self._settings.get('limits', 'caller_body_bytes')
            ),
        )
        application.listener.budget = self._budget
        application.listener.max_connections = self._limits.connections
        self._server = application.listen(
            self._settings.get(_CALLERS, 'port'),
            self._settings.get(_CALLERS, 'address'),
            make_tls_context(self._settings, _CALLERS),
        )
        self.operators.listen()
        self._log.info('started', name=self.components.local_name)

    def reload(self, settings: EntrySettings) -> None:
        """Reload tokens, client certificates and TLS files from settings.

        Everything else needs a restart. Raises `SettingsError` for TLS files
        that cannot be read; everything in use then stays.
        """
        contexts = make_peer_contexts(settings)
        caller_tls = make_tls_context(settings, _CALLERS)
        self.operators.reload(settings)
        if self._server is not None and self._server.ssl_options is not None:
            self._server.ssl_options = caller_tls
        self._transport.reload_tls(*contexts)
        self._log.info('reloaded')

    async def stop(self) -> None:
        """Stop without aborting a request or failing a caller.

        The entry withdraws from look-up answers, keeps serving until the
        answers that name it have expired, finishes its requests, and closes.
        """
        self._log.info('stopping')
        if self._server is None:
            await self.abort()
            return
        self.components.leave()
        lifetime_s = self._settings.get('lookup', 'lifetime_seconds')
        await ListenerStop(
            self.components.local_name,
            self._server,
            self.components.forwarder,
            self.components.ledger,
            self._clock,
            lifetime_s,
        ).run()
        await self.abort()

    async def abort(self) -> None:
        """Close everything at once and abort requests in flight."""
        if self._server is not None:
            await self._server.close_all_connections()
            self._server.stop()
        await self._status_writer.stop()
        await self.components.stop()
        await self.peers.stop()
        await self._transport.stop()
        await self._close_operators()
        self._upstreams.close()
        self._log.info('stopped')

    def _report_budget(self) -> None:
        budget = self._budget
        self._log.info(
            'caller_memory',
            is_short=budget.is_short,
            held=budget.used,
            limit=budget.limit,
        )

    async def _close_operators(self) -> None:
        server = self.operators.server
        if server is not None:
            server.stop()
            await server.close_all_connections()

    def _make_peers(self) -> MeshPeers:
        get = functools.partial(self._settings.get, 'instance')
        local = Member(
            get('name'),
            get('region'),
            get('availability_zone'),
            first_incarnation(self._rng),
        )
        options = MeshOptions(
            cluster=self._settings.get(_PEERS, 'cluster'),
            key=self._settings.get(_PEERS, 'key').encode(),
        )
        return MeshPeers(
            local,
            self._transport,
            options,
            functools.partial(read_seeds, self._platform, local.name),
            (self._clock, self._rng, self.counters),
        )

    def _make_components(self) -> EntryComponents:
        dependencies = EntryDependencies(
            platform=self._platform,
            peers=self.peers,
            upstreams=self._upstreams,
            clock=self._clock,
            rng=self._rng,
            counters=self.counters,
        )
        options = EntryOptions(
            self._settings.get('lookup', 'lifetime_seconds'),
        )
        components = EntryComponents(dependencies, options)
        self._upstreams.on_report = components.record_report
        return components

    def _make_operators(self):
        board = make_status_board(self.components, time.time)
        self._status_writer = StatusWriter(
            self._platform,
            board,
            self._clock,
            functools.partial(is_region_reporter, self.components),
            self.counters,
            self._rng,
        )
        return make_operator_side(
            self._settings,
            self._platform,
            self.components.table,
            self.counters,
            make_providers(self.components, board, self._platform),
            self.components.check_ready,
        )
