"""Quarantine of requests that crash the upstreams that run them."""

import asyncio
import functools

import attrs

from nutmegshore.balancing import Balancer
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.gateway.events import RequestJudged
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers import Peers
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.listener import KEPT_BYTES
from nutmegshore.quarantine import (
    Fingerprint,
    Quarantine,
    Verdict,
    fingerprint,
)
from nutmegshore.upstreams.reach import IsListening, is_listening

__all__ = ('CrashGuard', 'QuarantineDependencies', 'make_quarantine')

#: Seconds within which a live upstream accepts a connection, including the
#: round trip to another region.
_CONNECT_TIMEOUT_S = 0.25


@attrs.frozen
class QuarantineDependencies:
    """Objects that the quarantine of one gateway needs."""

    peers: Peers
    state: FleetState
    balancer: Balancer
    clock: Clock
    counters: Counters
    log: EventLog


def make_quarantine(dependencies: QuarantineDependencies) -> Quarantine:
    """Build a quarantine over the gateway's upstreams that logs verdicts."""
    region = dependencies.peers.local.region
    usable = _SuspectTargets(dependencies.state, dependencies.balancer, region)
    quarantine = Quarantine(
        dependencies.peers,
        dependencies.clock,
        dependencies.counters,
        usable,
        usable.is_explained,
    )
    _VerdictLog(quarantine, dependencies.log)
    return quarantine


class _SuspectTargets:
    """Upstreams of a service that a suspected request may be sent to.

    Upstreams of the gateway's own region are preferred. Avoided and paused
    upstreams are excluded, since a suspected request is assigned to a single
    upstream and would be refused if that one could not be used.
    """

    def __init__(
        self,
        state: FleetState,
        balancer: Balancer,
        region: str,
    ) -> None:
        """Prefer the upstreams of a region."""
        self._state = state
        self._health = balancer.candidate_builder.health
        self._pauses = balancer.candidate_builder.pauses
        self._region = region

    def __call__(self, service: str) -> set[str]:
        """Instance names of the upstreams that may be used."""
        healthy = [
            upstream
            for upstream in self._state.usable(service)
            if self._is_free(upstream)
        ]
        local = {
            upstream.instance
            for upstream in healthy
            if upstream.region == self._region
        }
        return local or {upstream.instance for upstream in healthy}

    def is_explained(self, name: str) -> bool:
        """Whether an upstream is leaving or deregistered, so no crash."""
        upstream = self._state.by_id.get(name)
        return upstream is None or self._state.departures.is_leaving(upstream)

    def _is_free(self, upstream: RegisteredUpstream) -> bool:
        is_avoided = self._health.is_avoided(upstream.instance)
        return not (is_avoided or self._pauses.is_paused(upstream))


class _VerdictLog:
    """Logs each verdict on a request."""

    def __init__(self, quarantine: Quarantine, log: EventLog) -> None:
        """Log each new verdict of the quarantine."""
        self._quarantine = quarantine
        self._log = log
        quarantine.on_judged = self._write

    def _write(
        self,
        request_fingerprint: Fingerprint,
        upstream: str,
        verdict: Verdict,
    ) -> None:
        event = RequestJudged(
            request_fingerprint.service,
            request_fingerprint.digest,
            upstream,
            verdict.value,
            round(self._quarantine.refused_s(request_fingerprint), 3),
        )
        self._log.write(event)


class CrashGuard:
    """Refuses requests that crash upstreams, at all gateways.

    A request whose answer was lost is suspected only if its upstream no
    longer accepts connections; a broken connection alone does not incriminate
    the request. The quarantine derives verdicts and broadcasts them.

        guard.check(routed)  # raises RefusedError
        guard.record_loss(routed, upstream)
        await guard.wait_for_check(routed)
    """

    def __init__(
        self,
        quarantine: Quarantine,
        counters: Counters,
        accepts_connections: IsListening = is_listening,
    ) -> None:
        """Use a quarantine; the function probes an upstream's address."""
        self._quarantine = quarantine
        self._accepts_connections = accepts_connections
        self._tasks = OwnedTasks('crashes', counters)
        self._checks: dict[str, set[asyncio.Task]] = {}

    def check(self, routed: RoutedRequest) -> None:
        """Raise `RefusedError` for a request that is quarantined."""
        refused_s = self._quarantine.refused_s(_fingerprint(routed))
        if refused_s:
            digest = routed.fingerprint.digest
            raise RefusedError(ErrorKind.QUARANTINED, digest, refused_s)

    def assigned(self, routed: RoutedRequest) -> str:
        """The only upstream a suspected request may run on; '' for any."""
        name = self._quarantine.assigned(_fingerprint(routed))
        return '' if name in routed.tried else name

    def may_crash(self, routed: RoutedRequest) -> bool:
        """Whether a request may crash the upstream that gets it next.

        That is so if it is suspected, or until the checks of its lost answers
        have ended.
        """
        is_checked = routed.request_id in self._checks
        return is_checked or bool(
            self._quarantine.assigned(_fingerprint(routed))
        )

    def record_answer(self, routed: RoutedRequest) -> None:
        """Record that an upstream answered the request and is alive."""
        self._quarantine.finished(_fingerprint(routed), '', None)

    def record_loss(
        self, routed: RoutedRequest, upstream: RegisteredUpstream
    ) -> None:
        """Start checking whether an upstream whose answer was lost is down."""
        check = self._tasks.spawn(self._check(_fingerprint(routed), upstream))
        self._checks.setdefault(routed.request_id, set()).add(check)
        check.add_done_callback(
            functools.partial(self._end_check, routed.request_id)
        )

    async def wait_for_check(self, routed: RoutedRequest) -> None:
        """Wait for the checks that the request's lost answers started.

        A retry before they end could crash another upstream.
        """
        checks = self._checks.get(routed.request_id)
        if checks:
            await asyncio.wait(tuple(checks))

    async def stop(self) -> None:
        """Cancel the running checks."""
        await self._tasks.stop()

    def _end_check(self, request_id: str, check: asyncio.Task) -> None:
        checks = self._checks[request_id]
        checks.discard(check)
        if not checks:
            self._checks.pop(request_id)

    async def _check(
        self, request_fingerprint: Fingerprint, upstream: RegisteredUpstream
    ) -> None:
        if await self._accepts_connections(
            upstream.address, _CONNECT_TIMEOUT_S
        ):
            return
        name = upstream.instance
        self._quarantine.finished(
            request_fingerprint, name, ErrorKind.UPSTREAM_LOST
        )


def _fingerprint(routed: RoutedRequest) -> Fingerprint:
    """Fingerprint of a request, including the buffered start of its body."""
    if routed.fingerprint is None:
        head = routed.incoming.head
        host = head.get('host')
        routed.fingerprint = fingerprint(
            routed.service,
            head.method,
            f'{host}{head.target}',
            routed.body.first(KEPT_BYTES) if routed.body else b'',
        )
    return routed.fingerprint
