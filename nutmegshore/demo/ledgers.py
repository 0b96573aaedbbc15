"""Ledgers of what upstreams ran and of what callers were told."""

import collections
import enum
from collections.abc import Callable, Iterable

import attrs

__all__ = (
    'Asked',
    'CallerLedger',
    'Run',
    'RunLedger',
    'CallerConclusion',
    'CallerResult',
    'count_over_cap',
    'largest_in_window',
)

_WINDOW_S = 1


class CallerConclusion(enum.Enum):
    """What a caller knows of one request after it ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@attrs.frozen
class CallerResult:
    """The end of one request as its caller saw it.

    `is_cut` says that the answer was incomplete, damaged or missing although
    no upstream was being killed; `is_wrong` that it answers another request.
    """

    told: CallerConclusion
    is_cut: bool = False
    is_wrong: bool = False
    reason: str = ''


@attrs.frozen
class Asked:
    """One request of a caller; `began` and `ended` are clock readings."""

    phase: str
    service: str
    request_id: str
    key: str
    began: float
    ended: float
    verdict: CallerResult


@attrs.frozen
class Run:
    """One request that an upstream began to run at a reading of the clock."""

    upstream: str
    service: str
    region: str
    caller_region: str
    request_id: str
    key: str
    at: float
    is_idempotent: bool


@attrs.define
class CallerLedger:
    """Every request that the callers sent, repeats included."""

    asked: list[Asked] = attrs.field(factory=list)

    def count(self, told: CallerConclusion) -> int:
        """Number of requests that ended so."""
        return sum(found.verdict.told is told for found in self.asked)

    @property
    def cut(self) -> int:
        """Number of cut answers."""
        return sum(found.verdict.is_cut for found in self.asked)

    @property
    def wrong(self) -> int:
        """Number of answers that belong to another request."""
        return sum(found.verdict.is_wrong for found in self.asked)

    def count_false_not_run(self, runs: 'RunLedger') -> int:
        """Number of requests that ran although "not run" was said.

        Only requests without a key are judged: one with a key may have run
        as an earlier repeat.
        """
        ran = {run.request_id for run in runs.runs}
        return sum(
            found.verdict.told is CallerConclusion.NOT_RUN
            and found.request_id in ran
            for found in self.asked
            if not found.key
        )


@attrs.define
class RunLedger:
    """Every run at every upstream, and the most requests inside at once."""

    runs: list[Run] = attrs.field(factory=list)
    most_inside: collections.Counter[str] = attrs.field(
        factory=collections.Counter,
    )

    def record_inside(self, upstream: str, inside: int) -> None:
        """Remember the largest number of requests in an upstream."""
        self.most_inside[upstream] = max(self.most_inside[upstream], inside)

    @property
    def by_key(self) -> collections.Counter[tuple[str, str]]:
        """Runs by service and idempotency key."""
        return collections.Counter(
            (run.service, run.key) for run in self.runs if run.key
        )

    @property
    def by_request(self) -> collections.Counter[str]:
        """Runs by request id, of requests that may run once only.

        Requests with a key are counted by their key.
        """
        return collections.Counter(
            run.request_id
            for run in self.runs
            if not (run.key or run.is_idempotent)
        )

    @property
    def doubled(self) -> int:
        """Number of keys, and ids without a key, that ran more than once."""
        counts = [*self.by_key.values(), *self.by_request.values()]
        return sum(count > 1 for count in counts)

    def count_since(self, upstream: str, since: float) -> int:
        """Runs of one upstream that began after a time."""
        return sum(
            run.upstream == upstream and run.at > since for run in self.runs
        )

    def times(self, is_counted: Callable[[Run], bool]) -> list[float]:
        """Sorted start times of some of the runs."""
        return sorted(run.at for run in self.runs if is_counted(run))


def largest_in_window(times: Iterable[float]) -> int:
    """Largest number of sorted times within any window of 1 s."""
    inside: collections.deque[float] = collections.deque()
    largest = 0
    for at in times:
        inside.append(at)
        while inside[0] <= at - _WINDOW_S:
            inside.popleft()
        largest = max(largest, len(inside))
    return largest


def count_over_cap(times: Iterable[float], cap: int) -> int:
    """Number of sorted times that exceed a cap in some window of 1 s."""
    inside: collections.deque[float] = collections.deque()
    over = 0
    for at in times:
        while inside and inside[0] <= at - _WINDOW_S:
            inside.popleft()
        if len(inside) < cap:
            inside.append(at)
        else:
            over += 1
    return over
