"""Log lines and counters for malformed answers."""

from nutmegshore.counters import Counters
from nutmegshore.faults import Faults
from nutmegshore.logs import get_logger
from nutmegshore.upstreams import MalformedAnswer, UpstreamRequest

__all__ = ('MalformedAnswers',)

#: Name of this part in reports of faults.
_PART = 'malformed_answers'


class MalformedAnswers:
    """Tells of each answer that was refused because of its form.

    upstreams.on_malformed = MalformedAnswers(counters).record
    """

    def __init__(self, counters: Counters) -> None:
        """Write to the log of answers and to counters."""
        self._counters = counters
        self._faults = Faults(counters)
        self._log = get_logger('answers')

    def record(
        self, name: str, request: UpstreamRequest, malformed: MalformedAnswer
    ) -> None:
        """Record the answer of the named upstream to a request."""
        with self._faults.contain(_PART):
            fault = malformed.fault.value
            self._counters.add(
                'malformed_answers', service=request.service, fault=fault
            )
            self._log.warning(
                'upstream_answer_malformed',
                request=request.request_id,
                upstream=name,
                service=request.service,
                fault=fault,
                text=malformed.text,
            )

    def record_platform(self, target: str, malformed: MalformedAnswer) -> None:
        """Record the platform's answer to a call of a target."""
        with self._faults.contain(_PART):
            fault = malformed.fault.value
            self._counters.add('malformed_store_answers', fault=fault)
            self._log.warning(
                'store_answer_malformed',
                target=target,
                fault=fault,
                text=malformed.text,
            )
