"""Client of the operator listener over HTTP."""

import json
import socket
import ssl
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import attrs
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from nutmegshore.errors import ErrorKind, NutmegshoreError, Outcome
from nutmegshore.operators.client import (
    EntryUnreachable,
    Fields,
    OperatorClient,
    OperatorError,
)

__all__ = ('HttpOperatorClient', 'Server')

_CONNECT_TIMEOUT_S = 5
#: Longer than an entry's own limits, so that the entry answers first.
_CALL_TIMEOUT_S = 20
_WATCH_TIMEOUT_S = 45
_NOT_SENT = (
    ConnectionRefusedError,
    socket.gaierror,
    ssl.SSLCertVerificationError,
    ValueError,
)
#: Part of tornado's message for a timeout before the connection is open.
_CONNECTING = 'connecting'
_WRITING = frozenset(('PUT', 'DELETE'))
#: Statuses that HTTP defines; tornado takes others, such as 000.
_MIN_STATUS = 100
_MAX_STATUS = 599
_UNREADABLE = 'the answer cannot be read'
_UNKNOWN = (
    'no answer: the write may have taken effect;'
    ' read the object before writing again'
)


def _with_scheme(url: str) -> str:
    """Add `http://` to an address given as IP:port."""
    return url if '://' in url else f'http://{url}'


@attrs.frozen
class Server:
    """Address of an entry, and the credentials to present.

    `url` may be an address as IP:port. `ca`, `certificate` and `key` are
    paths of PEM files, or ''.
    """

    url: str = attrs.field(converter=_with_scheme)
    token: str = ''
    ca: str = ''
    certificate: str = ''
    key: str = ''


class HttpOperatorClient(OperatorClient):
    """Client of the resource API at a URL such as https://10.0.0.1:8081."""

    def __init__(self, server: Server) -> None:
        """Call this server; each call opens a connection."""
        self._server = server
        self._client = AsyncHTTPClient(force_instance=True)
        self._context = _make_context(server)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def get(self, kind: str, name: str) -> Fields:
        """Read one object in force."""
        return await self._call('GET', _path('objects', kind, name))

    async def iter_objects(self, kind: str) -> list[Fields]:
        """Read all objects of a kind; '' stands for every kind."""
        parts = ('objects', kind) if kind else ('objects',)
        return await self._call('GET', _path(*parts))

    async def write(
        self,
        kind: str,
        name: str,
        spec: Fields | None,
        generation: int | None,
        reason: str,
    ) -> Fields:
        """Write, or with spec None delete, at an expected generation."""
        query = urlencode({'reason': reason})
        path = _path('objects', kind, name)
        condition = {} if generation is None else {'If-Match': str(generation)}
        return await self._call(
            'DELETE' if spec is None else 'PUT',
            f'{path}?{query}',
            body=None if spec is None else json.dumps(spec),
            headers=condition,
        )

    async def dry_run(self, wishes: list[Fields]) -> Fields:
        """Ask what maps of kind, name and spec would change."""
        return await self._call('POST', '/dry-run', body=json.dumps(wishes))

    async def watch(self, after: str) -> Fields:
        """Wait for changes after a position; '' gives all objects."""
        query = urlencode({'after': after})
        return await self._call(
            'GET',
            f'/watch?{query}',
            request_timeout=_WATCH_TIMEOUT_S,
        )

    async def explain(self, service: str, region: str) -> list[Fields]:
        """Ask where requests go and why; '' stands for all."""
        query = urlencode({'service': service, 'region': region})
        return await self._call('GET', f'/explain?{query}')

    async def read_statuses(self, kind: str, name: str) -> list[Fields]:
        """Read statuses by region; '' stands for all."""
        query = urlencode({'kind': kind, 'name': name})
        return await self._call('GET', f'/status?{query}')

    async def _call(self, method: str, path: str, **options: Any) -> Any:
        request = self._request(method, path, options)
        response = await self._fetch(request)
        fields = _read_fields(response)
        if fields is None:
            raise _unanswered(request, _UNREADABLE, is_sent=True)
        if response.code == HTTPStatus.OK:
            return fields
        raise OperatorError(_parse_kind(fields), fields)

    def _request(
        self,
        method: str,
        path: str,
        options: dict[str, Any],
    ) -> HTTPRequest:
        headers = dict(options.pop('headers', {}))
        token = self._server.token
        if token:
            headers['Authorization'] = f'Bearer {token}'
        options.setdefault('request_timeout', _CALL_TIMEOUT_S)
        return HTTPRequest(
            self._server.url + path,
            method=method,
            headers=headers,
            connect_timeout=_CONNECT_TIMEOUT_S,
            ssl_options=self._context,
            allow_nonstandard_methods=True,
            **options,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        try:
            return await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as failure:
            raise _unanswered(
                request, str(failure), _is_sent(failure)
            ) from failure


def _is_sent(failure: Exception) -> bool:
    """Whether a call that failed may have reached the entry.

    A connection can be reset before or after the request was read, so only
    errors of opening a connection prove that nothing was sent.
    """
    is_opened = not isinstance(failure, _NOT_SENT)
    return is_opened and _CONNECTING not in str(failure)


def _unanswered(
    request: HTTPRequest, message: str, is_sent: bool
) -> NutmegshoreError:
    """Error for a call without an answer that can be read."""
    if is_sent and request.method in _WRITING:
        return NutmegshoreError(ErrorKind.OUTCOME_UNKNOWN, _UNKNOWN)
    return EntryUnreachable(message)


def _read_fields(response: HTTPResponse) -> Any:
    """JSON of an answer; None if it is no answer of an entry.

    Only a read that succeeded may be answered by a list.
    """
    try:
        fields = json.loads(response.body)
    except ValueError:
        return None
    if not _MIN_STATUS <= response.code <= _MAX_STATUS:
        return None
    may_be_list = (
        response.code == HTTPStatus.OK
        and response.request.method not in _WRITING
    )
    forms = (dict, list) if may_be_list else dict
    return fields if isinstance(fields, forms) else None


def _parse_kind(fields: Any) -> ErrorKind:
    """Error kind of an answer.

    An unknown one is a malformed request, unless the answer leaves open
    whether the call took effect.
    """
    try:
        return ErrorKind(fields['error'])
    except (ValueError, LookupError, TypeError):
        if _outcome_of(fields) == Outcome.UNKNOWN.value:
            return ErrorKind.OUTCOME_UNKNOWN
        return ErrorKind.MALFORMED_REQUEST


def _outcome_of(fields: Any) -> Any:
    return fields.get('outcome') if isinstance(fields, dict) else None


def _path(*parts: str) -> str:
    quoted = [quote(part, safe='') for part in parts]
    return '/{0}'.format('/'.join(quoted))


def _make_context(server: Server) -> ssl.SSLContext | None:
    if not server.url.startswith('https:'):
        return None
    context = ssl.create_default_context(cafile=server.ca or None)
    if server.certificate:
        context.load_cert_chain(server.certificate, server.key or None)
    return context
