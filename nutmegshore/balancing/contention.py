"""Contention: which requests wait or are refused when there is little room."""

import enum
import math
from collections.abc import Iterator

import attrs

from nutmegshore.balancing.choice import Candidate, RoutingRequest
from nutmegshore.balancing.minimum_share import MinimumShare
from nutmegshore.balancing.rivals import Rival, Rivals
from nutmegshore.clock import Clock
from nutmegshore.gateway.route import Configuration
from nutmegshore.gateway.state import FleetState

__all__ = ('Contention', 'RefusalCause', 'Verdict')

#: Expected times are accurate to about this factor, so a request that can still
#: meet its latency target may exceed it by this much.
_TARGET_FACTOR = 1.1
#: A request that cannot meet its target (its object is cold everywhere, or it
#: runs in another region) may wait for this fraction of the target. Longer
#: queues would make other requests late too.
_LATE_WAIT_FRACTION = 0.6
#: Without competitors that are active, each rank below the most urgent route of
#: a service shortens the permitted wait by this factor.
_RANK_FACTOR = 0.8
#: Fraction of the time that a request has for waiting that the expected wait
#: may take. Waits vary about as much as their mean: with this one, nine in ten
#: waits are shorter than that time (exp(-1 / fraction) is a tenth).
_SAFE_WAIT_FRACTION = 1 / math.log(10)


class RefusalCause(enum.Enum):
    """Why a request may not queue at an upstream.

    `DEADLINE`: it would be answered after its deadline. `QUEUE`: it would wait
    for too long. `URGENT`: more urgent requests would be late because of it.
    `LATE`: it cannot be in time any more, and would have to wait.
    """

    NONE = ''
    DEADLINE = 'deadline'
    QUEUE = 'queue'
    URGENT = 'urgent'
    LATE = 'late'


@attrs.frozen
class Verdict:
    """Whether a request may queue at an upstream, and why not.

    `wait_limit_s` is the wait that it may expect there, `room_in_s` the time
    until the queue is short enough. `kept_for` names the route for whose
    requests the room is kept.
    """

    cause: RefusalCause = RefusalCause.NONE
    wait_limit_s: float = 0
    room_in_s: float = 0
    kept_for: str = ''

    @property
    def is_admitted(self) -> bool:
        """Whether the request may queue there."""
        return self.cause is RefusalCause.NONE


_ADMITTED = Verdict()


class Contention:
    """Decides whether a request may queue at an upstream.

    In overload a queue that makes every answer late serves nobody. A request
    is accepted if it is expected to meet its target, or if its wait is short.

    What is queued at an upstream cannot be overtaken. Where requests of several
    routes or customers compete for a service, a request waits only if it can
    still be in time, so that late ones get free slots only; and a less urgent
    one is accepted only if a more urgent one that arrives next would still be
    in time. Neither holds if its route or customer has been refused far more
    often than the others.

        contention.record_asked(request)
        contention.judge(request, candidate).is_admitted
    """

    def __init__(self, state: FleetState, clock: Clock) -> None:
        """Use the routes of the configuration in `state`."""
        self._state = state
        self._rivals = Rivals(clock)
        self._floor = MinimumShare(clock)
        self._ranks: tuple[Configuration | None, dict[str, int]] = (None, {})

    def record_asked(self, request: RoutingRequest) -> None:
        """Count a request that needs an upstream."""
        self._rivals.record_asked(request)
        self._floor.record_asked(request)

    def record_sent(
        self, request: RoutingRequest, candidate: Candidate
    ) -> None:
        """Learn from a request that is sent."""
        self._rivals.record_sent(request, candidate)
        self._floor.record_sent(request)

    def judge(self, request: RoutingRequest, candidate: Candidate) -> Verdict:
        """Return whether a request may queue at its best upstream."""
        if candidate.is_known and candidate.expected_s > request.remaining_s:
            room_in_s = _excess_s(request, candidate)
            return Verdict(RefusalCause.DEADLINE, room_in_s=room_in_s)
        rivals = self._rivals.active(request.service)
        if len({one.route.name for one in rivals}) <= 1:
            # Customers of one route need equal work: room that is kept free
            # for the urgent ones would cost the others more than they gain.
            factor = self._rank_factor(request) * _customer_factor(
                rivals, request
            )
            return _judge_alone(request, candidate, factor)
        if self._floor.is_due(request):
            return _judge_alone(request, candidate)
        verdict = _judge_wait(request, candidate)
        if verdict.is_admitted:
            place_s = self._place_s(request, candidate)
            return _yield_to(rivals, request, candidate, place_s)
        return verdict

    def _place_s(self, request: RoutingRequest, candidate: Candidate) -> float:
        """Return the seconds of waiting for one request in the queue."""
        slots = candidate.upstream.slots
        waiting = candidate.busy + 1 - slots
        if waiting > 0:
            return candidate.wait_s / waiting
        mean_s = self._rivals.mean_work_s(request.service)
        return max(mean_s, candidate.work_s) / slots

    def _rank_factor(self, request: RoutingRequest) -> float:
        lowest_rank = self._lowest_rank(request.service)
        return _RANK_FACTOR ** max(request.route.rank - lowest_rank, 0)

    def _lowest_rank(self, service: str) -> int:
        """Return the rank of the most urgent route to a service."""
        configuration = self._state.configuration
        if self._ranks[0] is not configuration:
            self._ranks = (configuration, dict(_iter_ranks(configuration)))
        return self._ranks[1].get(service, 0)


