"""HTTP headers between callers, the gateway and upstreams."""

import re

import attrs

from nutmegshore.errors import ErrorKind
from nutmegshore.listener import RequestHead
from nutmegshore.upstreams import (
    AnswerHead,
    Dialect,
    Headers,
    UpstreamReport,
    UpstreamRequest,
)

__all__ = (
    'RETRY_AFTER',
    'CallerFields',
    'HealthAnswer',
    'LoadAnswer',
    'PlatformDialect',
    'read_caller_fields',
    'read_health',
    'read_load',
    'write_caller_headers',
    'write_customer_headers',
    'write_expected_instance',
)

RETRY_AFTER = 'Retry-After'

_REQUEST_ID = 'request-id'
_AFFINITY = 'affinity-key'
_DEADLINE = 'deadline-ms'
_EXPECTED_INSTANCE = 'Expect-Instance'
_API_KEY = 'key'
_CUSTOMER = 'Tenant'
_INSTANCE = 'instance-id'
_COLD_LEFT = 'cold-ms'
_SERVER_STAMP = 'server-stamp'
_NOT_RUN = 'not-run'
_LOAD_HEADER = 'server-load'
_LIMIT = 'server-limit'
_LEAVING = 'server-leaving'
_SERVICE_UNAVAILABLE = 503
_MISDIRECTED_REQUEST = 421
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_OK = 200
_MS_PER_S = 1000
#: Digits of the largest number of milliseconds that is read.
_MAX_DEADLINE_DIGITS = 9
#: Running and waiting requests and slots, then the work time if it is told.
_LOAD = re.compile(
    r'(?P<running>\d{1,9}),(?P<waiting>\d{1,9}),\d{1,9}'
    r'(,(?P<work_percent>\d{1,9}))?',
    re.ASCII,
)
_IS_LEAVING = '1'
_IS_STAYING = '0'
_LEAVING_TEXTS = frozenset((_IS_STAYING, _IS_LEAVING))
#: A limit in requests per second, without sign or exponent.
_RATE = re.compile(r'\d{1,15}(\.\d{1,15})?', re.ASCII)
#: Milliseconds, without sign or exponent.
_MILLISECONDS = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)
#: Seconds of a pause, without sign or exponent.
_SECONDS = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)
#: Request headers that the gateway sets itself and strips from callers.
_RESERVED_HEADERS = frozenset((_DEADLINE, _EXPECTED_INSTANCE.lower()))
#: Stripped as well where requests are authenticated by an API key.
_IDENTITY_HEADERS = frozenset((_API_KEY, _CUSTOMER.lower()))


@attrs.frozen
class CallerFields:
    """Fields of a caller's request headers.

    `remaining_ms` is the time until the deadline in milliseconds, or None
    without a deadline. An absent text is empty. `api_key` identifies the
    customer; several different ones identify none.
    """

    request_id: str
    affinity_key: str
    remaining_ms: int | None
    api_key: str = attrs.field(default='', repr=False)


def read_caller_fields(head: RequestHead) -> CallerFields:
    """Read the caller's headers; ignore a malformed deadline."""
    raw = head.get(_DEADLINE)
    is_number = raw.isascii() and raw.isdecimal()
    is_valid = is_number and len(raw) <= _MAX_DEADLINE_DIGITS
    return CallerFields(
        head.get(_REQUEST_ID),
        head.get(_AFFINITY),
        int(raw) if is_valid else None,
        _read_api_key(head),
    )


def _read_api_key(head: RequestHead) -> str:
    keys = set(head.get_all(_API_KEY))
    return keys.pop() if len(keys) == 1 else ''


def write_caller_headers(headers: Headers) -> Headers:
    """Return the caller's headers that are forwarded to the upstream."""
    return tuple(
        pair for pair in headers if pair[0].lower() not in _RESERVED_HEADERS
    )


def write_customer_headers(headers: Headers, customer: str) -> Headers:
    """Return the caller's headers with the customer's name for its API key.

    No upstream may see the key, or a name that the caller chose. An empty name
    adds no header.
    """
    kept = tuple(
        pair for pair in headers if pair[0].lower() not in _IDENTITY_HEADERS
    )
    return (*kept, (_CUSTOMER, customer)) if customer else kept


def write_expected_instance(instance: str) -> Headers:
    """Return the header that names the intended instance.

    Another instance at the same address answers such a request with 421.
    """
    return ((_EXPECTED_INSTANCE, instance),)


@attrs.frozen
class LoadAnswer:
    """The load that an answer reports.

    `busy` is the number of running and waiting requests. `work_percent` says
    how long work takes at this moment, where 100 is as usual. None is not told.
    """

    busy: int | None = None
    work_percent: int | None = None


