"""Events about callers that did not get their whole answers."""

import attrs

from nutmegshore.gateway.severity import Severity

__all__ = (
    'AnswerCut',
    'CustomerQuotaChanged',
    'CallerMemory',
    'IdleConnectionsClosed',
    'RequestAbandoned',
)


@attrs.frozen
class RequestAbandoned:
    """A request was ended before there was an answer for its caller.

    The attempt was cancelled; its upstream may have run the request. `reason`
    is `caller_left` if the caller closed its connection, `withdrawn` if an
    answer ahead of it closed the connection, so that the caller sends the
    request again, and `stopped` at the end of the gateway's grace period.
    """

    severity = Severity.FAILURE

    request: str
    route: str
    service: str
    key: str
    configuration: int
    configuration_age_s: float
    upstreams_age_s: float
    upstreams_from: str
    took_s: float
    attempts: list
    customer: str = ''
    reason: str = 'caller_left'


@attrs.frozen
class AnswerCut:
    """The connection ended before the caller had taken our answer.

    `reason` is `not_taken` if the gateway reset the connection of a caller that
    did not read, `stopped` if it did so at the end of its grace period,
    `withdrawn` if an answer ahead of it closed the connection, and
    `caller_left` if the connection broke. `status` is that of the answer. An
    answer of the gateway's own has its line as well.
    """

    severity = Severity.FAILURE

    request: str
    route: str
    service: str
    key: str
    configuration: int
    configuration_age_s: float
    upstreams_age_s: float
    upstreams_from: str
    status: int
    reason: str
    took_s: float
    attempts: list
    customer: str = ''


@attrs.frozen
class CallerMemory:
    """The memory for callers became short, or is sufficient again.

    `held` bytes of bodies and answers are held, of `limit`.
    """

    severity = Severity.CHANGE

    is_short: bool
    held: int
    limit: int


@attrs.frozen
class IdleConnectionsClosed:
    """A stop closed the connections on which no request had arrived.

    `count` is their number. A request that was on its way meets a closed
    connection; it was not read, and has no line.
    """

    severity = Severity.CHANGE

    count: int


@attrs.frozen
class CustomerQuotaChanged:
    """This gateway began or ceased to refuse a customer's requests.

    All gateways together asked for `asked_rate` requests per second, may send
    `permitted_rate`, and have sent `sent` in the window, as far as is known.
    `visible_fraction` is the part of the gateways whose reports are recent.
    """

    severity = Severity.CHANGE

    customer: str
    change: str
    max_rate: float
    burst: float
    asked_rate: float
    permitted_rate: float
    sent: float
    visible_fraction: float
