"""Status pages of a gateway: readiness, look-ups and metrics."""

from collections.abc import Iterator

from nutmegshore.exposition import CONTENT_TYPE, write_exposition
from nutmegshore.gateway.assembly import Assembly
from nutmegshore.gateway.gauges import Gauges
from nutmegshore.gateway.lookup import LIFETIME_S, Directory, Gateway
from nutmegshore.gateway.pages import PageResponse, open_pages
from nutmegshore.gateway.peering import Peering
from nutmegshore.listener import CallerServer
from nutmegshore.platform.lookup import (
    LOOKUP_PATH,
    READY_PATH,
    parse_lookup,
    write_lookup,
)

__all__ = ('StatusPages',)

_OK = 200
_UNAVAILABLE = 503
_METRICS_PATH = '/metrics'


class StatusPages:
    """Serves the readiness, look-up and metrics pages.

    pages = StatusPages(assembly, peering, gauges)
    servers = pages.open()
    """

    def __init__(
        self,
        assembly: Assembly,
        peering: Peering,
        gauges: Gauges,
    ) -> None:
        """Serve pages on the state of these components."""
        self._gauges = gauges
        self._assembly = assembly
        self._peering = peering
        self._counters = assembly.dependencies.counters
        self._directory = Directory(
            self._discoverable_gateways,
            assembly.dependencies.rng,
            assembly.settings.regions_by_zone,
        )

    def open(self) -> list[CallerServer]:
        """Listen on the addresses in the settings."""
        settings = self._assembly.settings
        metrics = f'{settings.ip}:{settings.metrics_port}'
        pages_by_address = (
            (settings.ready, {READY_PATH: self._show_ready}),
            (settings.lookup, {LOOKUP_PATH: self._look_up}),
            (metrics, {_METRICS_PATH: self._show_metrics}),
        )
        faults = self._assembly.dependencies.log.faults
        return [
            open_pages(address, pages, self._counters, faults)
            for address, pages in pages_by_address
        ]

    def _show_ready(self, target: str) -> PageResponse:
        if self._peering.is_ready:
            return PageResponse(_OK, b'ready\n')
        return PageResponse(_UNAVAILABLE, b'not ready\n')

    def _look_up(self, target: str) -> PageResponse:
        addresses = self._directory.find(
            parse_lookup(target),
            self._assembly.state.configuration,
        )
        if not addresses:
            self._counters.add('lookups_empty')
            return PageResponse(_UNAVAILABLE, b'no gateway is ready\n')
        self._counters.add('lookups')
        max_lifetime_s = self._assembly.settings.bounds.max_lookup_s
        body = write_lookup(addresses, min(LIFETIME_S, max_lifetime_s))
        return PageResponse(_OK, body, 'application/json')

    def _show_metrics(self, target: str) -> PageResponse:
        self._gauges.refresh()
        text = write_exposition(self._counters)
        return PageResponse(_OK, text.encode(), CONTENT_TYPE)

    def _discoverable_gateways(self) -> Iterator[Gateway]:
        peers = self._assembly.peers
        port = self._assembly.settings.callers.rpartition(':')[2]
        for name, member in peers.serving().items():
            if self._peering.is_named(name):
                record = peers.membership.by_name[name]
                host = record.address.rpartition(':')[0]
                yield Gateway(
                    member, f'{host}:{port}', self._accepts_keys(name)
                )

    def _accepts_keys(self, name: str) -> bool:
        if name == self._assembly.settings.name:
            return not self._assembly.context.key_age.is_outdated
        return not self._peering.key_reports.is_outdated(name)
