"""A caller's request, its route and its attempts."""

import attrs

from nutmegshore.balancing import Choice
from nutmegshore.gateway.customer import Customer
from nutmegshore.gateway.route import Configuration, Route
from nutmegshore.listener import (
    ByteBudget,
    HeldBytes,
    KeptBody,
    RequestHead,
)
from nutmegshore.platform.dialect import CallerFields
from nutmegshore.quarantine import Fingerprint

__all__ = ('AttemptRecord', 'IncomingRequest', 'RoutedRequest')


@attrs.frozen
class IncomingRequest:
    """A parsed request; `arrived_at` is the clock's time in seconds."""

    head: RequestHead
    fields: CallerFields
    arrived_at: float


@attrs.frozen
class AttemptRecord:
    """One attempt: its upstream, why it was chosen, and the result."""

    upstream: str
    reason: str
    busy: int
    is_warm: bool
    expected_s: float
    took_s: float
    result: str

    @classmethod
    def of(cls, choice: Choice, took_s: float, result: str) -> 'AttemptRecord':
        """Record an attempt that ended after `took_s`."""
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

    `customer` is whom the request belongs to, None where it needs no key.
    `possible_runs` counts the attempts that were sent, `runs` those that were
    chosen, both except the ones that certainly did not run the request.
    `tried` are the instances used so far. `last_region` is the region of the
    last upstream, `no_retry` the reason why no other attempt followed or joined
    the last one, `limited` the upstreams passed over lately because of their
    rate limit, `paused` those that had asked for a pause. `upstreams_age_s` and
    `upstreams_from` say how old the list of upstreams was at the last choice,
    and where it came from. `held` counts the bytes that are kept of the body
    and the answer. `needs_new_connection` says that attempts use none that
    served another request.
    """

    incoming: IncomingRequest
    configuration: Configuration
    route: Route
    service: str
    deadline: float
    body: KeptBody | None = None
    attempts: list[AttemptRecord] = attrs.field(factory=list)
    tried: set[str] = attrs.field(factory=set)
    possible_runs: int = 0
    runs: int = 0
    fingerprint: Fingerprint | None = None
    last_region: str = ''
    no_retry: str = ''
    limited: list[str] = attrs.field(factory=list)
    paused: list[str] = attrs.field(factory=list)
    upstreams_age_s: float = -1
    upstreams_from: str = ''
    customer: Customer | None = None
    held: HeldBytes = attrs.field(factory=lambda: ByteBudget().hold())
    needs_new_connection: bool = False

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.incoming.fields.request_id

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty without one."""
        return self.customer.name if self.customer else ''

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have run the request."""
        return self.possible_runs > 0

    def remaining_s(self, now: float) -> float:
        """Seconds until the deadline, at the clock's time `now`."""
        return max(self.deadline - now, 0)

    def allow_again(self, instance: str) -> None:
        """Let an upstream that closed a kept connection have the request.

        The next attempt opens a connection, which no idle close can meet.
        """
        self.tried.discard(instance)
        self.needs_new_connection = True

    def describe_attempts(self) -> list[list]:
        """The attempts as lists of values for the log."""
        return [list(attrs.astuple(attempt)) for attempt in self.attempts]
