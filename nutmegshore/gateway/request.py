"""A caller's request and the attempts to have it answered."""

import attrs

from nutmegshore.balancing import Choice
from nutmegshore.gateway.route import Configuration, Route
from nutmegshore.listener import KeptBody, RequestHead
from nutmegshore.platform.dialect import CallerFields
from nutmegshore.quarantine import Fingerprint

__all__ = ('Incoming', 'RoutedRequest', 'TriedUpstream')


@attrs.frozen
class Incoming:
    """A request as it was read; `arrived_at` is a reading of the clock."""

    head: RequestHead
    fields: CallerFields
    arrived_at: float


@attrs.frozen
class TriedUpstream:
    """One attempt: where, why, and how it ended after `took_s`."""

    upstream: str
    reason: str
    busy: int
    is_warm: bool
    expected_s: float
    took_s: float
    result: str

    @classmethod
    def of(cls, choice: Choice, took_s: float, result: str) -> 'TriedUpstream':
        """Describe the end of an attempt."""
        candidate = choice.candidate
        return cls(
            choice.upstream.instance,
            choice.reason,
            candidate.busy,
            candidate.is_warm,
            round(candidate.expected_s, 3),
            round(took_s, 3),
            result,
        )


@attrs.define
class RoutedRequest:
    """A request with its route, deadline and the attempts so far.

    `may_have_run` turns true with the first attempt whose outcome is unknown.
    `last_region` is that of the upstream that was asked last, `no_retry` why
    its last attempt is not followed by another.
    """

    incoming: Incoming
    configuration: Configuration
    route: Route
    service: str
    deadline: float
    body: KeptBody | None = None
    attempts: list[TriedUpstream] = attrs.field(factory=list)
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    runs: int = 0
    fingerprint: Fingerprint | None = None
    last_region: str = ''
    no_retry: str = ''

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.incoming.fields.request_id

    def described(self) -> list[list]:
        """The attempts as they are logged."""
        return [list(attrs.astuple(attempt)) for attempt in self.attempts]
