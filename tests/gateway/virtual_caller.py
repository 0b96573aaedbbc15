"""A caller that sends requests to a gateway on virtual time."""

import asyncio
import types

import attrs

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.responder import GatewayResponder
from nutmegshore.listener import ListenerContext, RequestHead


class SessionClock(VirtualClock):
    """A virtual clock that shows 0 until its session begins."""

    def now(self):
        """Seconds since the session began."""
        try:
            return super().now()
        except RuntimeError:
            return 0


@attrs.define
class Writer:
    """A caller that takes `read_s` to read each piece of its answer.

    `mixed` has the statuses of answers that came after another one had begun.
    """

    request: RequestHead
    read_s: float = 0
    has_begun: bool = False
    end_reason: str = 'caller_left'
    keeps_alive: bool = True
    status: int = 0
    body: bytes = b''
    mixed: list = attrs.field(factory=list)
    headers: dict = attrs.field(factory=dict)

    async def write_own(self, status, headers, body):
        """Take a complete answer."""
        self.headers = dict(headers)
        if self.has_begun:
            self.mixed.append(int(status))
        self.status = int(status)
        self.body += bytes(body)

    async def begin(self, head):
        """Take the head of a streamed answer."""
        if self.has_begun:
            self.mixed.append(head.status)
        self.has_begun = True
        self.status = head.status

    async def receive(self, chunk):
        """Take a piece of a streamed answer."""
        await asyncio.sleep(self.read_s)
        self.body += chunk

    async def finish(self):
        """Take the end of a streamed answer."""

    async def wait_turn(self):
        """No answer is ahead of this one."""


@attrs.define
class Caller:
    """Sends requests through a gateway that has measured its upstreams."""

    context: object
    forwarder: GatewayForwarder
    read_s: float = 0
    took_s: float = 0
    writers: list = attrs.field(factory=list)

    async def send(self, method='GET', extra=()):
        """Send a request with extra headers; return what its caller got."""
        headers = (
            ('Host', 'a.example'),
            ('Request-Id', 'r7'),
            ('Affinity-Key', '7'),
            ('Deadline-Ms', '3000'),
            *extra,
        )
        listener = ListenerContext(lambda writer: None, self.context.counters)
        head = RequestHead(method, '/orders/7', 'HTTP/1.1', headers)
        writer = Writer(head, self.read_s)
        self.writers.append(writer)
        responder = GatewayResponder(
            writer, self.context, self.forwarder, listener
        )
        responder.body = types.SimpleNamespace(is_whole=True)
        started_at = self.context.clock.now()
        await responder.run()
        self.took_s = self.context.clock.now() - started_at
        return writer

    def run(self, method='GET'):
        """Send one request on virtual time."""
        return run_virtual(lambda: self.send(method))
