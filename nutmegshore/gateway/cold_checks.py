"""Checks of the health pages of upstreams that may be cold."""

import contextlib
from collections.abc import Iterator

import attrs

from nutmegshore.balancing.candidate_builder import CandidateBuilder
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.cold_starts import ColdSource, ColdStatement
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.platform.dialect import (
    HealthAnswer,
    read_health,
    write_expected_instance,
)
from nutmegshore.upstreams import (
    AnswerHead,
    AnswerReceiver,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = ('ColdChecks', 'iter_doubtful')

#: Seconds between two looks for upstreams to check.
_INTERVAL_S = 0.1
#: First and longest pause in seconds between two checks of an upstream. The
#: pause doubles with each check that tells nothing.
_MIN_PAUSE_S = 0.4
_MAX_PAUSE_S = 4
#: Seconds after which a check without an answer ends. A health page waits for
#: a slot like any other request.
_TIMEOUT_S = 4
#: Seconds until a connection counts as failed, to any region.
_CONNECT_TIMEOUT_S = 0.5
#: Seconds after which each gateway asks by itself, since those that should
#: have asked may be gone.
_STALE_S = 10
#: Checks that one gateway runs at the same time.
_MAX_RUNNING = 16


@attrs.define
class _Schedule:
    """When an upstream is checked next, and the pause after that."""

    next_at: float
    pause_s: float = _MIN_PAUSE_S
    is_running: bool = False

    def end(self, clock: Clock) -> None:
        """Handle the end of a check, however it ended."""
        self.next_at = clock.now() + self.pause_s
        self.pause_s = min(2 * self.pause_s, _MAX_PAUSE_S)
        self.is_running = False


class ColdChecks:
    """Asks upstreams that may be cold whether they are, and for how long.

    An upstream is asked by the gateway that could not reach it, and by those
    that may send to it while it is cold. They tell the others.

        checks = ColdChecks(candidate_builder, client, clock, counters)
        tasks.keep('check cold', checks.run)

    `client` must not pass on what answers report: a health page does not name
    the limit or the pause of its upstream.
    """

    def __init__(
        self,
        candidate_builder: CandidateBuilder,
        client: UpstreamClient,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Check the upstreams in the state of `candidate_builder`."""
        self._candidate_builder = candidate_builder
        self._state = candidate_builder.state
        self._client = client
        self._clock = clock
        self._counters = counters
        self._schedules: dict[str, _Schedule] = {}
        self._tasks = OwnedTasks('cold checks', counters)

    async def run(self) -> None:
        """Check what is due until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._tasks.stop)
            while True:
                self._start_due()
                await self._clock.sleep(_INTERVAL_S)

    def _start_due(self) -> None:
        now = self._clock.now()
        wanted = {
            statement.upstream.instance: statement
            for statement in iter_doubtful(self._candidate_builder, now)
        }
        for gone in self._schedules.keys() - wanted.keys():
            self._schedules.pop(gone)
        running = sum(one.is_running for one in self._schedules.values())
        for instance, statement in wanted.items():
            schedule = self._schedules.setdefault(
                instance, _Schedule(now + _first_pause_s(statement))
            )
            is_due = schedule.next_at <= now and not schedule.is_running
            if is_due and running < _MAX_RUNNING:
                running += 1
                schedule.is_running = True
                self._tasks.spawn(self._check(statement.upstream, schedule))

    async def _check(
        self, upstream: RegisteredUpstream, schedule: _Schedule
    ) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(schedule.end, self._clock)
            await self._ask_and_apply(upstream)

    async def _ask_and_apply(self, upstream: RegisteredUpstream) -> None:
        sent_at = self._clock.now()
        try:
            health = await self._ask(upstream)
        except RequestError as failure:
            self._count(upstream, failure.kind.value)
            if failure.kind is ErrorKind.UPSTREAM_REFUSED:
                # It is too busy for its health page, and runs.
                self._state.cold_starts.handle_answer(upstream, sent_at)
        else:
            self._apply(upstream, health, sent_at)

    def _apply(
        self,
        upstream: RegisteredUpstream,
        health: HealthAnswer,
        sent_at: float,
    ) -> None:
        if health.instance != upstream.instance:
            self._count(upstream, 'unhealthy')
            return
        self._count(upstream, 'cold' if health.cold_left_s else 'warm')
        if not self._candidate_builder.is_registered(upstream.instance):
            # It was removed meanwhile.
            return
        self._state.cold_starts.handle_health(
            upstream, health.cold_left_s, sent_at
        )

    async def _ask(self, upstream: RegisteredUpstream) -> HealthAnswer:
        rules = self._state.configuration.rules(upstream.service)
        request = UpstreamRequest(
            request_id='',
            service=upstream.service,
            method='GET',
            target=rules.health_path,
            headers=(
                ('Host', upstream.address),
                *write_expected_instance(upstream.instance),
            ),
            deadline=self._clock.now() + _TIMEOUT_S,
            may_run_twice=False,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
        head = await self._client.send(
            upstream.instance, upstream, request, _DiscardedBody()
        )
        return read_health(head)

    def _count(self, upstream: RegisteredUpstream, result: str) -> None:
        self._counters.add(
            'cold_checks', service=upstream.service, result=result
        )


class _DiscardedBody(AnswerReceiver):
    """Drops the body of a health page."""

    async def begin(self, head: AnswerHead) -> None:
        """Ignore the head, which the client returns."""

    async def receive(self, chunk: bytes) -> None:
        """Drop a chunk."""


def iter_doubtful(
    candidate_builder: CandidateBuilder, now: float
) -> Iterator[ColdStatement]:
    """Yield what is not settled and is for this gateway to find out.

    Those are the upstreams that it could not reach, those that it may send to
    while they are cold, and those of which its peers have told nothing lately.
    """
    for statement in candidate_builder.state.cold_starts.iter_unsettled():
        is_stale = now - statement.stated_at > _STALE_S
        is_needed = statement.is_own_failure or is_stale
        if is_needed or candidate_builder.is_cold_sender(statement.upstream):
            yield statement


def _first_pause_s(statement: ColdStatement) -> float:
    """Return the seconds until the first check of an upstream.

    One that this gateway just failed to reach hardly answers at once.
    """
    is_unreachable = statement.source is ColdSource.UNREACHABLE
    return _MIN_PAUSE_S if is_unreachable else 0
