"""Events about upstreams that a gateway logs."""

import attrs

from nutmegshore.gateway.severity import Severity

__all__ = (
    'UpstreamAnswerMalformed',
    'UpstreamChanged',
    'UpstreamColdChanged',
    'UpstreamColdUsed',
    'UpstreamJudged',
    'UpstreamLeaving',
    'UpstreamLeavingRejected',
    'UpstreamLimitChanged',
    'UpstreamLimitRejected',
    'UpstreamPauseChanged',
    'UpstreamPauseRejected',
)


@attrs.frozen
class UpstreamAnswerMalformed:
    """An answer broke the grammar of HTTP/1.1, and was refused.

    `fault` says in what, and `text` is the start of what came, without the
    text of a field other than a length or a coding. The request id of a health
    check is empty.
    """

    severity = Severity.FAILURE

    request: str
    upstream: str
    service: str
    fault: str
    text: str


@attrs.frozen
class UpstreamChanged:
    """An upstream's registration changed: `ready`, `draining`, `missing`,
    `restarted` or `gone`; `revision` is the store's."""

    severity = Severity.CHANGE

    upstream: str
    service: str
    zone: str
    change: str
    revision: int


@attrs.frozen
class UpstreamColdChanged:
    """This gateway learned that an upstream is or may be cold, or is warm.

    It stays cold for `cold_left_s` (-1: unknown, since it may have started
    again). `source` is what says so, `age_s` how old that is. `sent_lately`
    counts the requests that this gateway sent to it in the last second.
    """

    severity = Severity.CHANGE

    upstream: str
    service: str
    born_ms: int
    source: str
    cold_left_s: float
    age_s: float
    sent_lately: int


@attrs.frozen
class UpstreamColdUsed:
    """This gateway sends to a cold upstream, the first time for some seconds.

    `cold_left_s` is how long it stays cold, `max_rate` the requests per second
    that it accepts from all gateways together. `visible` of the `recent`
    gateways that may send to it are seen at present.
    """

    severity = Severity.CHANGE

    upstream: str
    service: str
    cold_left_s: float
    max_rate: float
    visible: int
    recent: int


@attrs.frozen
class UpstreamJudged:
    """An upstream gets fewer or more requests because of its answers."""

    severity = Severity.CHANGE

    upstream: str
    service: str
    change: str
    failures: int
    avoided_s: float


@attrs.frozen
class UpstreamLeaving:
    """An upstream said in an answer that it is leaving.

    It gets no new requests, whatever its registration says. `born_ms` is its
    start in milliseconds since 1970. `source` is `answer`, or `peer` if another
    gateway passed it on.
    """

    severity = Severity.CHANGE

    upstream: str
    service: str
    born_ms: int
    source: str


@attrs.frozen
class UpstreamLeavingRejected:
    """An upstream says neither that it is leaving nor that it is not."""

    severity = Severity.CHANGE

    upstream: str
    service: str
    text: str


@attrs.frozen
class UpstreamLimitChanged:
    """An upstream's limit began, changed or ended.

    `max_rate` is the requests per second that it accepts from all gateways
    together, and `previous` what it accepted before (-1: no limit). `source`
    is `answer`, or `peer` if another gateway passed it on.
    """

    severity = Severity.CHANGE

    upstream: str
    service: str
    max_rate: float
    previous: float
    source: str


@attrs.frozen
class UpstreamLimitRejected:
    """An upstream names a limit that is no decimal number."""

    severity = Severity.CHANGE

    upstream: str
    service: str
    text: str


@attrs.frozen
class UpstreamPauseChanged:
    """A pause that an upstream asked for `begun`, was `extended`, or `ended`.

    It lasts for another `left_s` seconds. `gone` means that the upstream is
    gone or has started anew, and its pause with it.
    """

    severity = Severity.CHANGE

    upstream: str
    service: str
    change: str
    left_s: float


@attrs.frozen
class UpstreamPauseRejected:
    """An upstream asks for a pause whose time is no decimal number."""

    severity = Severity.CHANGE

    upstream: str
    service: str
    text: str
