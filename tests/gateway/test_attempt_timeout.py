"""Tests of the timeout of attempts."""

import asyncio

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.gateway.attempt_timeout import AttemptTimeout


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
