"""Admission queue of requests that wait for a free slot at this entry."""

import asyncio
import bisect
import contextlib
import itertools
import math
from collections.abc import Callable
from typing import Any

import attrs

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.steering.rate import DepartureRate

__all__ = ('AdmissionQueue', 'Waiter')

_MS_PER_S = 1000
#: Maximum number of waiting requests; bounds memory if nothing is served.
_MAX_WAITING = 1000
#: Factor by which the wait may exceed the target during a burst, until the
#: queue has been above the target for a whole interval.
_BURST_FACTOR = 4
#: Interval, in multiples of the target, after which a queue above the target
#: counts as a standing queue.
_INTERVAL_TARGETS = 10
#: Requests queued while the departure rate is unknown, before the first one
#: is served.
_INITIAL_WAITING = 32


@attrs.define(eq=False)
class Waiter:
    """A waiting request; `result` resolves to its permit or its refusal.

    The requests behind a restricted waiter may overtake it, because they may
    use upstreams that it cannot.
    """

    request: Any
    deadline: float
    order: tuple[int, float, int]
    is_restricted: bool
    result: asyncio.Future


class _DelayBound:
    """Longest queue delay: four targets, or one if the queue is standing."""

    def __init__(self, clock: Clock) -> None:
        self.target_s = math.inf
        self._clock = clock
        self._above_since: float | None = None

    def record(self, wait_s: float) -> None:
        """Record since when the wait has been above the target."""
        if wait_s < self.target_s:
            self._above_since = None
        elif self._above_since is None:
            self._above_since = self._clock.now()

    def seconds(self) -> float:
        now = self._clock.now()
        since = now if self._above_since is None else self._above_since
        if now - since > self.target_s * _INTERVAL_TARGETS:
            return self.target_s
        return self.target_s * _BURST_FACTOR


class AdmissionQueue:
    """Bounded queue of one service, ordered by priority, then deadline.

    `place(request)` returns a permit, or None while there is no slot. A
    request is refused with `OVERLOADED` when its expected wait, by the rate of
    departures, exceeds the target and the queue has been above the target for
    ten targets; until then the bound is four targets, which admits bursts. It
    is refused with `DEADLINE_BEFORE_SEND` when its deadline cannot be met. A
    request of higher priority or earlier deadline displaces the last one.
    """

    def __init__(
        self,
        clock: Clock,
        place: Callable[[Any], Any],
        rate: DepartureRate,
    ) -> None:
        """Start empty, without a bound until `set_target_ms` is called."""
        self._clock = clock
        self._place = place
        self._rate = rate
        self._waiting: list[Waiter] = []
        self._numbers = itertools.count()
        self._bound = _DelayBound(clock)

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def set_target_ms(self, target_ms: float) -> None:
        """Set the target of the queue delay, in milliseconds."""
        self._bound.target_s = target_ms / _MS_PER_S

    def enter(
        self,
        request: Any,
        priority: int,
        is_restricted: bool = False,
    ) -> Waiter:
        """Queue a request, then place as many waiting requests as possible."""
        waiter = Waiter(
            request=request,
            deadline=request.deadline,
            order=(priority, request.deadline, next(self._numbers)),
            is_restricted=is_restricted,
            result=asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self._waiting, waiter, key=_order)
        self.pump()
        if not waiter.result.done():
            self._trim()
        if not waiter.result.done():
            self._check_deadline(waiter)
        return waiter

    async def wait(self, waiter: Waiter) -> Any:
        """Return the permit of a waiter, or raise its refusal.

        A cancelled wait removes the waiter from the queue; a permit that it
        already got is returned unused through `abandon`.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self._abandon, waiter)
            permit = await asyncio.shield(waiter.result)
            stack.pop_all()
        return permit

    def pump(self) -> None:
        """Refuse requests past their deadline and place the rest in order."""
        now = self._clock.now()
        for expired in tuple(self._waiting):
            if expired.deadline <= now:
                self._refuse(expired, ErrorKind.DEADLINE_BEFORE_SEND)
        for waiter in tuple(self._waiting):
            if not self._place_one(waiter) and not waiter.is_restricted:
                break
        self._bound.record(self.wait_s(len(self._waiting)))

    def wait_s(self, ahead: int) -> float:
        """Expected wait behind this many requests, in seconds."""
        per_s = self._rate.per_s()
        if per_s:
            return ahead / per_s
        return 0 if ahead < _INITIAL_WAITING else math.inf

    def close(self, kind: ErrorKind) -> None:
        """Refuse all waiting requests with an error of this kind."""
        for waiter in tuple(self._waiting):
            self._refuse(waiter, kind)

    def _place_one(self, waiter: Waiter) -> bool:
        try:
            permit = self._place(waiter.request)
        except RequestError as failure:
            self._refuse(waiter, failure.kind)
            return True
        if permit is None:
            return False
        self._waiting.remove(waiter)
        waiter.result.set_result(permit)
        return True

    def _trim(self) -> None:
        """Refuse requests from the end while the last one waits too long."""
        while self._waiting:
            ahead = len(self._waiting)
            if (
                ahead <= _MAX_WAITING
                and self.wait_s(ahead) <= self._bound.seconds()
            ):
                return
            self._refuse(self._waiting[-1], ErrorKind.OVERLOADED)

    def _check_deadline(self, entered: Waiter) -> None:
        ahead = self._waiting.index(entered)
        if self._clock.now() + self.wait_s(ahead) > entered.deadline:
            self._refuse(entered, ErrorKind.DEADLINE_BEFORE_SEND)

    def _refuse(self, waiter: Waiter, kind: ErrorKind) -> None:
        self._waiting.remove(waiter)
        waiter.result.set_exception(RequestError(kind))
        # The caller may be gone: a refusal that nobody reads is no fault.
        waiter.result.exception()

    def _abandon(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.result.exception() is None:
            waiter.result.result().abandon()


def _order(waiter: Waiter) -> tuple[int, float, int]:
    return waiter.order
