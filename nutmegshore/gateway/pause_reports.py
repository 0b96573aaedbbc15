"""The pauses that upstreams ask for in their answers, and their log."""

from nutmegshore.balancing import Balancer
from nutmegshore.balancing.pause_table import PauseChange
from nutmegshore.counters import Counters
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream_events import (
    UpstreamPauseChanged,
    UpstreamPauseRejected,
)
from nutmegshore.upstreams import UpstreamReport

__all__ = ('PauseReports',)

#: Characters of a malformed time that are logged.
_MAX_LOGGED_TEXT = 60
#: Decimal places of seconds in logs.
_DIGITS = 3


class PauseReports:
    """Gives the pauses that upstreams ask for to the balancer, and logs them.

    pauses = PauseReports(balancer, state, log, counters)
    pauses.record(upstream, UpstreamReport(pause_s=2.5))
    """

    def __init__(
        self,
        balancer: Balancer,
        state: FleetState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Log the changes of each pause."""
        self._pauses = balancer.candidate_builder.pauses
        self._pauses.on_change = self._log_change
        self._state = state
        self._log = log
        self._counters = counters
        self._rejected: dict[str, str] = {}

    def record(
        self, upstream: RegisteredUpstream, report: UpstreamReport
    ) -> None:
        """Begin the pause that an answer asks for, unless its time is odd.

        An incarnation that is not registered any more gets no requests anyway.
        """
        instance = upstream.instance
        registered = self._state.by_id.get(instance)
        if registered is None or registered.identity != upstream.identity:
            return
        if report.malformed_pause is not None:
            self._reject(instance, upstream.service, report.malformed_pause)
        if report.pause_s is not None:
            self._rejected.pop(instance, None)
        if report.pause_s:
            self._counters.add('upstream_pauses', service=upstream.service)
            self._pauses.begin(upstream, report.pause_s)

    def _reject(self, instance: str, service: str, text: str) -> None:
        """Count a malformed time, and log it once while it stays the same."""
        self._counters.add('upstream_pauses_rejected', service=service)
        if self._rejected.get(instance) == text:
            return
        self._forget_gone()
        self._rejected[instance] = text
        logged = text[:_MAX_LOGGED_TEXT]
        self._log.write(UpstreamPauseRejected(instance, service, logged))

    def _forget_gone(self) -> None:
        for instance in set(self._rejected) - set(self._state.by_id):
            self._rejected.pop(instance)

    def _log_change(self, change: PauseChange) -> None:
        event = UpstreamPauseChanged(
            change.instance,
            change.service,
            change.step.value,
            round(change.left_s, _DIGITS),
        )
        self._log.write(event)
