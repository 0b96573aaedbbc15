"""The entry daemon: its parts, their tasks, its start and stop."""

import asyncio
import random

from tornado.httpserver import HTTPServer

from nutmegshore.callers import (
    Forwarder,
    LookupAnswer,
    check_service,
    lookup_entries,
    make_caller_application,
)
from nutmegshore.clock import Clock, SystemClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError
from nutmegshore.logs import get_logger
from nutmegshore.operators.assembly import make_operator_side
from nutmegshore.platform import HttpPlatform, Platform, StoredObject
from nutmegshore.resources import InvalidObject, parse_envelope
from nutmegshore.settings import EntrySettings
from nutmegshore.steering import Steering
from nutmegshore.upstreams.curl import CurlUpstreams

__all__ = ('EntryDaemon',)

_CONFIG_PREFIX = 'config/'
_RETRY_S = 1


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
        """Build the parts; nothing runs before `start`."""
        self._settings = settings
        self._clock = clock or SystemClock()
        self._platform = platform or HttpPlatform(
            settings.get('platform', 'url'),
        )
        self._region = settings.get('instance', 'region')
        self._rng = random.Random(settings.get('instance', 'name'))
        self.counters = Counters()
        self.table = ConfigurationTable()
        self.operators = make_operator_side(
            settings,
            self._platform,
            self.table,
            self.counters,
        )
        self._log = get_logger('entry')
        self._tasks: list[asyncio.Task] = []
        self._servers: dict[str, HTTPServer] = {}

    async def start(self) -> None:
        """Read the configuration and open the listeners."""
        steering = Steering(self.table, self._region, self._rng)
        forwarder = Forwarder(
            steering,
            CurlUpstreams(self._clock),
            self._clock,
            self.counters,
        )
        callers = make_caller_application(
            forwarder,
            self._lookup,
            self.counters,
        )
        follow = asyncio.create_task(self._follow_platform())
        self._tasks.append(follow)
        self._servers['callers'] = callers.listen(
            self._settings.get('callers', 'port'),
            self._settings.get('callers', 'address'),
        )
        self._servers['operators'] = self.operators.listen()
        self._log.info('started', name=self._settings.get('instance', 'name'))

    def reload(self, settings: EntrySettings) -> None:
        """Take tokens, client certificates and TLS files from settings.

        Everything else needs a restart. Raises `SettingsError` for TLS files
        that cannot be read; what was in use stays.
        """
        self.operators.reload(settings)
        self._log.info('reloaded')

    async def stop(self) -> None:
        """Close the listeners and end all tasks."""
        closing = [_close(server) for server in self._servers.values()]
        await asyncio.gather(*closing)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._log.info('stopped')

    def _lookup(self, service: str) -> LookupAnswer:
        check_service(self.table, service)
        return lookup_entries(
            self.table,
            self._region,
            self._settings.get('lookup', 'lifetime_seconds'),
            (),
            self._rng,
        )

    async def _follow_platform(self) -> None:
        """Merge the platform's listing, then what its watch delivers."""
        while True:
            try:
                await self._watch_platform()
            except PlatformError as failure:
                reason = failure.kind.value
                self.counters.add('platform_failures', reason=reason)
                await self._clock.sleep(_RETRY_S)

    async def _watch_platform(self) -> None:
        # The position is read before the listing, so that no change falls
        # between the two.
        position = await self._platform.read_position()
        self._merge(await self._platform.iter_objects(_CONFIG_PREFIX))
        while True:
            changes = await self._platform.watch(_CONFIG_PREFIX, position)
            position = changes.position
            self._merge(
                [change.stored for change in changes.changes if change.stored],
            )

    def _merge(self, stored: list[StoredObject]) -> None:
        envelopes = []
        for found in stored:
            try:
                envelopes.append(parse_envelope(found.body))
            except InvalidObject:
                self.counters.add('configuration_rejected', key=found.key)
        self.table.merge(envelopes)


async def _close(server: HTTPServer) -> None:
    server.stop()
    await server.close_all_connections()
