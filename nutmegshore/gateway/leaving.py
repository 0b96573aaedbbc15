"""Upstreams that say in their answers that they are leaving."""

from nutmegshore.counters import Counters
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream_events import (
    UpstreamLeaving,
    UpstreamLeavingRejected,
)
from nutmegshore.upstreams import UpstreamReport

__all__ = ('LeavingUpstreams',)

#: Characters of a malformed flag that are logged.
_MAX_LOGGED_TEXT = 60


class LeavingUpstreams:
    """Excludes and logs the upstreams whose answers say that they leave.

    leaving = LeavingUpstreams(state, log, counters)
    upstreams.on_destination_report = leaving.record
    """

    def __init__(
        self, state: FleetState, log: EventLog, counters: Counters
    ) -> None:
        """Exclude leaving upstreams of `state`."""
        self.departures = state.departures
        self._state = state
        self._log = log
        self._counters = counters
        self._rejected: dict[str, str] = {}

    def record(
        self, upstream: RegisteredUpstream, report: UpstreamReport
    ) -> None:
        """Apply what an answer says to the incarnation it was asked of.

        An answer may arrive when the next incarnation is registered already.
        """
        if report.malformed_leaving is None:
            self._rejected.pop(upstream.instance, None)
        else:
            self._reject(upstream, report.malformed_leaving)
        if report.is_leaving:
            self._mark(upstream, 'answer')

    def handle_peer(self, instance: str, born_ms: int) -> None:
        """Apply what an answer to another gateway said of an incarnation."""
        upstream = self._state.by_id.get(instance)
        if upstream is None or not born_ms:
            return
        if upstream.born_ms == born_ms:
            self._mark(upstream, 'peer')

    def _mark(self, upstream: RegisteredUpstream, source: str) -> None:
        if not self.departures.add(upstream):
            return
        event = UpstreamLeaving(
            upstream.instance, upstream.service, upstream.born_ms, source
        )
        self._log.write(event)

    def _reject(self, upstream: RegisteredUpstream, text: str) -> None:
        """Count a malformed flag, and log it once while it stays the same."""
        service = upstream.service
        self._counters.add('upstream_leaving_rejected', service=service)
        if self._rejected.get(upstream.instance) == text:
            return
        self._drop_unregistered()
        self._rejected[upstream.instance] = text
        logged = text[:_MAX_LOGGED_TEXT]
        self._log.write(
            UpstreamLeavingRejected(upstream.instance, service, logged)
        )

    def _drop_unregistered(self) -> None:
        for gone in self._rejected.keys() - self._state.by_id.keys():
            self._rejected.pop(gone)
