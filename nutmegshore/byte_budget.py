"""The bytes that a process holds of what callers send and receive."""

import contextlib
from collections.abc import Callable
from types import TracebackType
from typing import Self

from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RefusedError

__all__ = ('SMALL_BYTES', 'ByteBudget', 'HeldBytes')

#: Bodies up to this size are small; the last part of a budget is theirs. A
#: buffer holds no more while the budget is short.
SMALL_BYTES = 16_384

_UNLIMITED = float('inf')
#: Parts of the limit from which buffers hold little, and below which they may
#: hold much again. The distance keeps the state from changing with each piece.
_SHORT_PART = 0.5
_WELL_PART = 0.375
#: Part of the limit that larger bodies may use; the rest is for small ones.
_LARGE_PART = 0.875
#: Retry-After in seconds: a stalled body is given up within a few seconds.
_RETRY_S = 1


class ByteBudget:
    """A limit on the bytes that all callers of a process hold together.

    From half of the limit on, each buffer holds `SMALL_BYTES` and less of a
    body is kept for retries. Beyond seven eighths, requests with larger bodies
    are refused, and beyond the limit all requests with a body. `make_room` is
    called at each refusal, and while a body waits, to close a stalled
    connection; `on_change` is called as the budget gets short and as it is well
    again.

        budget = ByteBudget(44_000_000, counters)
        budget.check_room(body.length)
        with budget.hold() as held:
            held.add(len(piece))
    """

    def __init__(
        self,
        limit: float = _UNLIMITED,
        counters: Counters | None = None,
    ) -> None:
        """Hold nothing; without a limit the budget never gets short."""
        self.limit = limit
        self.used = 0
        self.is_short = False
        self.make_room: Callable[[], None] = _do_nothing
        self.on_change: Callable[[], None] = _do_nothing
        self._counters = counters or Counters()

    @property
    def is_full(self) -> bool:
        """Whether only small bodies may be held."""
        return self.used > self.limit * _LARGE_PART

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more may be held."""
        return self.used > self.limit

    def hold(self) -> 'HeldBytes':
        """Return the bytes of one request or transfer, none at first."""
        return HeldBytes(self)

    def buffer_bytes(self, most: int) -> int:
        """Return how many of at most `most` bytes a buffer may hold now."""
        return min(most, SMALL_BYTES) if self.is_short else most

    def check_room(self, length: int | None) -> None:
        """Raise `RefusedError` if a body may not be held now.

        The length is None if it is not known, and 0 without a body.
        """
        is_large = length is None or length > SMALL_BYTES
        if self.is_exhausted or (is_large and self.is_full):
            self.make_room()
            raise self._refusal('memory')

    def check_wait(self) -> None:
        """Raise `RefusedError` if a body may not be held while it waits.

        `make_room` is called in any case.
        """
        self.make_room()
        if self.is_short:
            raise self._refusal('upload')

    def add(self, count: int) -> None:
        """Count bytes as held; a negative count gives bytes back."""
        self.used += count
        part = _WELL_PART if self.is_short else _SHORT_PART
        is_short = self.used > self.limit * part
        if is_short != self.is_short:
            self.is_short = is_short
            self._counters.set_gauge('caller_memory_short', int(is_short))
            self.on_change()

    def _refusal(self, reason: str) -> RefusedError:
        self._counters.add('caller_limit_refusals', reason=reason)
        return RefusedError(ErrorKind.CALLER_LIMIT, reason, _RETRY_S)


class HeldBytes(contextlib.AbstractContextManager):
    """Bytes of a budget that one request or transfer holds.

    Leaving the context, or `close`, gives all of them back.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Hold nothing yet."""
        self.budget = budget
        self._count = 0
        self._is_closed = False

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give all bytes back."""
        self.close()

    def add(self, count: int) -> None:
        """Hold more bytes, or fewer if the count is negative.

        A cancelled attempt may run on for a moment after the end of its
        request; what it adds then is not counted, as nothing would end it.
        """
        if not self._is_closed:
            self._count += count
            self.budget.add(count)

    def close(self) -> None:
        """Give all bytes back."""
        self.add(-self._count)
        self._is_closed = True


def _do_nothing() -> None:
    """Stand in for a handler that is not set."""
