"""Error kinds, their HTTP answers and the exception hierarchy."""

import enum
from http import HTTPStatus
from types import MappingProxyType

import attrs

__all__ = (
    'ANSWERS',
    'Answer',
    'ConnectionClosed',
    'Contended',
    'ErrorKind',
    'LinkError',
    'NutmegshoreError',
    'ObjectError',
    'Offer',
    'RemoteOffer',
    'StayReason',
    'Outcome',
    'PlatformAnswerLost',
    'PlatformError',
    'PlatformFormatError',
    'HistoryLost',
    'PlatformUnavailable',
    'RefusedError',
    'RequestError',
    'SettingsError',
    'VersionConflict',
)


class Outcome(enum.Enum):
    """What a caller may conclude about its request from an answer."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    UPSTREAM = 'upstream'


class ErrorKind(enum.Enum):
    """Closed list of the reasons for a refusal or a failure."""

    MALFORMED_REQUEST = 'malformed_request'
    AMBIGUOUS_LENGTH = 'ambiguous_length'
    INTERNAL_HEADER = 'internal_header'
    HEADER_TOO_LARGE = 'header_too_large'
    SLOW_SENDER = 'slow_sender'
    CALLER_STALLED = 'caller_stalled'
    UNKNOWN_SERVICE = 'unknown_service'
    OVERLOADED = 'overloaded'
    RATE_LIMITED = 'rate_limited'
    UPSTREAM_PAUSED = 'upstream_paused'
    NO_UPSTREAM = 'no_upstream'
    CAP_REACHED = 'cap_reached'
    STOPPING = 'stopping'
    NOT_READY = 'not_ready'
    QUARANTINED = 'quarantined'
    KEY_REUSED = 'key_reused'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    UPSTREAM_REFUSED = 'upstream_refused'
    DEADLINE_BEFORE_SEND = 'deadline_before_send'
    DEADLINE_AFTER_SEND = 'deadline_after_send'
    UPSTREAM_LOST = 'upstream_lost'
    DUPLICATE_IN_FLIGHT = 'duplicate_in_flight'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    RECORD_UNAVAILABLE = 'record_unavailable'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    INVALID_OBJECT = 'invalid_object'
    VERSION_CONFLICT = 'version_conflict'
    NOT_FOUND = 'not_found'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    INVALID_SETTINGS = 'invalid_settings'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    PLATFORM_ANSWER_LOST = 'platform_answer_lost'
    PLATFORM_FORMAT = 'platform_format'
    HISTORY_LOST = 'history_lost'
    BODY_TOO_LARGE = 'body_too_large'
    NO_ROUTE = 'no_route'
    UPSTREAM_SPOILED = 'upstream_spoiled'
    UPSTREAM_MOVED = 'upstream_moved'
    UPSTREAM_SILENT = 'upstream_silent'
    PEER_WRONG_CLUSTER = 'peer_wrong_cluster'
    PEER_WRONG_KEY = 'peer_wrong_key'
    PEER_INCOMPATIBLE_VERSION = 'peer_incompatible_version'
    FRAME_TOO_LARGE = 'frame_too_large'
    MALFORMED_FRAME = 'malformed_frame'
    LINK_CLOSED = 'link_closed'
    UNKNOWN_KEY = 'unknown_key'
    KEYS_OUTDATED = 'keys_outdated'
    QUOTA_EXCEEDED = 'quota_exceeded'
    CALLER_LIMIT = 'caller_limit'
    FAULT_BEFORE_SEND = 'fault_before_send'
    FAULT_AFTER_SEND = 'fault_after_send'


@attrs.frozen
class Answer:
    """HTTP status and outcome of the answer to an error kind."""

    status: int
    outcome: Outcome


def _not_run(status: int) -> Answer:
    return Answer(status, Outcome.NOT_RUN)


def _unknown(status: int) -> Answer:
    return Answer(status, Outcome.UNKNOWN)


_UNAVAILABLE = _not_run(HTTPStatus.SERVICE_UNAVAILABLE)

#: Every error kind has exactly one answer. Kinds that close a peer link also
#: have a status, because the operator listener reports the last link error.
ANSWERS = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.AMBIGUOUS_LENGTH: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.INTERNAL_HEADER: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.HEADER_TOO_LARGE: _not_run(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        ),
        ErrorKind.SLOW_SENDER: _not_run(HTTPStatus.REQUEST_TIMEOUT),
        ErrorKind.CALLER_STALLED: _unknown(HTTPStatus.REQUEST_TIMEOUT),
        ErrorKind.UNKNOWN_SERVICE: _not_run(HTTPStatus.NOT_FOUND),
        ErrorKind.OVERLOADED: _UNAVAILABLE,
        ErrorKind.RATE_LIMITED: _UNAVAILABLE,
        ErrorKind.UPSTREAM_PAUSED: _UNAVAILABLE,
        ErrorKind.NO_UPSTREAM: _UNAVAILABLE,
        ErrorKind.CAP_REACHED: _UNAVAILABLE,
        ErrorKind.STOPPING: _UNAVAILABLE,
        ErrorKind.NOT_READY: _UNAVAILABLE,
        ErrorKind.QUARANTINED: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.KEY_REUSED: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.UPSTREAM_UNREACHABLE: _not_run(HTTPStatus.BAD_GATEWAY),
        ErrorKind.UPSTREAM_REFUSED: _UNAVAILABLE,
        ErrorKind.DEADLINE_BEFORE_SEND: _not_run(HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.DEADLINE_AFTER_SEND: _unknown(HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.UPSTREAM_LOST: _unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.DUPLICATE_IN_FLIGHT: _unknown(HTTPStatus.CONFLICT),
        ErrorKind.OUTCOME_UNKNOWN: _unknown(HTTPStatus.CONFLICT),
        ErrorKind.RECORD_UNAVAILABLE: _unknown(HTTPStatus.SERVICE_UNAVAILABLE),
        ErrorKind.ANSWER_NOT_KEPT: Answer(
            HTTPStatus.CONFLICT, Outcome.UPSTREAM
        ),
        ErrorKind.INVALID_OBJECT: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.VERSION_CONFLICT: _not_run(HTTPStatus.CONFLICT),
        ErrorKind.NOT_FOUND: _not_run(HTTPStatus.NOT_FOUND),
        ErrorKind.UNAUTHORIZED: _not_run(HTTPStatus.UNAUTHORIZED),
        ErrorKind.FORBIDDEN: _not_run(HTTPStatus.FORBIDDEN),
        ErrorKind.INVALID_SETTINGS: _not_run(HTTPStatus.INTERNAL_SERVER_ERROR),
        ErrorKind.PLATFORM_UNAVAILABLE: _UNAVAILABLE,
        ErrorKind.PLATFORM_ANSWER_LOST: _unknown(HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.PLATFORM_FORMAT: _not_run(HTTPStatus.BAD_GATEWAY),
        ErrorKind.HISTORY_LOST: _UNAVAILABLE,
        ErrorKind.BODY_TOO_LARGE: _not_run(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        ErrorKind.NO_ROUTE: _not_run(HTTPStatus.NOT_FOUND),
        ErrorKind.UPSTREAM_SPOILED: _unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.UPSTREAM_MOVED: _UNAVAILABLE,
        ErrorKind.UPSTREAM_SILENT: _unknown(HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.PEER_WRONG_CLUSTER: _not_run(HTTPStatus.FORBIDDEN),
        ErrorKind.PEER_WRONG_KEY: _not_run(HTTPStatus.FORBIDDEN),
        ErrorKind.PEER_INCOMPATIBLE_VERSION: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.FRAME_TOO_LARGE: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.MALFORMED_FRAME: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.LINK_CLOSED: _UNAVAILABLE,
        ErrorKind.UNKNOWN_KEY: _not_run(HTTPStatus.UNAUTHORIZED),
        ErrorKind.KEYS_OUTDATED: _UNAVAILABLE,
        ErrorKind.QUOTA_EXCEEDED: _not_run(HTTPStatus.TOO_MANY_REQUESTS),
        ErrorKind.CALLER_LIMIT: _UNAVAILABLE,
        ErrorKind.FAULT_BEFORE_SEND: _UNAVAILABLE,
        ErrorKind.FAULT_AFTER_SEND: _unknown(HTTPStatus.BAD_GATEWAY),
    }
)


class NutmegshoreError(Exception):
    """Base class of the errors that this package raises.

    Each error has a `kind` from the closed list; `ANSWERS[error.kind]` says
    how a listener answers it. The message names the object concerned.
    """

    def __init__(self, kind: ErrorKind, message: str = '') -> None:
        """Store the kind; the message defaults to the kind's value."""
        super().__init__(message or kind.value)
        self.kind = kind
        self.is_outcome_unknown = False

    @property
    def answer(self) -> Answer:
        """Status and outcome for this error."""
        answer = ANSWERS[self.kind]
        if self.is_outcome_unknown:
            return attrs.evolve(answer, outcome=Outcome.UNKNOWN)
        return answer


