"""What upstreams report in their answers, and the log of their limits."""

from nutmegshore.balancing import Balancer
from nutmegshore.balancing.limit_table import LimitChange
from nutmegshore.counters import Counters
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.pause_reports import PauseReports
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream_events import (
    UpstreamLimitChanged,
    UpstreamLimitRejected,
)
from nutmegshore.upstreams import UpstreamReport

__all__ = ('UpstreamReports',)

#: Logged as the limit of an upstream that names none.
_NO_LIMIT = -1
#: Characters of a malformed limit that are logged.
_MAX_LOGGED_TEXT = 60
#: Name of this part in reports of faults.
_PART = 'upstream_reports'


class UpstreamReports:
    """Gives the reports of upstreams to the balancer, and logs their limits.

    `PauseReports` does so with the pauses that they ask for.

    upstreams.on_report = UpstreamReports(balancer, state, log, counters).record
    """

    def __init__(
        self,
        balancer: Balancer,
        state: FleetState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Log each change of a limit once."""
        self._load = balancer.candidate_builder.load
        self._delays = balancer.candidate_builder.delays
        self._limits = balancer.candidate_builder.limits
        self._limits.on_change = self._log_change
        self._state = state
        self._log = log
        self._counters = counters
        self._rejected: dict[str, str] = {}
        self._pauses = PauseReports(balancer, state, log, counters)
        self.leaving = LeavingUpstreams(state, log, counters)

    def record(self, instance: str, report: UpstreamReport) -> None:
        """Record the load and the limit that an answer reports."""
        with self._log.faults.contain(_PART):
            self._record(instance, report)

    def record_destination(
        self, upstream: RegisteredUpstream, report: UpstreamReport
    ) -> None:
        """Record what an answer says of the incarnation it was asked of."""
        with self._log.faults.contain(_PART):
            self._pauses.record(upstream, report)
        with self._log.faults.contain(_PART):
            self.leaving.record(upstream, report)

    def record_connection(
        self, upstream: RegisteredUpstream, seconds: float
    ) -> None:
        """Record the time in which a connection to an upstream opened."""
        with self._log.faults.contain(_PART):
            self._delays.record_connection(upstream.region, seconds)

    def _record(self, instance: str, report: UpstreamReport) -> None:
        if report.busy is not None:
            self._load.handle_report(instance, report.busy)
        if report.malformed_limit is None:
            self._rejected.pop(instance, None)
        else:
            self._reject(instance, report.malformed_limit)
        self._limits.handle_report(instance, report)

    def _reject(self, instance: str, text: str) -> None:
        """Count a malformed limit, and log it once while it stays the same."""
        service = self._service(instance)
        self._counters.add('upstream_limits_rejected', service=service)
        if self._rejected.get(instance) == text:
            return
        self._rejected[instance] = text
        logged = text[:_MAX_LOGGED_TEXT]
        self._log.write(UpstreamLimitRejected(instance, service, logged))

    def _log_change(self, change: LimitChange) -> None:
        event = UpstreamLimitChanged(
            change.instance,
            self._service(change.instance),
            _NO_LIMIT if change.after is None else change.after,
            _NO_LIMIT if change.before is None else change.before,
            'answer' if change.is_own else 'peer',
        )
        self._log.write(event)

    def _service(self, instance: str) -> str:
        upstream = self._state.by_id.get(instance)
        return '' if upstream is None else upstream.service
