"""Tests of the rate-limited event log."""

import json
import os

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.gateway.events import (
    EVENT_NAMES,
    RequestFailed,
    RequestServed,
    Stopped,
    fields_of,
)
from nutmegshore.gateway.log import EventLog, LineWriter


def _served(number):
    return RequestServed(f'r{number}', 'r', 's', '', 1, 0, 0, '', 200, 0.1, [])


def _failed(number):
    return RequestFailed(
        f'f{number}', 'r', 's', '', 1, 0, 0, '', 502, 'lost', '', '', 0.1, []
    )


def test_every_event_has_a_name_and_a_severity():
    """Guards against an event that cannot be written."""
    assert len(set(EVENT_NAMES.values())) == len(EVENT_NAMES)
    assert all(event.severity is not None for event in EVENT_NAMES)
    assert fields_of(Stopped(0)) == {'cut': 0}


def test_failures_are_written_when_routine_lines_are_dropped(make_log, lines):
    """Guards against a failed request that is not logged because served ones
    used up the byte budget."""

    async def session():
        clock = VirtualClock()
        counters = Counters()
        log = make_log(clock, counters, bytes_per_s=40_000)
        for number in range(200):
            log.write(_served(number))
        for number in range(10):
            log.write(_failed(number))
        assert len(lines.named('request_served')) < 100
        assert len(lines.named('request_failed')) == 10
        dropped = counters.total('log_lines_dropped', severity='routine')
        assert dropped == 200 - len(lines.named('request_served'))

    run_virtual(session)


def test_dropped_lines_are_reported(make_log, lines):
    """Guards against gaps in a log that go unnoticed."""

    async def session():
        clock = VirtualClock()
        log = make_log(clock, bytes_per_s=4_000)
        for number in range(50):
            log.write(_served(number))
        await clock.sleep(1)
        log.write(_failed(1))
        line = lines.named('lines_dropped')[0]
        assert line['routine'] == 50 - len(lines.named('request_served'))

    run_virtual(session)


def test_a_stalled_reader_does_not_block():
    """Guards against a process that blocks on standard output."""
    read_end, write_end = os.pipe()

    async def session():
        clock = VirtualClock()
        writer = LineWriter(write_end)
        log = EventLog(writer, 'g1', clock, Counters(), 10**9)
        for number in range(20_000):
            log.write(_served(number))
        log.write(_failed(1))
        assert 0 < writer.queued_bytes < 1_100_000
        total = b''
        while writer.queued_bytes:
            total += os.read(read_end, 65_536)
            await clock.sleep(0.1)
        total += os.read(read_end, 65_536)
        written = [json.loads(line) for line in total.splitlines()]
        assert written[-1]['request'] == 'f1'

    run_virtual(session)
    os.close(read_end)
    os.close(write_end)


def test_a_log_without_budget_is_off(make_log, lines):
    """Guards against a log that cannot be switched off."""

    async def session():
        make_log(VirtualClock(), bytes_per_s=0).write(Stopped(0))
        assert not lines.lines

    run_virtual(session)