class RequestError(NutmegshoreError):
    """A caller's request was refused or failed."""


class ConnectionClosed(RequestError):
    """An upstream closed a kept connection as a request was on its way.

    It closes connections that are idle, and may not have read the request.
    Neither that it ran nor that the upstream failed follows from it.
    """

    def __init__(self, upstream: str) -> None:
        """Use the fixed kind for an answer that was lost."""
        super().__init__(ErrorKind.UPSTREAM_LOST, upstream)


@attrs.frozen
class Offer:
    """Expected handling of a request by an upstream.

    By its latest report, `report_age_s` seconds old (-1 if there is none),
    the upstream had `busy` requests in flight. The request would have waited
    `wait_s` seconds and been answered after `expected_s` seconds.
    """

    upstream: str = ''
    busy: int = 0
    report_age_s: float = -1
    wait_s: float = 0
    expected_s: float = 0


class StayReason(enum.Enum):
    """Why a request that home cannot serve was not sent to another region.

    `MOVED` means that home had no say: the request was sent elsewhere, or no
    upstream at home was usable.
    """

    MOVED = ''
    NO_UPSTREAM = 'no_upstream'
    OVERLOADED = 'overloaded'
    BOUND = 'bound'
    NOT_SELECTED = 'not_selected'


@attrs.frozen
class RemoteOffer:
    """What other regions offered for a request that was refused.

    `stay_reason` is a `StayReason`. The best upstream elsewhere was
    `remote_upstream`, with the expected seconds of `Offer`. `spill_fraction` is
    the fraction of the service's requests that should run elsewhere,
    `away_fraction` that of the region's requests that did (-1: unknown).
    """

    stay_reason: str = ''
    remote_upstream: str = ''
    remote_wait_s: float = 0
    remote_expected_s: float = 0
    spill_fraction: float = 0
    away_fraction: float = -1


