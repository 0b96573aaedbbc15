"""Answering of one request of a caller."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import attrs
from tornado.iostream import StreamClosedError

from nutmegshore.callers.forward import CallerForwarder
from nutmegshore.callers.lookup import LookupAnswer, write_lookup
from nutmegshore.callers.request import CallerRequest
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, NutmegshoreError, RequestError
from nutmegshore.byte_budget import HeldBytes
from nutmegshore.listener.answer import AnswerWriter
from nutmegshore.listener.context import ListenerContext
from nutmegshore.listener.headers import (
    IDEMPOTENCY_KEY,
    RequestHead,
    named_service,
    read_deadline_ms,
    upstream_headers,
)
from nutmegshore.listener.responder import Responder

__all__ = ('CallerResponder', 'ResponderContext')

_LOOKUP_PATH = '/lookup'
_LOOKUP_METHODS = ('GET', 'HEAD')
_OK = 200
_MS_PER_S = 1000


@attrs.frozen
class ResponderContext:
    """What the responders of the callers' listener share.

    `lookup` answers a look-up for the named service, or for any service if the
    name is empty.
    """

    forwarder: CallerForwarder
    lookup: Callable[[str], LookupAnswer]
    counters: Counters
    clock: Clock


class CallerResponder(Responder):
    """Answers one request from the look-up or through the forwarder.

    Errors after the answer has begun are raised, since only a reset of the
    connection shows the caller that its answer is incomplete.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        context: ResponderContext,
        listener: ListenerContext,
    ) -> None:
        """Answer one request that arrived on a connection of the listener."""
        super().__init__(writer)
        self.context = context
        self._listener = listener
        self._arrived_at = context.clock.now()
        self._is_forwarded = False

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have received the request."""
        return self._is_forwarded

    async def run(self) -> None:
        """Answer the request whose head and body are set."""
        try:
            with self._listener.budget.hold() as held:
                await self._answer(held)
        except NutmegshoreError as error:
            if self.writer.has_begun:
                raise
            self.writer.keeps_alive &= self.body.is_whole
            await self.refuse(error)

    async def refuse(self, error: NutmegshoreError) -> None:
        """Answer with an error's kind and outcome, and count it."""
        reason = error.kind.value
        self.context.counters.add('requests_refused', reason=reason)
        await self._write_in_time(self.writer.write_error(error))

    async def _answer(self, held: HeldBytes) -> None:
        if self.writer.request.path == _LOOKUP_PATH:
            await self._answer_lookup()
            return
        incoming = attrs.evolve(self._incoming(self.writer.request), held=held)
        self._is_forwarded = True
        await self.context.forwarder.forward(incoming, self.writer)
        await self._write_in_time(self.writer.finish())
        self.context.counters.add('requests', service=incoming.service)

    async def _answer_lookup(self) -> None:
        head = self.writer.request
        if head.method not in _LOOKUP_METHODS:
            raise RequestError(ErrorKind.MALFORMED_REQUEST, head.method)
        self.writer.keeps_alive &= self.body.is_whole
        query = parse_qs(head.query)
        service = query.get('service', [''])[0]
        headers, text = write_lookup(self.context.lookup(service))
        await self._write_in_time(self.writer.write_own(_OK, headers, text))
        self.context.counters.add('lookups')

    def _incoming(self, head: RequestHead) -> CallerRequest:
        deadline = None
        remaining_ms = read_deadline_ms(head)
        if remaining_ms is not None:
            deadline = self._arrived_at + remaining_ms / _MS_PER_S
        return CallerRequest(
            request_id=str(uuid.uuid4()),
            service=named_service(head),
            method=head.method,
            target=head.target,
            headers=upstream_headers(head.headers),
            body=None if self.body.is_whole else self.body,
            deadline=deadline,
            idempotency_key=head.get(IDEMPOTENCY_KEY),
        )

    async def _write_in_time(self, write: Awaitable[None]) -> None:
        try:
            async with asyncio.timeout(self._listener.limits.write_s):
                await write
        except TimeoutError as failure:
            self.writer.abort()
            raise StreamClosedError from failure
