"""Tests of timeouts that end together."""

import asyncio

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.gateway.timeout_group import TimeoutGroup


def test_each_body_ends_after_its_own_time():
    """Guards against a request that is held beyond its deadline."""

    async def session():
        with pytest.raises(TimeoutError):
            async with TimeoutGroup().limit(0.5):
                await asyncio.sleep(1)

    run_virtual(session)


def test_a_stop_goes_on_as_a_limit_expires():
    """Guards against LOST: a stop ended all requests between the end of one
    request's time and the end of its work; the stop failed, the process ended
    with it, and every request in flight was reset."""

    async def session():
        group = TimeoutGroup()
        is_ending = asyncio.Event()

        async def request():
            async with group.limit(0.5):
                try:
                    await asyncio.sleep(1)
                except asyncio.CancelledError:
                    # A request with a body waits for its tasks here.
                    is_ending.set()
                    await asyncio.sleep(0)
                    raise

        working = asyncio.ensure_future(request())
        await is_ending.wait()
        group.expire_all()
        with pytest.raises(TimeoutError):
            await working

    run_virtual(session)
