"""HTTP listener for operators."""

import json
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, NutmegshoreError, ObjectError
from nutmegshore.operators.declare import Declaration, Declarer
from nutmegshore.resources import Envelope, config_key

__all__ = ('make_operator_application',)


def make_operator_application(
    declarer: Declarer,
    table: ConfigurationTable,
) -> Application:
    """Application with the resource API."""
    options = {'declarer': declarer, 'table': table}
    return Application(
        [(r'/objects/([^/]+)/([^/]+)', _ObjectHandler, options)],
    )


class _ObjectHandler(RequestHandler):
    def initialize(self, declarer: Declarer, table: ConfigurationTable) -> None:
        self.declarer = declarer
        self.table = table

    def get(self, kind: str, name: str) -> None:
        envelope = self.table.get(config_key(kind, name))
        if envelope is None or envelope.is_deleted:
            raise ObjectError(ErrorKind.NOT_FOUND, f'{kind}/{name}')
        self._finish(envelope)

    async def put(self, kind: str, name: str) -> None:
        await self._declare(kind, name, json.loads(self.request.body))

    async def delete(self, kind: str, name: str) -> None:
        await self._declare(kind, name, None)

    def write_error(self, status_code: int, **options: Any) -> None:
        error = options['exc_info'][1]
        if not isinstance(error, NutmegshoreError):
            super().write_error(status_code, **options)
            return
        self.set_status(error.answer.status)
        fields = {'error': error.kind.value, 'message': str(error)}
        self.finish(json.dumps(fields))

    async def _declare(self, kind: str, name: str, spec: Any) -> None:
        declaration = Declaration(
            kind=kind,
            name=name,
            spec=spec,
            author=self.request.headers.get('Author', 'operator'),
        )
        self._finish(await self.declarer.declare(declaration))

    def _finish(self, envelope: Envelope) -> None:
        self.finish(json.dumps(attrs.asdict(envelope)))
