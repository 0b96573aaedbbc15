"""Tests of faults outside a request's own task, in a gateway's process."""

import asyncio
import contextlib
import gc
import json
from concurrent.futures import Future

import pytest
from tornado.concurrent import future_set_exception_unless_cancelled
from tornado.httpclient import HTTPClientError
from tornado.iostream import IOStream

from nutmegshore.faults import report_logged_faults
from nutmegshore.gateway import run
from nutmegshore.tracing import read_faults
from tests.gateway.caller_port import open_caller_port

_GET = (
    b'GET /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r7\r\n'
    b'Affinity-Key: 7\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n'
)
_WORK_S = 0.2
_PATIENCE_S = 5


def _fail(*given):
    raise ZeroDivisionError('of a test')


def _fail_in_a_timer():
    asyncio.get_running_loop().call_later(0, _fail)


def _fail_in_a_done_callback():
    done = asyncio.get_running_loop().create_future()
    done.add_done_callback(_fail)
    done.set_result(None)


def _fail_in_a_task():
    asyncio.ensure_future(asyncio.to_thread(_fail))


@contextlib.asynccontextmanager
async def _listening(context):
    with report_logged_faults(context.log.faults):
        async with open_caller_port(context) as opened:
            yield opened.port


async def _exchange(port):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_GET)
    async with asyncio.timeout(_PATIENCE_S):
        received = await reader.read()
    writer.close()
    return received


async def _exchange_beside(context, fail):
    """Send a request, let something fail, and send another request."""
    async with _listening(context) as port:
        beside = asyncio.ensure_future(_exchange(port))
        await asyncio.sleep(_WORK_S / 2)
        fail()
        answers = await beside, await _exchange(port)
        # The loop tells of a failed task as the task is collected.
        gc.collect()
        return answers


def _found_in_log(lines):
    text = [json.dumps(line) for line in lines.lines]
    return [(one.event, one.part) for one in read_faults(text)]


@pytest.mark.expects_faults
@pytest.mark.parametrize(
    'fail', [_fail_in_a_timer, _fail_in_a_done_callback, _fail_in_a_task]
)
def test_a_fault_on_the_loop_is_a_fault_of_the_gateway(
    make_context, scripted, step, lines, fail
):
    """Guards against a fault in a timer, a callback or a task that reaches
    standard error only (issue 47)."""
    context = make_context(scripted(step(after_s=_WORK_S)))
    answers = asyncio.run(_exchange_beside(context, fail))
    assert all(one.startswith(b'HTTP/1.1 200 ') for one in answers)
    assert context.counters.total('internal_faults', part='asyncio') == 1
    found = lines.named('internal_fault')
    assert [line['level'] for line in found] == ['error']
    assert 'in _fail' in found[0]['stack']
    assert _found_in_log(lines) == [('internal_fault', 'asyncio')]


@pytest.mark.expects_faults
def test_a_fault_as_a_connection_is_taken_is_reported(
    make_context, scripted, lines, monkeypatch
):
    """Guards against a caller's connection that stays open, unserved, after a
    fault that tornado alone has seen (issue 47)."""
    context = make_context(scripted())

    async def session():
        async with _listening(context) as port:
            with monkeypatch.context() as broken:
                broken.setattr(IOStream, 'set_nodelay', _fail)
                lost = await _exchange(port)
            return lost, await _exchange(port)

    lost, served = asyncio.run(session())
    assert not lost
    assert served.startswith(b'HTTP/1.1 200 ')
    part = 'tornado.application'
    assert context.counters.total('internal_faults', part=part) == 1
    assert 'in handle_stream' in lines.named('internal_fault')[0]['stack']
    assert _found_in_log(lines) == [('internal_fault', part)]


@pytest.mark.expects_faults
def test_an_error_without_an_exception_is_reported_too(
    make_context, scripted, lines
):
    """Guards against a fault that the loop can tell of in words only
    (issue 47)."""
    context = make_context(scripted())

    async def session():
        with report_logged_faults(context.log.faults):
            loop = asyncio.get_running_loop()
            loop.call_exception_handler({'message': 'odd'})

    asyncio.run(session())
    assert 'odd' in lines.named('internal_fault')[0]['error']


class _Daemon:
    """A daemon with a fault in a timer of its start."""

    def __init__(self, settings, dependencies):
        self.stopped = asyncio.Event()

    async def start(self):
        _fail_in_a_timer()

    async def stop(self):
        self.stopped.set()


@pytest.mark.expects_faults
def test_the_process_of_a_gateway_reports_its_loop(
    tmp_path, make_context, scripted, lines, monkeypatch
):
    """Guards against a process whose event loop reports to nobody
    (issue 47)."""
    context = make_context(scripted())
    monkeypatch.setattr(run, 'read_settings', str)
    monkeypatch.setattr(run, 'make_dependencies', lambda settings: context)
    monkeypatch.setattr(run, 'GatewayDaemon', _Daemon)
    path = tmp_path / 'settings'
    path.write_text('')
    process = run._Process(path)

    async def session():
        running = asyncio.ensure_future(process.run())
        async with asyncio.timeout(_PATIENCE_S):
            while not lines.lines:
                await asyncio.sleep(0.01)
        process._stop.set()
        await running

    asyncio.run(session())
    assert context.counters.total('internal_faults', part='asyncio') == 1
    assert lines.named('internal_fault')


@pytest.mark.parametrize(
    'failure', [asyncio.CancelledError(), HTTPClientError(599, 'cut')]
)
def test_work_that_was_given_up_is_no_fault(failure, reported_faults):
    """Guards against lines of level error as a store's connection ends under
    a watch that was given up."""
    future = Future()
    future.cancel()
    future_set_exception_unless_cancelled(future, failure)
    assert not reported_faults
