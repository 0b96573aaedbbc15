"""How often other regions answer in time."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('RemoteSuccess',)

#: Weight of an answer in the mean of its service.
_WEIGHT = 0.1
#: Fraction of the answers that have to be in time.
_MIN_IN_TIME = 2 / 3
#: Seconds without an answer after which other regions are tried again.
_FORGET_S = 5


@attrs.define
class _Mean:
    """Fraction of the latest answers that were in time."""

    fraction: float
    updated_at: float


class RemoteSuccess:
    """Tells whether other regions are of use to requests that home refuses.

    Where the upstreams of other regions are warm for the objects of this one,
    most answers from there are in time. Where they have to forget other objects
    for them, most are late, and the requests of both regions suffer.

        success.record('orders', is_in_time=False)
        success.is_likely('orders')
    """

    def __init__(self, clock: Clock) -> None:
        """Start with the assumption that answers are in time."""
        self._clock = clock
        self._by_service: dict[str, _Mean] = {}

    def record(self, service: str, *, is_in_time: bool) -> None:
        """Count an answer that came from another region."""
        fraction = self._fraction(service)
        fraction += _WEIGHT * (is_in_time - fraction)
        self._by_service[service] = _Mean(fraction, self._clock.now())

    def is_likely(self, service: str) -> bool:
        """Return whether the next answer from elsewhere is likely in time."""
        return self._fraction(service) >= _MIN_IN_TIME

    def fractions(self) -> dict[str, float]:
        """Return the fraction in time of each service with answers."""
        return {
            service: self._fraction(service) for service in self._by_service
        }

    def _fraction(self, service: str) -> float:
        found = self._by_service.get(service)
        if found is None or self._clock.now() - found.updated_at > _FORGET_S:
            return 1
        return found.fraction
