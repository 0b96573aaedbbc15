"""Base class of the operator listener's request handlers."""

import json
from http import HTTPStatus
from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.web import HTTPError, RequestHandler

from nutmegshore.errors import NutmegshoreError, Outcome
from nutmegshore.faults import Faults
from nutmegshore.operators.access import (
    Access,
    ClientIdentity,
    Credential,
    Role,
)
from nutmegshore.operators.api import OperatorApi
from nutmegshore.operators.wire import (
    describe_error,
    describe_fault,
    write_json,
)
from nutmegshore.resources import FieldFault, InvalidObject

__all__ = ('OperatorHandler', 'make_invalid')

#: Name of this part in reports of faults.
_PART = 'operators'
_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR


class OperatorHandler(RequestHandler):
    """Checks access before anything else and answers errors as JSON."""

    def initialize(
        self,
        api: OperatorApi,
        access: Access,
        max_body_bytes: int,
    ) -> None:
        self.api = api
        self.access = access
        self.max_body_bytes = max_body_bytes

    def prepare(self) -> None:
        method = self.request.method
        is_write = method in {'PUT', 'DELETE'}
        caller = ClientIdentity(
            self.request.headers.get('Authorization', ''),
            _common_name(self.request),
            self.request.remote_ip or '',
        )
        role = Role.WRITE if is_write else Role.READ
        self.credential: Credential = self.access.check(caller, role)
        if len(self.request.body) > self.max_body_bytes:
            raise make_invalid('body', f'at most {self.max_body_bytes} bytes')

    def write_error(self, status_code: int, **options: Any) -> None:
        error = options.get('exc_info', (None, None))[1]
        if isinstance(error, NutmegshoreError):
            self.set_status(error.answer.status)
            self._finish_fault(error, describe_error(error))
            return
        if status_code >= _SERVER_ERROR:
            self.set_header('Nutmegshore-Outcome', Outcome.UNKNOWN.value)
            self.finish_json(describe_fault(self._reason))
            return
        self.finish_json({'error': 'request', 'message': self._reason})

    def log_exception(self, *details: Any) -> None:
        """Report unexpected errors only, not those that become an answer."""
        error = details[1]
        if not isinstance(error, (NutmegshoreError, HTTPError)):
            Faults(self.api.counters).report(_PART, error)

    def finish_json(self, fields: Any) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(write_json(fields))

    def read_json(self) -> Any:
        try:
            return json.loads(self.request.body)
        except (ValueError, RecursionError):
            raise make_invalid('body', 'JSON') from None

    def _finish_fault(
        self,
        error: NutmegshoreError,
        fields: dict[str, Any],
    ) -> None:
        self.set_header('Nutmegshore-Error', error.kind.value)
        self.set_header('Nutmegshore-Outcome', error.answer.outcome.value)
        self.finish_json(fields)


def make_invalid(field: str, expected: str) -> InvalidObject:
    """Error for a request whose field is not as expected."""
    return InvalidObject('request', [FieldFault(field, expected)])


def _common_name(request: HTTPServerRequest) -> str:
    """Common name of the client's certificate; '' without one."""
    stream = getattr(request.connection, 'stream', None)
    if not hasattr(getattr(stream, 'socket', None), 'getpeercert'):
        return ''
    certificate = request.get_ssl_certificate()
    if not isinstance(certificate, dict):
        return ''
    names = [
        text
        for relative in certificate.get('subject', ())
        for name, text in relative
        if name == 'commonName'
    ]
    return names[0] if names else ''
