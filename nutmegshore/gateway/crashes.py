"""Requests that crash the upstreams that run them."""

import asyncio

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
from nutmegshore.quarantine import (
    Fingerprint,
    Quarantine,
    Verdict,
    fingerprint,
)
from nutmegshore.upstreams.reach import IsListening, is_listening

__all__ = ('CrashGuard', 'QuarantineDependencies', 'make_quarantine')

#: Seconds within which an upstream that lives accepts a connection, the way
#: to another region included.
_LISTENING_S = 0.25


@attrs.frozen
class QuarantineDependencies:
    """What the quarantine of one gateway takes from outside."""

    peers: Peers
    state: FleetState
    balancer: Balancer
    clock: Clock
    counters: Counters
    log: EventLog


def make_quarantine(dependencies: QuarantineDependencies) -> Quarantine:
    """Build a quarantine over the gateway's upstreams that logs verdicts."""
    region = dependencies.peers.local.region
    usable = _UsableNames(dependencies.state, dependencies.balancer, region)
    quarantine = Quarantine(
        dependencies.peers,
        dependencies.clock,
        dependencies.counters,
        usable,
        usable.is_explained,
    )
    _VerdictLog(quarantine, dependencies.log)
    return quarantine


class _UsableNames:
    """Upstreams of a service that a suspect may be sent to.

    Those of the own region go before all others, and avoided ones are left
    out, so that a suspect is not refused for want of its one upstream.
    """

    def __init__(
        self,
        state: FleetState,
        balancer: Balancer,
        region: str,
    ) -> None:
        """Choose for the gateways of a region."""
        self._state = state
        self._health = balancer.candidate_builder.health
        self._region = region

    def __call__(self, service: str) -> set[str]:
        """Names of the upstreams."""
        sound = [
            one
            for one in self._state.usable(service)
            if not self._health.is_avoided(one.instance)
        ]
        near = {one.instance for one in sound if one.region == self._region}
        return near or {one.instance for one in sound}

    def is_explained(self, name: str) -> bool:
        """Whether an upstream may have ended for a reason of its own."""
        upstream = self._state.by_id.get(name)
        return upstream is None or upstream.is_draining


class _VerdictLog:
    """Logs what requests are taken for."""

    def __init__(self, quarantine: Quarantine, log: EventLog) -> None:
        """Log each new verdict of the quarantine."""
        self._quarantine = quarantine
        self._log = log
        quarantine.on_judged = self._write

    def _write(
        self,
        found: Fingerprint,
        upstream: str,
        verdict: Verdict,
    ) -> None:
        event = RequestJudged(
            found.service,
            found.digest,
            upstream,
            verdict.value,
            round(self._quarantine.refused_s(found), 3),
        )
        self._log.write(event)


class CrashGuard:
    """Refuses requests that crash upstreams, at all gateways together.

    A request whose answer was lost is suspected only if its upstream no
    longer accepts connections; a connection that broke says nothing about
    the request. The quarantine decides on suspicions and spreads them.

        guard.check(routed)  # raises RefusedError
        guard.record_loss(routed, upstream)
        await guard.settle(routed)
    """

    def __init__(
        self,
        quarantine: Quarantine,
        counters: Counters,
        listening: IsListening = is_listening,
    ) -> None:
        """Judge with a quarantine; `listening` checks an upstream."""
        self._quarantine = quarantine
        self._listening = listening
        self._tasks = OwnedTasks('crashes', counters)
        self._checks: dict[str, asyncio.Task] = {}

    def check(self, routed: RoutedRequest) -> None:
        """Raise `RefusedError` for a request that is quarantined."""
        refused_s = self._quarantine.refused_s(_fingerprint(routed))
        if refused_s:
            digest = routed.fingerprint.digest
            raise RefusedError(ErrorKind.QUARANTINED, digest, refused_s)

    def assigned(self, routed: RoutedRequest) -> str:
        """The one upstream that a suspect may run on; '' for any."""
        name = self._quarantine.assigned(_fingerprint(routed))
        return '' if name in routed.tried else name

    def record_answer(self, routed: RoutedRequest) -> None:
        """Note that an upstream has answered the request and lives."""
        self._quarantine.finished(_fingerprint(routed), '', None)

    def record_loss(
        self, routed: RoutedRequest, upstream: RegisteredUpstream
    ) -> None:
        """Begin to find out why an upstream's answer was lost."""
        check = self._tasks.spawn(self._check(_fingerprint(routed), upstream))
        self._checks[routed.request_id] = check
        check.add_done_callback(
            lambda _: self._checks.pop(routed.request_id, None),
        )

    async def settle(self, routed: RoutedRequest) -> None:
        """Wait until it is known why the request's last answer was lost.

        A request that is sent again before that could crash one upstream
        more than it has to.
        """
        check = self._checks.get(routed.request_id)
        if check is not None:
            await asyncio.wait((check,))

    async def stop(self) -> None:
        """End the checks that are under way."""
        await self._tasks.stop()

    async def _check(
        self, found: Fingerprint, upstream: RegisteredUpstream
    ) -> None:
        if await self._listening(upstream.address, _LISTENING_S):
            return
        name = upstream.instance
        self._quarantine.finished(found, name, ErrorKind.UPSTREAM_LOST)


def _fingerprint(routed: RoutedRequest) -> Fingerprint:
    """Fingerprint of a request, from its kept start where it has a body."""
    if routed.fingerprint is None:
        head = routed.incoming.head
        host = head.get('host')
        routed.fingerprint = fingerprint(
            routed.service,
            head.method,
            f'{host}{head.target}',
            routed.body.start if routed.body else b'',
        )
    return routed.fingerprint
