"""Golden file of the log of a whole session and of traces from it."""

import asyncio
import json

import pytest
from cleo.testers.application_tester import ApplicationTester

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.commands import make_application
from nutmegshore.errors import ErrorKind
from nutmegshore.gateway.events import Started, Starting, Stopped, Stopping
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.responder import GatewayResponder
from nutmegshore.listener import ListenerContext, RequestHead

_LOST = ErrorKind.UPSTREAM_LOST


class _Writer:
    """A caller's writer that discards every answer."""

    def __init__(self, request):
        self.request = request
        self.has_begun = False
        self.end_reason = 'caller_left'
        self.keeps_alive = True

    async def write_own(self, status, headers, body):
        """Discard a complete answer."""

    async def wait_turn(self):
        """No answer is ahead of this one."""


class _NoBody:
    is_whole = True


async def _send_request(context, request, target='/orders/7'):
    """Send one caller's request through the gateway's responder."""
    headers = (
        ('Host', 'a.example'),
        ('Request-Id', request),
        ('Affinity-Key', '7'),
        ('Deadline-Ms', '2000'),
    )
    forwarder = GatewayForwarder(context)
    listener = ListenerContext(lambda writer: None, context.counters)
    writer = _Writer(RequestHead('GET', target, 'HTTP/1.1', headers))
    responder = GatewayResponder(writer, context, forwarder, listener)
    responder.body = _NoBody()
    await responder.run()
    await asyncio.sleep(1)


@pytest.fixture
def played(make_context, scripted, step, lines, listening):
    """Log lines of a gateway that starts, ends requests in every way, and
    stops."""

    async def session():
        upstreams = scripted(
            step(after_s=0.1),
            step(failure=_LOST, after_s=0.2),
            step(after_s=0.1),
            step(failure=ErrorKind.UPSTREAM_SILENT),
            step(failure=ErrorKind.UPSTREAM_SILENT),
            step(failure=_LOST),
        )
        context = make_context(upstreams, VirtualClock())
        context.log.write(Starting('0.1.0', '10.0.0.5:80', 'west-a'))
        context.log.write(Started(1, 0.4))
        await _send_request(context, 'served')
        await _send_request(context, 'retried')
        await _send_request(context, 'failed')
        await _send_request(context, 'no-route', '/nowhere')
        listening.dead.add('10.0.0.1:80')
        await _send_request(context, 'crashing', '/orders/bad')
        await _send_request(context, 'quarantined', '/orders/bad')
        context.log.write(Stopping(0, 6))
        context.log.write(Stopped(0))

    run_virtual(session)
    return lines.lines


def test_the_log_of_a_session(played, snapshot):
    """Guards against unnoticed changes of events, fields or their order."""
    assert [json.dumps(line) for line in played] == snapshot


@pytest.fixture
def run(played, tmp_path):
    """Function that runs a command line on the session's log."""
    path = tmp_path / 'gateway.log'
    path.write_text('\n'.join(json.dumps(line) for line in played))
    tester = ApplicationTester(make_application())

    def run_line(line):
        tester.execute(f'{line} {path}')
        return tester.io.fetch_output()

    return run_line


@pytest.mark.parametrize('request_id', ['retried', 'failed', 'quarantined'])
def test_the_stories_of_a_session(run, snapshot, request_id):
    """Guards against a trace that lacks the reason for a request's outcome."""
    assert run(f'trace {request_id}') == snapshot


def test_the_summary_of_a_session(run, snapshot):
    """Guards against counts that do not match the lines."""
    assert run('log-summary') == snapshot
