"""Tests of the timeout of attempts."""

import asyncio

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.attempt_timeout import AttemptTimeout
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import AnswerHead


def test_a_silent_upstream_is_given_up():
    """Guards against a read that waits for its deadline although another
    upstream could answer it."""

    async def session():
        with pytest.raises(TimeoutError):
            async with AttemptTimeout().limit(0.5):
                await asyncio.sleep(1)

    run_virtual(session)


def test_a_stop_lifts_the_limits_that_run():
    """Guards against interrupting a request after SIGTERM while its upstream
    works on it: LOST in the demo vks-boots trouble-2, seed 480333519239."""

    async def session():
        attempt_timeout = AttemptTimeout()
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, attempt_timeout.lift)
        async with attempt_timeout.limit(0.5):
            await asyncio.sleep(1)
        async with attempt_timeout.limit(0.5):
            await asyncio.sleep(1)

    run_virtual(session)


class SlowWriter:
    """A caller that takes a second to read each piece."""

    async def begin(self, head):
        """Take the head at once."""

    async def receive(self, chunk):
        await asyncio.sleep(1)


def test_a_long_answer_to_a_slow_caller_is_not_given_up():
    """Guards against LOST: the time that a caller takes to read a long answer
    counted as the silence of its upstream, and the answer was cut."""

    async def session():
        answer = BufferedAnswer(
            SlowWriter(), PlatformDialect(), 'r1', is_safe=True
        )
        await answer.begin(
            AnswerHead(200, (('Request-Id', 'r1'), ('Server-Stamp', 's')))
        )
        async with AttemptTimeout().limit(0.5) as time_limit:
            answer.call_on_streaming(lambda: time_limit.reschedule(None))
            for _ in range(6):
                await answer.receive(bytes(100_000))
        assert answer.has_begun

    run_virtual(session)


def test_a_stop_goes_on_as_a_limit_expires():
    """Guards against LOST: SIGTERM came between the end of an attempt's time
    and the end of its work; the stop failed, the process ended with it, and
    every request in flight was reset."""

    async def session():
        attempt_timeout = AttemptTimeout()
        is_ending = asyncio.Event()

        async def attempt():
            async with attempt_timeout.limit(0.5):
                try:
                    await asyncio.sleep(1)
                except asyncio.CancelledError:
                    # A request with a body waits for its tasks here.
                    is_ending.set()
                    await asyncio.sleep(0)
                    raise

        attempts = asyncio.ensure_future(attempt())
        await is_ending.wait()
        attempt_timeout.lift()
        with pytest.raises(TimeoutError):
            await attempts

    run_virtual(session)
