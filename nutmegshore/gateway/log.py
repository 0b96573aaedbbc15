"""Event log on standard output, non-blocking and rate-limited."""

import asyncio
import collections
import contextlib
import json
import logging
import os
from collections.abc import Callable
from typing import Any

import structlog

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.faults import Fault, Faults
from nutmegshore.gateway.events import (
    EVENT_NAMES,
    InternalFault,
    LinesDropped,
    fields_of,
)
from nutmegshore.gateway.severity import Severity

__all__ = ('EventLog', 'LineWriter')

#: Bytes that may be queued while standard output is not read.
_MAX_QUEUED_BYTES = 1_048_576
#: Share of the budget that lines of each severity may use; the rest is
#: reserved for higher severities.
_SHARE_BY_SEVERITY = (0.5, 0.7, 0.95, 1)
_RETRY_S = 0.05
#: `json.dumps` builds an encoder for each call with options.
_ENCODER = json.JSONEncoder(separators=(',', ':'), default=str)


class LineWriter:
    """Writes lines to a file descriptor and queues what would block.

    Queued lines are retried later. `queued_bytes` is the size of the queue,
    which `EventLog` bounds.
    """

    def __init__(self, fd: int) -> None:
        """Write to a descriptor, which is set to non-blocking mode."""
        self.queued_bytes = 0
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._is_retrying = False
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    def info(self, line: str) -> None:
        """Queue a line and write as much as possible."""
        encoded = f'{line}\n'.encode()
        self._lines.append(encoded)
        self.queued_bytes += len(encoded)
        if not self._is_retrying:
            self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        self._is_retrying = False
        while self._lines:
            written = self._write(self._lines[0])
            self.queued_bytes -= written
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
                self._retry()
                return
            self._lines.popleft()

    def _write(self, line: bytes) -> int:
        try:
            return os.write(self._fd, line)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed its end: drop the line.
            return len(line)

    def _retry(self) -> None:
        with contextlib.suppress(RuntimeError):
            loop = asyncio.get_running_loop()
            self._is_retrying = True
            loop.call_later(_RETRY_S, self.flush)


class EventLog:
    """Writes typed events as JSON lines, up to some bytes per second.

    Routine lines may use half of the byte budget, retries a little more, and
    refusals and failures almost all of it, so that failed requests are still
    logged under overload. Dropped lines are counted and reported by a
    `LinesDropped` event. `faults` reports faults of the gateway's own code.

        log = EventLog(LineWriter(1), 'entry-3', clock, counters, 200_000)
        log.write(Stopped(cut=0))
    """

    def __init__(
        self,
        writer: LineWriter,
        instance: str,
        clock: Clock,
        counters: Counters,
        bytes_per_s: float,
    ) -> None:
        """Log for one instance; 0 bytes per second disable the log."""
        self._writer = writer
        self._clock = clock
        self._counters = counters
        self._budget = _ByteBudget(bytes_per_s, clock.now)
        self._dropped: collections.Counter[Severity] = collections.Counter()
        self._is_on = bytes_per_s > 0
        self.faults = Faults(counters, self._write_fault)
        wrapped = structlog.wrap_logger(
            writer,
            processors=[_render],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        )
        # Binding once avoids setting up the logger for each line.
        self._log = wrapped.bind(instance=instance)

    def write(self, event: Any) -> None:
        """Write an event, or count it as dropped.

        A fault on the way costs the line only; it is reported.
        """
        with self.faults.contain('log'):
            self._write_or_drop(event)

    def _write_or_drop(self, event: Any) -> None:
        if not self._is_on:
            return
        severity = event.severity
        if self._is_over_limit(severity):
            self._drop(severity)
            return
        if self._dropped and severity >= Severity.FAILURE:
            self._report_dropped()
        self._write(event)

    def _write_fault(self, fault: Fault) -> None:
        event = InternalFault(
            fault.request, fault.part, fault.error, fault.stack
        )
        self._write_or_drop(event)

    def _is_over_limit(self, severity: Severity) -> bool:
        share = _SHARE_BY_SEVERITY[severity]
        if self._writer.queued_bytes > _MAX_QUEUED_BYTES * share:
            return True
        return not self._budget.has_capacity(share)

    def _write(self, event: Any) -> None:
        queued_before = self._writer.queued_bytes
        name = EVENT_NAMES[type(event)]
        time_s = round(self._clock.wall(), 3)
        self._log.info(name, time=time_s, **fields_of(event))
        self._budget.consume(
            max(self._writer.queued_bytes - queued_before, _MIN_LINE_BYTES)
        )

    def _drop(self, severity: Severity) -> None:
        self._dropped[severity] += 1
        self._counters.add('log_lines_dropped', severity=severity.name.lower())

    def _report_dropped(self) -> None:
        counts = self._dropped
        event = LinesDropped(
            counts[Severity.ROUTINE],
            counts[Severity.NOTICE],
            counts[Severity.FAILURE],
        )
        counts.clear()
        self._write(event)


#: Least bytes charged per line, since a line that is written immediately does
#: not show in the size of the queue.
_MIN_LINE_BYTES = 400


class _ByteBudget:
    """Token bucket of bytes that holds at most one second's worth."""

    def __init__(self, bytes_per_s: float, now: Callable[[], float]) -> None:
        self._bytes_per_s = bytes_per_s
        self._now = now
        self._available = bytes_per_s
        self._refilled_at = now()

    def has_capacity(self, share: float) -> bool:
        """Whether this share of the budget is not yet used up."""
        now = self._now()
        refill = (now - self._refilled_at) * self._bytes_per_s
        self._available = min(self._available + refill, self._bytes_per_s)
        self._refilled_at = now
        return self._available > self._bytes_per_s * (1 - share)

    def consume(self, count: int) -> None:
        self._available -= count


def _render(logger: object, name: str, fields: dict[str, Any]) -> str:
    return _ENCODER.encode(fields)
