"""The look-up services of the two users' deployments."""

import attrs

__all__ = ('PATELWADI', 'VESTFOLD', 'Deployment')


@attrs.frozen
class Deployment:
    """One user's regions and its look-up service.

    The upstreams are spread over the regions in turn.
    """

    name: str
    regions: tuple[str, ...]
    region_delay_s: float
    zone_delay_s: float
    service: str
    upstreams: int
    slots: int
    latency_weight: float
    entries_per_region: int = 3

    def region_of(self, index: int) -> str:
        """Region of an upstream by its number."""
        return self.regions[index % len(self.regions)]

    def slots_in(self, region: str) -> int:
        """Slots of the service in a region."""
        numbers = range(self.upstreams)
        count = len([one for one in numbers if self.region_of(one) == region])
        return count * self.slots


_VESTFOLD_REGION_DELAY_S = 0.055
_VESTFOLD_ZONE_DELAY_S = 0.001
_VESTFOLD_UPSTREAMS = 14
_VESTFOLD_LATENCY_WEIGHT = 0.8

VESTFOLD = Deployment(
    name='vestfold',
    regions=('ostlandet', 'vestlandet', 'nordnorge'),
    region_delay_s=_VESTFOLD_REGION_DELAY_S,
    zone_delay_s=_VESTFOLD_ZONE_DELAY_S,
    service='catalogue',
    upstreams=_VESTFOLD_UPSTREAMS,
    slots=5,
    latency_weight=_VESTFOLD_LATENCY_WEIGHT,
)
_PATELWADI_REGION_DELAY_S = 0.012
_PATELWADI_ZONE_DELAY_S = 0.0005
_PATELWADI_UPSTREAMS = 12
_PATELWADI_LATENCY_WEIGHT = 0.2

PATELWADI = Deployment(
    name='patelwadi',
    regions=('west', 'north', 'south'),
    region_delay_s=_PATELWADI_REGION_DELAY_S,
    zone_delay_s=_PATELWADI_ZONE_DELAY_S,
    service='tallies',
    upstreams=_PATELWADI_UPSTREAMS,
    slots=3,
    latency_weight=_PATELWADI_LATENCY_WEIGHT,
)
