"""Tests of the clocks."""

import asyncio
import time

import pytest

from nutmegshore.clock import SystemClock, VirtualClock, run_virtual


def test_virtual_sleep_takes_no_real_time():
    """Guards against simulations that wait in real time."""

    async def session():
        clock = VirtualClock()
        await clock.sleep(3600)
        return clock.now()

    started = time.monotonic()
    assert run_virtual(session) == 3600
    assert time.monotonic() - started < 60


def test_a_pause_blocks_sleeps_but_not_the_clock():
    """Guards against a lease that does not expire while its holder pauses."""

    async def session():
        clock = VirtualClock()
        clock.pause(10)
        await clock.sleep(1)
        return clock.now()

    assert run_virtual(session) == 10


def test_a_deadlock_in_virtual_time_fails():
    """Guards against a run that hangs when no timer is pending."""
    with pytest.raises(RuntimeError):
        run_virtual(lambda: asyncio.Event().wait())


def test_the_system_clock_counts_suspended_time():
    """Guards against CLOCK_MONOTONIC, which stops during a suspend."""
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert SystemClock().now() >= now