@attrs.frozen
class Contended:
    """Why the best upstream did not accept a request.

    `cause` is a `RefusalCause`. The request could have waited for
    `wait_limit_s` seconds there; the room is kept for requests of the route
    `kept_for`.
    """

    cause: str = ''
    wait_limit_s: float = 0
    kept_for: str = ''


class RefusedError(RequestError):
    """A request was refused and will never run.

    The caller may retry after `retry_after_s` seconds. `candidates` is the
    number of usable upstreams, `best` the offer of the best of them, and
    `remote` that of the other regions. `limited` names the upstreams at home
    that were passed over because of their rate limit, `paused` those of all
    regions that have asked for a pause. `contended` says why the best one did
    not accept the request.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        retry_after_s: float,
    ) -> None:
        """Store the delay; the kind must have the outcome "not run"."""
        super().__init__(kind, message)
        self.retry_after_s = retry_after_s
        self.candidates = 0
        self.best = Offer()
        self.remote = RemoteOffer()
        self.contended = Contended()
        self.limited: list[str] = []
        self.paused: list[str] = []


class ObjectError(NutmegshoreError):
    """An operator's object is invalid, missing or in conflict."""


class SettingsError(NutmegshoreError):
    """The settings file has faults; `faults` lists them all as text."""

    def __init__(self, faults: list[str]) -> None:
        """Join all faults into the message, one a line."""
        super().__init__(ErrorKind.INVALID_SETTINGS, '\n'.join(faults))
        self.faults = faults


class LinkError(NutmegshoreError):
    """A peer link was refused or closed."""


class PlatformError(NutmegshoreError):
    """A call to the platform's object API failed."""


class PlatformUnavailable(PlatformError):
    """The call did not reach the platform and took no effect."""

    def __init__(self, message: str = '') -> None:
        """Use the fixed kind for an unavailable platform."""
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message)


class PlatformAnswerLost(PlatformError):
    """The answer was lost; the write may have taken effect."""

    def __init__(self, message: str = '') -> None:
        """Use the fixed kind for a lost answer."""
        super().__init__(ErrorKind.PLATFORM_ANSWER_LOST, message)


class PlatformFormatError(PlatformError):
    """Data stored on the platform does not have the expected format."""

    def __init__(self, message: str = '') -> None:
        """Use the fixed kind for a wrong format."""
        super().__init__(ErrorKind.PLATFORM_FORMAT, message)


class HistoryLost(PlatformError):
    """The store no longer has the changes since a watch's position."""

    def __init__(self, message: str = '') -> None:
        """Use the fixed kind for lost history."""
        super().__init__(ErrorKind.HISTORY_LOST, message)


class VersionConflict(PlatformError):
    """The object is not at the expected version.

    `present` is the currently stored object, or None if it is missing.
    """

    def __init__(self, message: str, present: object) -> None:
        """Store the present object, to be shown or used in a retry."""
        super().__init__(ErrorKind.VERSION_CONFLICT, message)
        self.present = present
