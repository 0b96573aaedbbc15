"""Cost and safety of fresh connections for requests that run once."""

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs
import pycurl

from bench.loopback import LOOPBACK, LoopbackUpstream
from bench.measure import Findings, Measure

__all__ = ('measure',)

_REQUESTS = 1_000
_STALE_REQUESTS = 100


def measure(seed: int) -> Findings:
    """Compare the rules for requests that may not run twice."""
    return Findings((*_cost(seed), *_safety(seed)))


def _cost(seed: int) -> Iterator[Measure]:
    fresh_s, fresh = _timed(_fresh_curl)
    kept_s, kept = _timed(pycurl.Curl)
    yield Measure(
        'fresh_connection_time',
        fresh_s / kept_s,
        'times a request on a kept connection, over loopback',
        'no bound; a real link adds one round trip',
        seed,
    )
    yield Measure(
        'fresh_connections',
        fresh.connections / _REQUESTS,
        'connections per request',
        'no bound',
        seed,
        baselines={'kept': kept.connections / _REQUESTS},
    )


def _safety(seed: int) -> Iterator[Measure]:
    found = {
        'no rule': _stale(pycurl.Curl),
        'kept, repeat stopped': _stale(pycurl.Curl, _TryGuard()),
        'fresh': _stale(_fresh_curl),
    }
    runs = {name: upstream.runs for name, (upstream, _) in found.items()}
    unknown = {name: count for name, (_, count) in found.items()}
    yield Measure(
        'stale_connection_runs',
        runs['fresh'],
        f'runs of {_STALE_REQUESTS} requests',
        'one run per request',
        seed,
        runs['fresh'] == _STALE_REQUESTS,
        baselines=runs,
    )
    yield Measure(
        'stale_connection_unknown',
        unknown['fresh'],
        f'unknown outcomes of {_STALE_REQUESTS} requests',
        'none that a fresh connection avoids',
        seed,
        baselines=unknown,
    )


def _timed(make: Callable[[], pycurl.Curl]) -> tuple[float, LoopbackUpstream]:
    upstream = LoopbackUpstream()
    curl = _prepared(make(), upstream.start())
    with contextlib.closing(curl):
        started = time.perf_counter()
        for _ in range(_REQUESTS):
            curl.perform()
        return time.perf_counter() - started, upstream


def _stale(
    make: Callable[[], pycurl.Curl],
    guard: '_TryGuard | None' = None,
) -> tuple[LoopbackUpstream, int]:
    """The upstream's counts, and the requests without an answer."""
    upstream = LoopbackUpstream(closes_stale=True)
    curl = _prepared(make(), upstream.start())
    if guard is not None:
        curl.setopt(pycurl.PREREQFUNCTION, guard.check)
    unknown = 0
    with contextlib.closing(curl):
        for number in range(_STALE_REQUESTS):
            try:
                _perform(curl, guard, number)
            except pycurl.error:
                unknown += 1
    return upstream, unknown


def _perform(curl: pycurl.Curl, guard: '_TryGuard | None', number: int) -> None:
    if guard is not None:
        guard.present = number
    curl.perform()


@attrs.define
class _TryGuard:
    """Stops the second try that libcurl begins for the present request."""

    present: int = -1
    begun: int = -1

    def check(self, *connection: object) -> int:
        """Allow the first try of each request."""
        if self.begun == self.present:
            return pycurl.PREREQFUNC_ABORT
        self.begun = self.present
        return pycurl.PREREQFUNC_OK


def _fresh_curl() -> pycurl.Curl:
    curl = pycurl.Curl()
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    return curl


def _prepared(curl: pycurl.Curl, port: int) -> pycurl.Curl:
    curl.setopt(pycurl.URL, f'http://{LOOPBACK}:{port}/')
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.WRITEFUNCTION, len)
    return curl