def _customer_factor(rivals: list[Rival], request: RoutingRequest) -> float:
    """Return the factor on the wait of a customer by its rank."""
    customer_rank = request.urgency[0]
    least = min((one.urgency[0] for one in rivals), default=customer_rank)
    return _RANK_FACTOR ** max(customer_rank - least, 0)


def _judge_alone(
    request: RoutingRequest, candidate: Candidate, factor: float = 1
) -> Verdict:
    """Return whether a request may queue that yields to nobody.

    `factor` shortens the permitted wait.
    """
    target_s = request.route.target_latency_s
    unavoidable_s = candidate.expected_s - candidate.wait_s
    spare_s = target_s * _TARGET_FACTOR - unavoidable_s
    late_s = _LATE_WAIT_FRACTION * target_s
    limit_s = factor * max(spare_s, late_s)
    if candidate.wait_s <= limit_s:
        return _ADMITTED
    return Verdict(RefusalCause.QUEUE, limit_s, _excess_s(request, candidate))


def _excess_s(request: RoutingRequest, candidate: Candidate) -> float:
    """Return the seconds until any request of a route may queue."""
    late_s = _LATE_WAIT_FRACTION * request.route.target_latency_s
    return candidate.wait_s - late_s


def _spare_s(request: RoutingRequest, candidate: Candidate) -> float:
    """Return the seconds that a request may wait and still be in time."""
    needed_s = candidate.expected_s - candidate.wait_s + request.age_s
    target_s = request.route.target_latency_s * _TARGET_FACTOR
    return max(target_s - needed_s, 0)


def _judge_wait(request: RoutingRequest, candidate: Candidate) -> Verdict:
    """Return whether a request would be in time, or need not wait.

    Before its work is known, the guess says little about that.
    """
    if not candidate.is_known:
        return _judge_alone(request, candidate)
    spare_s = _spare_s(request, candidate)
    if candidate.wait_s <= spare_s:
        return _ADMITTED
    return Verdict(
        RefusalCause.QUEUE if spare_s else RefusalCause.LATE,
        spare_s,
        candidate.wait_s - spare_s,
    )


def _yield_to(
    rivals: list[Rival],
    request: RoutingRequest,
    candidate: Candidate,
    place_s: float,
) -> Verdict:
    """Return whether the next request of a more urgent class stays in time.

    It waits for `place_s` for each request ahead of it in the queue.
    """
    protected = [
        one
        for one in rivals
        if one.timely_work_s and one.urgency < request.urgency
    ]
    if not protected:
        return _ADMITTED
    tightest = min(protected, key=_rival_spare_s)
    ahead = candidate.busy + 2 - candidate.upstream.slots
    next_wait_s = max(ahead, 0) * place_s
    bearable_s = _SAFE_WAIT_FRACTION * tightest.spare_s
    if next_wait_s <= bearable_s:
        return _ADMITTED
    return Verdict(
        RefusalCause.URGENT,
        max(bearable_s - place_s, 0),
        next_wait_s - bearable_s,
        tightest.route.name,
    )


def _rival_spare_s(rival: Rival) -> float:
    return rival.spare_s


def _iter_ranks(configuration: Configuration) -> Iterator[tuple[str, int]]:
    """Yield each service with the rank of its most urgent route."""
    ranks: dict[str, int] = {}
    for route in configuration.routes:
        for share in route.shares:
            known = ranks.get(share.service, route.rank)
            ranks[share.service] = min(known, route.rank)
    yield from ranks.items()
