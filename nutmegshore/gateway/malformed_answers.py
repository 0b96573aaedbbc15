"""Log lines and counters for malformed answers."""

from nutmegshore.counters import Counters
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.store_events import StoreAnswerMalformed
from nutmegshore.gateway.upstream_events import UpstreamAnswerMalformed
from nutmegshore.upstreams import MalformedAnswer, UpstreamRequest

__all__ = ('MalformedAnswers',)

#: Name of this part in reports of faults.
_PART = 'malformed_answers'


class MalformedAnswers:
    """Tells of each answer that was refused because of its form.

    upstreams.on_malformed = MalformedAnswers(log, counters).record
    """

    def __init__(self, log: EventLog, counters: Counters) -> None:
        """Write to a log and to counters."""
        self._log = log
        self._counters = counters

    def record(
        self, name: str, request: UpstreamRequest, malformed: MalformedAnswer
    ) -> None:
        """Record the answer of the named upstream to a request."""
        with self._log.faults.contain(_PART):
            fault = malformed.fault.value
            self._counters.add(
                'malformed_answers', service=request.service, fault=fault
            )
            self._log.write(
                UpstreamAnswerMalformed(
                    request.request_id,
                    name,
                    request.service,
                    fault,
                    malformed.text,
                )
            )

    def record_store(self, target: str, malformed: MalformedAnswer) -> None:
        """Record the store's answer to a call of a target."""
        with self._log.faults.contain(_PART):
            fault = malformed.fault.value
            self._counters.add('malformed_store_answers', fault=fault)
            self._log.write(StoreAnswerMalformed(target, fault, malformed.text))
