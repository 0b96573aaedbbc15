"""What happens in the model of limited upstreams, and what is allowed."""

import collections
from collections.abc import Iterable

import attrs

__all__ = ('Arrival', 'LimitSpan', 'Outcome', 'Result', 'excess', 'span_at')

#: Seconds of the sliding window in which arrivals are counted.
_WINDOW_S = 4
#: Arrivals allowed in a window: this factor of what the limit allows, and this
#: many more.
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
#: Seconds after which a gateway that has passed on a limit has to keep to it.
_NOTICE_S = 0.5


@attrs.frozen
class LimitSpan:
    """Seconds from `start_s` to `end_s` in which an upstream names a limit."""

    upstream: str
    start_s: float
    end_s: float
    max_rate: float


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    `told_at` is when its gateway first passed on an answer of the upstream that
    named a limit, or None.
    """

    at_s: float
    gateway: str
    told_at: float | None

    def is_within(self, start_s: float, span_s: float) -> bool:
        """Return whether it came in the seconds after a time."""
        return start_s <= self.at_s < start_s + span_s


@attrs.frozen
class Outcome:
    """How a request ended; `region` is that of the upstream, if any."""

    asked_at: float
    rank: int
    home: str
    region: str = ''
    retry_after_s: float = 0


@attrs.frozen
class Result:
    """The arrivals by upstream, and how each request ended."""

    arrivals: dict[str, list[Arrival]]
    outcomes: list[Outcome]

    def rate(self, upstream: str, start_s: float, end_s: float) -> float:
        """Return the mean arrivals per second at an upstream in a span."""
        count = sum(
            _is_within(one.at_s, start_s, end_s)
            for one in self.arrivals[upstream]
        )
        return count / (end_s - start_s)

    def served(self, start_s: float, end_s: float, rank: int = 0) -> float:
        """Return the fraction served of the requests of a rank in a span."""
        of_rank = [one for one in self.outcomes if one.rank == rank]
        answered = [
            bool(one.region)
            for one in of_rank
            if _is_within(one.asked_at, start_s, end_s)
        ]
        return sum(answered) / max(len(answered), 1)


def span_at(spans: Iterable[LimitSpan], at_s: float) -> LimitSpan | None:
    """Return the span that a time falls into, or None."""
    return next(
        (span for span in spans if span.start_s <= at_s < span.end_s), None
    )


def excess(
    result: Result, spans: tuple[LimitSpan, ...], *, is_strict: bool = False
) -> float:
    """Return by how many requests the worst window exceeds what is allowed.

    Counted are the arrivals from gateways that had been told the limit half a
    second before; if `is_strict`, those from all gateways, from one window
    after the start of the limit on.
    """
    names = {span.upstream for span in spans}
    return max(
        _excess_of(
            result.arrivals[name],
            [span for span in spans if span.upstream == name],
            is_strict=is_strict,
        )
        for name in names
    )


def _is_within(at_s: float, start_s: float, end_s: float) -> bool:
    return start_s <= at_s < end_s


def _excess_of(
    arrivals: list[Arrival], spans: list[LimitSpan], *, is_strict: bool
) -> float:
    first_s = min(span.start_s for span in spans)
    times = [
        one.at_s
        for one in arrivals
        if span_at(spans, one.at_s)
        and _counts(one, first_s, is_strict=is_strict)
    ]
    worst = float('-inf')
    window: collections.deque[float] = collections.deque()
    for at_s in times:
        window.append(at_s)
        while window[0] <= at_s - _WINDOW_S:
            window.popleft()
        worst = max(worst, len(window) - _allowed(spans, at_s))
    return worst


def _counts(arrival: Arrival, first_s: float, *, is_strict: bool) -> bool:
    if is_strict:
        return arrival.at_s >= first_s + _WINDOW_S
    told_at = arrival.told_at
    return told_at is not None and told_at <= arrival.at_s - _NOTICE_S


def _allowed(spans: list[LimitSpan], at_s: float) -> float:
    """Return what is allowed in the window that ends at a time.

    The largest limit counts that was in force in the window.
    """
    max_rate = max(
        span.max_rate
        for span in spans
        if span.start_s <= at_s and span.end_s > at_s - _WINDOW_S
    )
    return _ALLOWED_FACTOR * _WINDOW_S * max_rate + _ALLOWED_EXTRA
