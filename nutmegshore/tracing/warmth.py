"""Tells from gateway logs how well the fleet knew where objects are warm."""

import collections
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

import attrs

from nutmegshore.gateway.request import AttemptRecord
from nutmegshore.tracing.records import LogRecord

__all__ = ('AttemptCount', 'RouteWarmth', 'summarise_warmth')

#: Events that end a request and list its attempts.
_END_EVENTS = frozenset(('request_served', 'request_failed'))
#: An attempt that takes this multiple of its route's warm time is slow.
_SLOW_FACTOR = 2.3
#: A route's warm time is that of the fastest of this many attempts that were
#: expected to be warm, which leaves out those that waited or were cold.
_FASTEST_OF = 5
#: Fewer attempts that were expected to be warm tell no warm time.
_MIN_WARM_ATTEMPTS = 80
_ANSWERED = '200'
_OUT_OF_TIME = 'deadline_after_send'
_HOME = 'home'
_NO_OFFSETS: Mapping[str, float] = MappingProxyType({})


@attrs.define
class AttemptCount:
    """A number of attempts, and how many of them were slow."""

    total: int = 0
    slow: int = 0

    @property
    def slow_fraction(self) -> float:
        """Part of the attempts that was slow, 0 without any."""
        return self.slow / max(self.total, 1)

    def add(self, *, is_slow: bool) -> None:
        """Count one attempt."""
        self.total += 1
        self.slow += is_slow


@attrs.define
class RouteWarmth:
    """The attempts at one route's requests that name an object.

    `warm_s` is the time of an attempt at an upstream that is warm and free. A
    first visit is one to an upstream where no gateway had sent that object
    before. `repeated_by_others` are visits by a gateway that had not sent the
    object there itself, `repeated` those of one that had. `visits` counts the
    upstreams of all objects, `spent_s` the seconds of all attempts.
    """

    route: str
    warm_s: float
    object_count: int = 0
    visits: int = 0
    expected_warm: AttemptCount = attrs.field(factory=AttemptCount)
    expected_cold: AttemptCount = attrs.field(factory=AttemptCount)
    first_visits: AttemptCount = attrs.field(factory=AttemptCount)
    repeated_by_others: AttemptCount = attrs.field(factory=AttemptCount)
    repeated: AttemptCount = attrs.field(factory=AttemptCount)
    out_of_time: int = 0
    away: int = 0
    spent_s: float = 0

    @property
    def attempts(self) -> int:
        """Number of all attempts."""
        return self.expected_warm.total + self.expected_cold.total

    @property
    def upstreams_per_object(self) -> float:
        """Mean number of upstreams that an object was sent to."""
        return self.visits / self.object_count

    @property
    def first_visit_ratio(self) -> float:
        """First visits over the least possible, one for each object."""
        return self.first_visits.total / self.object_count

    @property
    def work_ratio(self) -> float:
        """Seconds spent over those that the same attempts take if warm."""
        return self.spent_s / (self.attempts * self.warm_s)


@attrs.frozen
class _Visit:
    """An attempt at an upstream for an object, as a gateway logged it."""

    started_s: float
    instance: str
    key: str
    attempt: AttemptRecord


def summarise_warmth(
    records: Iterable[LogRecord], offsets: Mapping[str, float] = _NO_OFFSETS
) -> list[RouteWarmth]:
    """Count attempts by route, the busiest first.

    `offsets` are the seconds by which the clocks of instances are ahead. Routes
    whose objects are never expected to be warm, or with too few attempts, are
    left out. Lines that the logs lack make some visits look like first ones.
    """
    by_route: dict[str, list[_Visit]] = collections.defaultdict(list)
    for record in records:
        if record.event in _END_EVENTS and record.get('key'):
            offset_s = offsets.get(record.instance, 0)
            by_route[record.get('route')].extend(_iter_visits(record, offset_s))
    counted = (_count(route, visits) for route, visits in by_route.items())
    known = [warmth for warmth in counted if warmth is not None]
    return sorted(known, key=_get_attempts, reverse=True)


def _get_attempts(warmth: RouteWarmth) -> int:
    return warmth.attempts


def _iter_visits(record: LogRecord, offset_s: float) -> Iterator[_Visit]:
    started_s = record.time_s - offset_s - record.get('took_s')
    for logged in record.get('attempts'):
        attempt = AttemptRecord(*logged)
        yield _Visit(started_s, record.instance, record.get('key'), attempt)


def _count(route: str, visits: list[_Visit]) -> RouteWarmth | None:
    warm_s = _find_warm_s(visits)
    if warm_s is None:
        return None
    warmth = RouteWarmth(route, warm_s)
    known = collections.defaultdict(set)
    for visit in sorted(visits, key=_get_start):
        senders = known[visit.key, visit.attempt.upstream]
        is_slow = visit.attempt.took_s > _SLOW_FACTOR * warm_s
        _find_kind(warmth, visit, senders).add(is_slow=is_slow)
        _find_expectation(warmth, visit).add(is_slow=is_slow)
        _add_totals(warmth, visit)
        senders.add(visit.instance)
    warmth.visits = len(known)
    warmth.object_count = len({key for key, _ in known})
    return warmth


def _find_warm_s(visits: list[_Visit]) -> float | None:
    warm = sorted(
        visit.attempt.took_s
        for visit in visits
        if visit.attempt.is_warm and visit.attempt.result == _ANSWERED
    )
    if len(warm) < _MIN_WARM_ATTEMPTS:
        return None
    return warm[len(warm) // _FASTEST_OF] or None


def _get_start(visit: _Visit) -> float:
    return visit.started_s


def _find_kind(
    warmth: RouteWarmth, visit: _Visit, senders: set[str]
) -> AttemptCount:
    if not senders:
        return warmth.first_visits
    if visit.instance in senders:
        return warmth.repeated
    return warmth.repeated_by_others


def _find_expectation(warmth: RouteWarmth, visit: _Visit) -> AttemptCount:
    return (
        warmth.expected_warm if visit.attempt.is_warm else warmth.expected_cold
    )


def _add_totals(warmth: RouteWarmth, visit: _Visit) -> None:
    warmth.out_of_time += visit.attempt.result == _OUT_OF_TIME
    warmth.away += visit.attempt.reason != _HOME
    warmth.spent_s += visit.attempt.took_s
