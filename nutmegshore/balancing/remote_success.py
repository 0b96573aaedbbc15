"""How often other regions answer in time."""

__all__ = ('RemoteSuccess',)

#: Weight of an answer in the mean of its service.
_WEIGHT = 0.1
#: Fraction of the answers that have to be in time.
_MIN_IN_TIME = 2 / 3


class RemoteSuccess:
    """Tells whether other regions are of use to requests that home refuses.

    Where the upstreams of other regions are warm for the objects of this one,
    most answers from there are in time. Where they have to forget other objects
    for them, most are late, and the requests of both regions suffer.

        success.record('orders', is_in_time=False)
        success.is_likely('orders')
    """

    def __init__(self) -> None:
        """Start with the assumption that answers are in time."""
        self._in_time: dict[str, float] = {}

    def record(self, service: str, *, is_in_time: bool) -> None:
        """Count an answer that came from another region."""
        mean = self._in_time.get(service, 1)
        self._in_time[service] = mean + _WEIGHT * (is_in_time - mean)

    def is_likely(self, service: str) -> bool:
        """Return whether the next answer from elsewhere is likely in time."""
        return self._in_time.get(service, 1) >= _MIN_IN_TIME

    def fractions(self) -> dict[str, float]:
        """Return the fraction in time of each service with answers."""
        return dict(self._in_time)
