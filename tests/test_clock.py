"""Tests of the clocks."""

import asyncio
import time

import pytest

from nutmegshore.clock import SystemClock, VirtualClock, run_virtual


def test_an_hour_passes_at_once():
    """Guards against sessions that wait on the wall clock."""

    async def session():
        clock = VirtualClock()
        await clock.sleep(3600)
        return clock.now()

    started = time.monotonic()
    assert run_virtual(session) == 3600
    assert time.monotonic() - started < 60


def test_a_pause_holds_sleeps_but_not_the_clock():
    """Guards against a paused holder whose lease seems to stand still."""

    async def session():
        clock = VirtualClock()
        clock.pause(10)
        await clock.sleep(1)
        return clock.now()

    assert run_virtual(session) == 10


def test_a_session_in_which_all_wait_forever_fails():
    """Guards against a test run that hangs."""
    with pytest.raises(RuntimeError):
        run_virtual(lambda: asyncio.Event().wait())


def test_the_system_clock_counts_suspended_time():
    """Guards against CLOCK_MONOTONIC, which stands still in a suspend."""
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert SystemClock().now() >= now
