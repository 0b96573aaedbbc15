"""Faults that asyncio and tornado only log: those outside tasks of ours."""

import asyncio
import contextlib
import logging
from collections.abc import Iterator

from tornado.httpclient import HTTPClientError

from nutmegshore.faults.faults import Faults

__all__ = ('report_logged_faults',)

#: Loggers through which the event loop and tornado tell of exceptions that
#: timers, callbacks and handlers of connections raise.
_LOOP_LOGGER = 'asyncio'
_LOGGERS = (_LOOP_LOGGER, 'tornado.application', 'tornado.general')
#: Failures of work that was given up: a cancelled task, and what a server did
#: to a request for which nobody waits any more.
_NO_FAULTS = (asyncio.CancelledError, HTTPClientError)


@contextlib.contextmanager
def report_logged_faults(faults: Faults) -> Iterator[None]:
    """Report the errors that asyncio and tornado log, within the block.

    They concern exceptions that nothing else can catch. The part is the name
    of the logger.

        with report_logged_faults(daemon.faults):
            await daemon.start()
    """
    handler = _FaultHandler(faults)
    with contextlib.ExitStack() as stack:
        for name in _LOGGERS:
            logger = logging.getLogger(name)
            logger.addHandler(handler)
            stack.callback(logger.removeHandler, handler)
        yield


class _FaultHandler(logging.Handler):
    """Reports each record of level error."""

    def __init__(self, faults: Faults) -> None:
        super().__init__(logging.ERROR)
        self._faults = faults

    def emit(self, record: logging.LogRecord) -> None:
        failure = _failure_of(record)
        if failure is not None and not isinstance(failure, _NO_FAULTS):
            self._faults.report(record.name, failure)


def _failure_of(record: logging.LogRecord) -> BaseException | None:
    """Return the exception of a record.

    The message stands in for one that the event loop does not tell; without
    an exception, tornado tells of limits that a caller has reached.
    """
    failure = record.exc_info[1] if record.exc_info else None
    if failure is None and record.name == _LOOP_LOGGER:
        return RuntimeError(record.getMessage())
    return failure
