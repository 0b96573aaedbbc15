"""HTTP listener for callers."""

import json
import uuid
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

from nutmegshore.callers.forward import CallerRequest, Forwarder
from nutmegshore.callers.lookup import LookupAnswer
from nutmegshore.counters import Counters
from nutmegshore.errors import NutmegshoreError
from nutmegshore.upstreams import AnswerHead, AnswerReceiver, BodySource

__all__ = ('make_caller_application',)

_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH')
_SERVICE = 'Nutmegshore-Service'
_ERROR = 'Nutmegshore-Error'
_OUTCOME = 'Nutmegshore-Outcome'
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'transfer-encoding',
        'upgrade',
        'host',
    )
)


def make_caller_application(
    forwarder: Forwarder,
    lookup: Callable[[], LookupAnswer],
    counters: Counters,
) -> Application:
    """Application with the look-up and the proxied services."""
    options = {
        'forwarder': forwarder,
        'lookup': lookup,
        'counters': counters,
    }
    return Application(
        [
            ('/lookup', _LookupHandler, options),
            (r'/([^/]+)(/.*)?', _ProxyHandler, options),
        ],
    )


class _CallerHandler(RequestHandler):
    def initialize(self, **options: Any) -> None:
        self.options = options


class _LookupHandler(_CallerHandler):
    def get(self) -> None:
        answer = self.options['lookup']()
        self.finish(json.dumps(attrs.asdict(answer)))


class _ProxyHandler(_CallerHandler):
    SUPPORTED_METHODS = _METHODS  # noqa: WPS115 - tornado reads this name

    async def prepare(self) -> None:
        service = self.path_args[0]
        request = self.request
        body = _HeldBody(request.body) if request.body else None
        incoming = CallerRequest(
            request_id=str(uuid.uuid4()),
            service=request.headers.get(_SERVICE, service),
            method=request.method,
            target=request.uri,
            headers=_end_to_end(request.headers.get_all()),
            body=body,
            idempotency_key=request.headers.get('Idempotency-Key', ''),
        )
        try:
            await self._forward(incoming)
        except NutmegshoreError as error:
            self._refuse(error)

    async def _forward(self, incoming: CallerRequest) -> None:
        forwarder = self.options['forwarder']
        await forwarder.forward(incoming, _Receiver(self))
        self.options['counters'].add('requests', service=incoming.service)
        self.finish()

    def _refuse(self, error: NutmegshoreError) -> None:
        kind = error.kind.value
        self.options['counters'].add('requests_refused', reason=kind)
        self.set_status(error.answer.status)
        self.set_header(_ERROR, kind)
        self.set_header(_OUTCOME, error.answer.outcome.value)
        self.finish()


class _HeldBody(BodySource):
    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    async def chunks(self) -> AsyncIterator[bytes]:
        yield self._body


class _Receiver(AnswerReceiver):
    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    async def begin(self, head: AnswerHead) -> None:
        self._handler.set_status(head.status, _reason(head.status))
        for name, value in _end_to_end(head.headers):
            self._handler.set_header(name, value)
        self._handler.set_header(_OUTCOME, 'upstream')

    async def receive(self, chunk: bytes) -> None:
        self._handler.write(chunk)


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def _end_to_end(headers: Any) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP
    )
