"""Faults of the program's own code: unexpected exceptions, made visible."""

import contextlib
import contextvars
import traceback
from collections.abc import Callable, Iterator

import attrs

from nutmegshore.counters import Counters
from nutmegshore.logs import get_logger

__all__ = (
    'CURRENT_REQUEST',
    'Fault',
    'Faults',
    'describe_failure',
    'log_fault',
)

#: Id of the request that the current task works on, '' for none.
CURRENT_REQUEST: contextvars.ContextVar[str] = contextvars.ContextVar(
    'CURRENT_REQUEST', default=''
)

#: Characters of the error and of the end of its stack that are kept.
_MAX_ERROR_CHARS = 200
_MAX_STACK_CHARS = 3000


@attrs.frozen
class Fault:
    """An unexpected exception in a part of the program.

    `request` is the id of the request that was worked on, or empty. `error` is
    the exception, `stack` the end of its traceback.
    """

    part: str
    request: str
    error: str
    stack: str


#: Writes a fault to a log.
FaultWriter = Callable[[Fault], None]


def log_fault(fault: Fault) -> None:
    """Write a fault to the log of its part."""
    get_logger(fault.part).error(
        'internal_fault',
        request=fault.request,
        error=fault.error,
        stack=fault.stack,
    )


class Faults:
    """Counts faults as `internal_faults` and logs each with its stack.

    Work whose result a request does not depend on is contained, so that a
    fault in it costs no caller its answer:

        with faults.contain('statistics'):
            statistics.record(took_s)
    """

    def __init__(
        self, counters: Counters, write: FaultWriter = log_fault
    ) -> None:
        """Log through `write`, or through `log_fault` if that fails too."""
        self._counters = counters
        self._write = write

    def report(
        self, part: str, failure: BaseException, request: str = ''
    ) -> None:
        """Count and log a fault.

        Without a request, it concerns the current task's one.
        """
        fault = Fault(
            part,
            request or CURRENT_REQUEST.get(),
            **describe_failure(failure),
        )
        try:
            self._record(fault)
        except Exception:
            # Where even this fails, the log cannot be written at all.
            with contextlib.suppress(Exception):
                log_fault(fault)

    @contextlib.contextmanager
    def contain(self, part: str) -> Iterator[None]:
        """Report an exception in a block in place of raising it."""
        try:
            yield
        except Exception as failure:
            self.report(part, failure)

    def _record(self, fault: Fault) -> None:
        self._counters.add('internal_faults', part=fault.part)
        self._write(fault)


def describe_failure(failure: BaseException) -> dict[str, str]:
    """Fields of a log line: `error`, and the end of its `stack`."""
    stack = ''.join(traceback.format_exception(failure))
    return {
        'error': repr(failure)[:_MAX_ERROR_CHARS],
        'stack': stack[-_MAX_STACK_CHARS:],
    }
