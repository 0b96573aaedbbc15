"""Spillover: the fraction of a region's requests that other regions serve."""

import functools
import hashlib

import attrs

from nutmegshore.clock import Clock

__all__ = ('SpilloverTable',)

#: Rise of the fraction per second. `ShiftBound` keeps what really moves within
#: the configured bound, so this may be as fast as queues build up.
_RISE_PER_S = 0.4
#: Fall of the fraction per second while home has capacity again. An object that
#: returns is cold once, so a short lull is no reason to move it back.
_FALL_PER_S = 0.02
#: Wait ratios above which the fraction rises and below which it falls. The wait
#: ratio is the expected wait at home over the time that the target leaves for
#: waiting.
_HIGH_WAIT_RATIO = 0.6
_LOW_WAIT_RATIO = 0.25
_WAIT_RATIO_WEIGHT = 0.1
_MAX_STEP_S = 1
_MAX_CACHED_POSITIONS = 16_384
_POSITION_BYTES = 4
_POSITIONS = 2 ** (8 * _POSITION_BYTES)


@attrs.define
class _Spillover:
    """State per service: the fraction, its rounding, and the wait ratio."""

    fraction: float = 0
    accumulated: float = 0
    wait_ratio: float = 0
    updated_at: float = 0


class SpilloverTable:
    """Decides which requests of a service should run in other regions.

    The fraction of moved requests rises while the home region's queues are
    long. It falls slowly while they are short, and fast while the other regions
    have no capacity. Objects move as a whole, in an order that is the same at
    every gateway of the region, so that only one of the two regions has to be
    warm for an object. Requests without an object are picked at even intervals
    rather than at random.

        spillover.record('orders', wait_ratio=0.8, has_capacity=True)
        if spillover.should_move('orders', key):
            ...
    """

    def __init__(self, clock: Clock) -> None:
        """Start with all requests at home."""
        self._clock = clock
        self._by_service: dict[str, _Spillover] = {}

    def fraction(self, service: str) -> float:
        """Return the fraction of requests that run elsewhere, from 0 to 1."""
        found = self._by_service.get(service)
        return found.fraction if found else 0

    def record(
        self, service: str, wait_ratio: float, *, has_capacity: bool
    ) -> None:
        """Record the wait ratio of a request at home.

        Without capacity elsewhere the fraction falls, whatever the wait ratio.
        """
        spillover = self._get(service)
        now = self._clock.now()
        elapsed = min(now - spillover.updated_at, _MAX_STEP_S)
        spillover.updated_at = now
        spillover.wait_ratio += _WAIT_RATIO_WEIGHT * (
            wait_ratio - spillover.wait_ratio
        )
        if not has_capacity:
            spillover.fraction = max(
                spillover.fraction - _RISE_PER_S * elapsed, 0
            )
        elif spillover.wait_ratio < _LOW_WAIT_RATIO:
            spillover.fraction = max(
                spillover.fraction - _FALL_PER_S * elapsed, 0
            )
        elif spillover.wait_ratio > _HIGH_WAIT_RATIO:
            spillover.fraction = min(
                spillover.fraction + _RISE_PER_S * elapsed, 1
            )

    def should_move(self, service: str, key: str) -> bool:
        """Return whether a request should run elsewhere."""
        spillover = self._get(service)
        if key:
            return _position(service, key) < spillover.fraction
        spillover.accumulated += spillover.fraction
        if spillover.accumulated < 1:
            return False
        spillover.accumulated -= 1
        return True

    def _get(self, service: str) -> _Spillover:
        found = self._by_service.get(service)
        if found is None:
            found = _Spillover(updated_at=self._clock.now())
            self._by_service[service] = found
        return found


@functools.lru_cache(maxsize=_MAX_CACHED_POSITIONS)
def _position(service: str, key: str) -> float:
    """Return an object's position in [0, 1), the same at every gateway."""
    digest = hashlib.blake2b(
        f'{service} {key}'.encode(),
        digest_size=_POSITION_BYTES,
    )
    return int.from_bytes(digest.digest(), 'big') / _POSITIONS
