"""HTTP listener for operators."""

from http import HTTPStatus
from typing import Any

from tornado.web import Application, RequestHandler

from nutmegshore.errors import ErrorKind, ObjectError
from nutmegshore.exposition import CONTENT_TYPE, write_exposition
from nutmegshore.operators.access import Access
from nutmegshore.operators.api import OperatorApi
from nutmegshore.operators.declare import Declaration
from nutmegshore.operators.handler import OperatorHandler, make_invalid
from nutmegshore.resources import Envelope

__all__ = ('MAX_OPERATOR_BODY_BYTES', 'make_operator_application')

MAX_OPERATOR_BODY_BYTES = 1_000_000
_MAX_REASON_LENGTH = 1000
_MAX_GENERATION_DIGITS = 18
_MAX_DRY_RUN_OBJECTS = 1000


def make_operator_application(
    api: OperatorApi,
    access: Access,
    max_body_bytes: int = MAX_OPERATOR_BODY_BYTES,
) -> Application:
    """Make the application that serves the resource API.

    Listen with `max_body_size` a little above `max_body_bytes`, so that the
    answer to a larger body is written before the connection closes.
    """
    options = {'api': api, 'access': access, 'max_body_bytes': max_body_bytes}
    return Application(
        [
            (r'/objects/([^/]+)/([^/]+)', _ObjectHandler, options),
            ('/objects/([^/]+)', _ListHandler, options),
            ('/objects', _ListHandler, options),
            ('/watch', _WatchHandler, options),
            ('/dry-run', _DryRunHandler, options),
            ('/explain', _ExplainHandler, options),
            ('/status', _StatusHandler, options),
            ('/health', _HealthHandler, options),
            ('/ready', _ReadyHandler, options),
            ('/metrics', _MetricsHandler, options),
        ],
        default_handler_class=_UnknownHandler,
        default_handler_args=options,
        log_function=_log_nothing,
    )


class _UnknownHandler(OperatorHandler):
    def prepare(self) -> None:
        super().prepare()
        raise ObjectError(ErrorKind.NOT_FOUND, self.request.path)


class _ObjectHandler(OperatorHandler):
    def get(self, kind: str, name: str) -> None:
        self._finish_envelope(self.api.get(kind, name))

    async def put(self, kind: str, name: str) -> None:
        spec = self.read_json()
        if not isinstance(spec, dict):
            raise make_invalid('spec', 'a map of fields')
        await self._declare(kind, name, spec)

    async def delete(self, kind: str, name: str) -> None:
        await self._declare(kind, name, None)

    async def _declare(self, kind: str, name: str, spec: Any) -> None:
        declaration = Declaration(
            kind=kind,
            name=name,
            spec=spec,
            author=self.credential.name,
            reason=self._read_reason(),
            expected_generation=self._read_generation(),
        )
        self._finish_envelope(await self.api.declare(declaration))

    def _read_reason(self) -> str:
        reason = self.get_query_argument('reason', '')
        if len(reason) > _MAX_REASON_LENGTH:
            raise make_invalid(
                'reason', f'at most {_MAX_REASON_LENGTH} letters'
            )
        return reason

    def _read_generation(self) -> int | None:
        condition = self.request.headers.get('If-Match')
        if condition is None:
            return None
        digits = condition.strip().strip('"')
        is_number = digits.isascii() and digits.isdecimal()
        if not is_number or len(digits) > _MAX_GENERATION_DIGITS:
            raise make_invalid('If-Match', 'a generation, 0 for a new object')
        return int(digits)

    def _finish_envelope(self, envelope: Envelope) -> None:
        self.set_header('Etag', f'"{envelope.generation}"')
        self.finish_json(envelope)


class _ListHandler(OperatorHandler):
    def get(self, kind: str = '') -> None:
        self.finish_json(self.api.iter_objects(kind))


class _WatchHandler(OperatorHandler):
    async def get(self) -> None:
        after = self.get_query_argument('after', '')
        self.finish_json(await self.api.watch(after))


class _DryRunHandler(OperatorHandler):
    def post(self) -> None:
        declared = self.read_json()
        expected = f'a list of up to {_MAX_DRY_RUN_OBJECTS} objects'
        if (
            not isinstance(declared, list)
            or len(declared) > _MAX_DRY_RUN_OBJECTS
        ):
            raise make_invalid('body', expected)
        self.finish_json(
            self.api.dry_run(map(self._read_declaration, declared))
        )

    def _read_declaration(self, fields: Any) -> Declaration:
        if not isinstance(fields, dict):
            raise make_invalid('body', 'objects with kind, name and spec')
        kind = fields.get('kind')
        name = fields.get('name')
        if not (isinstance(kind, str) and isinstance(name, str)):
            raise make_invalid('body', 'objects with kind, name and spec')
        return Declaration(
            kind=kind,
            name=name,
            spec=fields.get('spec'),
            author=self.credential.name,
        )


class _ExplainHandler(OperatorHandler):
    def get(self) -> None:
        found = self.api.providers.explain(
            self.get_query_argument('service', ''),
            self.get_query_argument('region', ''),
        )
        self.finish_json(list(found))


class _StatusHandler(OperatorHandler):
    async def get(self) -> None:
        found = await self.api.read_statuses(
            self.get_query_argument('kind', ''),
            self.get_query_argument('name', ''),
        )
        self.finish_json(found)


class _ProbeHandler(OperatorHandler):
    """Answers 200 or 503 with the reason; needs no credential.

    The hosting environment probes without one, and the answer reveals
    nothing about declared objects.
    """

    def prepare(self) -> None:
        """Skip the access check."""

    def finish_probe(self, reason: str) -> None:
        if reason:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish_json({'ok': not reason, 'reason': reason})


class _HealthHandler(_ProbeHandler):
    def get(self) -> None:
        self.finish_probe(self.api.providers.why_not_healthy())


class _ReadyHandler(_ProbeHandler):
    def get(self) -> None:
        self.finish_probe(self.api.providers.why_not_ready())


class _MetricsHandler(OperatorHandler):
    def get(self) -> None:
        self.set_header('Content-Type', CONTENT_TYPE)
        self.finish(write_exposition(self.api.counters))


def _log_nothing(handler: RequestHandler) -> None:
    """Requests are counted, not logged; changes are logged by the API."""