def read_load(head: AnswerHead) -> LoadAnswer:
    """Read the load; nothing is told by a header that is malformed."""
    raw = head.fields.get(_LOAD_HEADER, '')
    found = _LOAD.fullmatch(raw.replace(' ', ''))
    if found is None:
        return LoadAnswer()
    percent = found['work_percent']
    return LoadAnswer(
        int(found['running']) + int(found['waiting']),
        int(percent) if percent else None,
    )


@attrs.frozen
class HealthAnswer:
    """What a health page says.

    `instance` is the upstream that answered, or empty if it is not healthy or
    did not say. It stays cold for `cold_left_s` seconds.
    """

    instance: str = ''
    cold_left_s: float = 0


def read_health(head: AnswerHead) -> HealthAnswer:
    """Read a health page; one that cannot be read names no instance."""
    raw = head.fields.get(_COLD_LEFT, '0').strip()
    is_time = _MILLISECONDS.fullmatch(raw) is not None
    if head.status != _OK or not is_time:
        return HealthAnswer()
    instance = head.fields.get(_INSTANCE, '')
    return HealthAnswer(instance, float(raw) / _MS_PER_S)


class PlatformDialect(Dialect):
    """Header conventions between the gateway and the users' upstreams."""

    accepts_unframed = True
    always_echoes_id = True

    def request_headers(
        self,
        request: UpstreamRequest,
        remaining_ms: int,
    ) -> Headers:
        """Return the deadline header; the caller's own request id is kept."""
        return (('Deadline-Ms', str(remaining_ms)),)

    def read_request_id(self, head: AnswerHead) -> str | None:
        """Return the id of the request that an answer belongs to."""
        return head.fields.get(_REQUEST_ID)

    def read_refusal(self, head: AnswerHead) -> ErrorKind | None:
        """Return why the request was not run, or None if it may have run.

        `UPSTREAM_MOVED` means that another instance has the address.
        """
        if head.status == _MISDIRECTED_REQUEST:
            return ErrorKind.UPSTREAM_MOVED
        return ErrorKind.UPSTREAM_REFUSED if _NOT_RUN in head.fields else None

    def is_answer_to(self, head: AnswerHead, request_id: str) -> bool:
        """Whether this is an upstream's unaltered answer to the request.

        A late second answer to an earlier request carries the earlier
        request's id.
        """
        answered_id = self.read_request_id(head)
        if answered_id != request_id or 'content-encoding' in head.fields:
            return False
        is_success = _FIRST_SUCCESS <= head.status < _FIRST_REDIRECT
        return not is_success or _SERVER_STAMP in head.fields

    def read_report(self, head: AnswerHead) -> UpstreamReport | None:
        """Return the state that an answer reports.

        None if another instance has the upstream's address. An upstream may
        announce that it is leaving here, in its registration, or in both. It
        asks for a pause only as it turns a request away.
        """
        refusal = self.read_refusal(head)
        if refusal is ErrorKind.UPSTREAM_MOVED:
            return None
        limit = _read_decimal(head, _LIMIT, _RATE)
        pause = _Decimal()
        if head.status == _SERVICE_UNAVAILABLE:
            pause = _read_decimal(head, RETRY_AFTER.lower(), _SECONDS)
        leaving = _read_leaving(head)
        load = read_load(head)
        return UpstreamReport(
            is_leaving=leaving == _IS_LEAVING,
            busy=load.busy,
            work_percent=load.work_percent,
            max_rate=limit.number,
            malformed_limit=limit.malformed,
            is_refusal=refusal is not None,
            pause_s=pause.number,
            malformed_pause=pause.malformed,
            malformed_leaving=None if leaving in _LEAVING_TEXTS else leaving,
        )


@attrs.frozen
class _Decimal:
    """The number in a header, or its text if it cannot be read."""

    number: float | None = None
    malformed: str | None = None


def _read_decimal(
    head: AnswerHead, name: str, pattern: re.Pattern[str]
) -> _Decimal:
    texts = set(_header_values(head, name))
    if not texts:
        return _Decimal()
    # Two numbers in one head contradict each other unless they are equal.
    text = ', '.join(sorted(texts))
    if pattern.fullmatch(text) is None:
        return _Decimal(malformed=text)
    return _Decimal(float(text))


def _read_leaving(head: AnswerHead) -> str:
    """Return what an answer says about leaving; texts that differ are joined.

    A head without the header says that its upstream stays.
    """
    texts = set(_header_values(head, _LEAVING)) or {_IS_STAYING}
    return ', '.join(sorted(texts))


def _header_values(head: AnswerHead, name: str) -> list[str]:
    return [text for key, text in head.headers if key.lower() == name]
