"""In-memory upstreams with slots, cold starts and crashes."""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable, Iterator

import attrs

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Upstream
from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    Headers,
    UpstreamClient,
    UpstreamRequest,
)
from nutmegshore.upstreams.dialect import OwnDialect

__all__ = ('MemoryUpstream', 'MemoryUpstreams')

_STATUS_OK = 200
_DEFAULT_SERVICE_TIME_S = 0.02
_COLD_FACTOR = 3


@attrs.define
class MemoryUpstream:
    """A simulated upstream: slots with a queue, and counts of what ran.

    A cold upstream serves `_COLD_FACTOR` times slower and warms up over
    `warm_up_requests`. A request whose target contains `crash_mark` crashes
    it. `run_counts` holds the runs by request id, `inside` the requests that
    run or wait, `busy_peak` the highest value of `inside`, `attempts` all
    requests received, also while it was down, and `refused` those that arrived
    when the slots and the queue were full.
    """

    slots: int
    service_time_s: float = _DEFAULT_SERVICE_TIME_S
    queue_limit: int = 100
    warm_up_requests: int = 0
    crash_mark: str = ''
    is_down: bool = False
    is_leaving: bool = False
    inside: int = 0
    busy_peak: int = 0
    run_counts: collections.Counter = attrs.field(
        factory=collections.Counter,
    )
    served: int = 0
    attempts: int = 0
    refused: int = 0
    last_started_at: float = 0
    free_slots: asyncio.Semaphore | None = None
    crashed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def crash(self) -> None:
        """Lose everything in flight and refuse connections."""
        self.is_down = True
        self.crashed.set()

    def restart(self) -> None:
        """Start again, empty and cold."""
        self.is_down = False
        self.served = 0
        self.inside = 0
        self.free_slots = None
        self.crashed = asyncio.Event()

    @property
    def slowness(self) -> float:
        """Factor on the service time, from cold to warm."""
        if self.served >= self.warm_up_requests:
            return 1
        coldness = 1 - self.served / self.warm_up_requests
        return 1 + (_COLD_FACTOR - 1) * coldness

    @contextlib.contextmanager
    def occupied(self) -> Iterator[None]:
        """Count a request in `inside` until it ends or the upstream crashes."""
        crashed = self.crashed
        self.inside += 1
        self.busy_peak = max(self.busy_peak, self.inside)
        with contextlib.ExitStack() as stack:
            stack.callback(self._leave, crashed)
            yield

    def slot(self) -> asyncio.Semaphore:
        """The slots since the last start; a restart replaces them."""
        if self.free_slots is None:
            self.free_slots = asyncio.Semaphore(self.slots)
        return self.free_slots

    def _leave(self, crashed: asyncio.Event) -> None:
        if self.crashed is crashed:
            self.inside -= 1


@contextlib.contextmanager
def _cancelling(*tasks: asyncio.Future) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for task in tasks:
            stack.callback(task.cancel)
        yield


class MemoryUpstreams(UpstreamClient):
    """Client of a set of `MemoryUpstream`, with delay by region.

        upstreams = MemoryUpstreams(clock, random.Random(7), delay_s)
        upstreams.by_name['orders-1'] = MemoryUpstream(slots=3)

    `delay_s(name)` gives the one-way delay to an upstream. One set is shared
    by several clients through `client`.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        delay_s: Callable[[str], float],
    ) -> None:
        """Start without upstreams."""
        self.dialect = OwnDialect()
        self.by_name: dict[str, MemoryUpstream] = {}
        self._clock = clock
        self._rng = rng
        self._delay_s = delay_s

    def client(
        self,
        clock: Clock,
        delay_s: Callable[[str], float],
    ) -> 'MemoryUpstreams':
        """Create a client of the same upstreams for another process."""
        other = MemoryUpstreams(clock, self._rng, delay_s)
        other.by_name = self.by_name
        return other

    async def send(
        self,
        name: str,
        upstream: Upstream,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Run the request in the named upstream."""
        await self._clock.sleep(self._delay_s(name))
        target = self.by_name.get(name)
        if target is not None:
            target.attempts += 1
        if target is None or target.is_down:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, name)
        if target.inside >= target.slots + target.queue_limit:
            target.refused += 1
            raise RequestError(ErrorKind.UPSTREAM_REFUSED, name)
        await self._read_body(request)
        await self._run(name, target, request)
        await self._clock.sleep(self._delay_s(name))
        head = AnswerHead(_STATUS_OK, _answer_headers(name, target))
        self.report(name, upstream, head)
        await receiver.begin(head)
        await receiver.receive(request.request_id.encode())
        return head

    async def _read_body(self, request: UpstreamRequest) -> None:
        if request.body is not None:
            async for chunk in request.body.chunks():
                request.body.is_started = request.body.is_started or bool(chunk)

    async def _run(
        self,
        name: str,
        target: MemoryUpstream,
        request: UpstreamRequest,
    ) -> None:
        crashed = target.crashed
        with target.occupied():
            is_done = await self._completes_in_time(target, request, crashed)
        if crashed.is_set():
            raise RequestError(ErrorKind.UPSTREAM_LOST, name)
        if not is_done:
            raise RequestError(ErrorKind.DEADLINE_AFTER_SEND, name)

    async def _completes_in_time(
        self,
        target: MemoryUpstream,
        request: UpstreamRequest,
        crashed: asyncio.Event,
    ) -> bool:
        work = asyncio.ensure_future(self._work(target, request))
        crash = asyncio.ensure_future(crashed.wait())
        remaining_s = max(request.deadline - self._clock.now(), 0)
        with _cancelling(work, crash):
            done, _ = await asyncio.wait(
                (work, crash),
                timeout=remaining_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        return work in done

    async def _work(
        self,
        target: MemoryUpstream,
        request: UpstreamRequest,
    ) -> None:
        async with target.slot():
            target.run_counts[request.request_id] += 1
            target.last_started_at = self._clock.now()
            mean = target.service_time_s * target.slowness
            await asyncio.sleep(self._rng.expovariate(1 / mean))
            if target.crash_mark and target.crash_mark in request.target:
                target.crash()
                return
            target.served += 1


def _answer_headers(name: str, target: MemoryUpstream) -> Headers:
    headers = (
        ('X-Upstream', name),
        ('Nutmegshore-Load', str(min(target.inside, target.slots))),
    )
    if target.is_leaving:
        return (*headers, ('Nutmegshore-Leaving', '1'))
    return headers
