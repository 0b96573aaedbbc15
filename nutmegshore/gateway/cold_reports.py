"""The log of upstreams that turn cold, or may have done so."""

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.cold_starts import ColdStatement
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream_events import UpstreamColdChanged

__all__ = ('ColdReports',)

#: Logged as the time that an upstream stays cold while it is unknown.
_UNKNOWN = -1
#: Decimal places of seconds in logs.
_DIGITS = 3


class ColdReports:
    """Logs what a state learns of cold upstreams, and counts late word.

    ColdReports(state, clock, log, counters).follow()
    """

    def __init__(
        self,
        state: FleetState,
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Log the changes of `state`; call `follow` to begin."""
        self._cold_starts = state.cold_starts
        self._clock = clock
        self._log = log
        self._counters = counters

    def follow(self) -> None:
        """Begin to log."""
        self._cold_starts.on_change = self._record

    def _record(self, statement: ColdStatement) -> None:
        upstream = statement.upstream
        left_s = self._cold_starts.left_s(upstream.instance)
        sent = self._cold_starts.sends.count(upstream.instance)
        source = statement.source.value
        self._counters.add(
            'cold_changes', service=upstream.service, source=source
        )
        self._log.write(
            UpstreamColdChanged(
                upstream.instance,
                upstream.service,
                upstream.born_ms,
                source,
                _UNKNOWN if statement.is_open else round(left_s, _DIGITS),
                round(self._clock.now() - statement.stated_at, _DIGITS),
                sent,
            )
        )
