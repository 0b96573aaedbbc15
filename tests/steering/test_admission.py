"""Tests of the admission queue."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.steering.admission import AdmissionQueue
from nutmegshore.steering.rate import DepartureRate


@attrs.define(eq=False)
class _Request:
    name: str
    deadline: float = 10


@attrs.define(eq=False)
class _Slots:
    """Places requests while there are free slots, and records the order."""

    free: int = 0
    placed: list = attrs.field(factory=list)
    blocked: set = attrs.field(factory=set)

    def place(self, request):
        """Take a slot, or return None."""
        if not self.free or request.name in self.blocked:
            return None
        self.free -= 1
        self.placed.append(request.name)
        return self

    def abandon(self):
        """Release the slot."""
        self.free += 1


def _run(check, rate_per_s=100):
    async def session():
        clock = VirtualClock()
        rate = DepartureRate(clock)
        rate.slots = 1
        rate.mean_hold_s = 1 / rate_per_s
        slots = _Slots()
        queue = AdmissionQueue(clock, slots.place, rate)
        queue.set_target_ms(50)
        await check(clock, queue, slots)

    run_virtual(session)


async def _kind(queue, waiter):
    with pytest.raises(RequestError) as caught:
        await queue.wait(waiter)
    return caught.value.kind


def test_order_is_priority_then_deadline():
    """Guards against bulk requests that are served before urgent ones."""

    async def check(clock, queue, slots):
        queue.enter(_Request('bulk', 1), 9)
        queue.enter(_Request('late', 9), 0)
        queue.enter(_Request('early', 5), 0)
        slots.free = 3
        queue.pump()
        assert slots.placed == ['early', 'late', 'bulk']

    _run(check)


def test_an_expected_wait_above_the_target_is_refused_at_once():
    """Guards against a standing queue that delays every request too long."""

    async def check(clock, queue, slots):
        burst = [queue.enter(_Request('burst', 0.7), 5) for _ in range(21)]
        assert await _kind(queue, burst[-1]) is ErrorKind.OVERLOADED
        assert len(queue) == 20
        await clock.sleep(0.6)
        last = queue.enter(_Request('last'), 5)
        assert await _kind(queue, last) is ErrorKind.OVERLOADED
        assert len(queue) == 5
        await clock.sleep(0.2)
        queue.pump()
        waiters = [queue.enter(_Request(name), 5) for name in 'abcdef']
        assert not any(waiter.result.done() for waiter in waiters)
        await clock.sleep(0.6)
        waiters.append(queue.enter(_Request('g'), 5))
        assert await _kind(queue, waiters[-1]) is ErrorKind.OVERLOADED
        assert len(queue) == 5
        first = queue.enter(_Request('first'), 0)
        assert not first.result.done()
        assert await _kind(queue, waiters[4]) is ErrorKind.OVERLOADED

    _run(check)


def test_a_deadline_that_cannot_be_met_is_refused_before_sending():
    """Guards against slots used for answers past their deadline."""

    async def check(clock, queue, slots):
        queue.enter(_Request('ahead', 1), 0)
        queue.enter(_Request('ahead', 1), 0)
        late = queue.enter(_Request('late', 0.01), 5)
        assert await _kind(queue, late) is ErrorKind.DEADLINE_BEFORE_SEND
        waits = queue.enter(_Request('waits', 1), 5)
        await clock.sleep(2)
        slots.free = 1
        queue.pump()
        assert await _kind(queue, waits) is ErrorKind.DEADLINE_BEFORE_SEND
        assert not slots.placed

    _run(check)


@pytest.mark.parametrize('has_slot', [True, False])
def test_a_cancelled_wait_keeps_no_slot(has_slot):
    """Guards against a slot that leaks when a waiting caller disconnects."""

    async def check(clock, queue, slots):
        waiter = queue.enter(_Request('r'), 5)
        task = asyncio.create_task(queue.wait(waiter))
        await clock.sleep(0)
        slots.free = int(has_slot)
        if has_slot:
            queue.pump()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert slots.free == has_slot
        slots.free = 1
        queue.pump()
        assert not len(queue)
        assert slots.free == 1
        assert len(slots.placed) == has_slot

    _run(check)


def test_a_restricted_request_does_not_block_the_others():
    """Guards against a retry that blocks all requests behind it."""

    async def check(clock, queue, slots):
        slots.blocked = {'retry'}
        queue.enter(_Request('retry', 1), 0, is_restricted=True)
        queue.enter(_Request('other'), 5)
        slots.free = 1
        queue.pump()
        assert slots.placed == ['other']

    _run(check)


def test_closing_refuses_waiting_requests():
    """Guards against callers that wait forever when an entry stops."""

    async def check(clock, queue, slots):
        waiter = queue.enter(_Request('r'), 5)
        queue.close(ErrorKind.STOPPING)
        assert await _kind(queue, waiter) is ErrorKind.STOPPING

    _run(check)
